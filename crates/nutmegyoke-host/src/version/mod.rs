//! What lives as long as one version of the configuration.
//!
//! Reading the operators' lists from files is all that needs I/O here.

pub mod lists;

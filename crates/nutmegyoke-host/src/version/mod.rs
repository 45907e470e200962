//! What lives as long as one version of the configuration.
//!
//! Only the reading of the operators' lists from files needs I/O.

pub mod lists;

//! What lives as long as one version of the configuration.
//!
//! The state machines hold the configuration itself; only reading the operators' lists from
//! files needs I/O.

pub mod lists;

//! The input and output of nutmegyoke, on one compio event loop.
//!
//! A [`process::driver::Driver`] owns one state machine of `nutmegyoke-core`. Tasks on
//! the same loop decode bytes into events of the machine and encode its commands into
//! bytes. They make no decisions, and none of them blocks or spins.
//!
//! The modules are divided by the life span of what they hold, as in `nutmegyoke-core`:
//! [`request`], [`connection`], [`version`] and [`process`].

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

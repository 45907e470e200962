//! Input and output of nutmegyoke, on one compio loop.
//!
//! A [`process::driver::Driver`] owns one state machine of `nutmegyoke-core`.
//! Tasks of the same loop turn bytes into its events and its commands into
//! bytes; none of them decides anything, and none blocks or spins.
//!
//! The folders follow the life span of what they hold, as in `nutmegyoke-core`:
//! [`request`], [`connection`], [`version`] and [`process`].

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

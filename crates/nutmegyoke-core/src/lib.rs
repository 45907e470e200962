//! Decisions of nutmegyoke, free of I/O and of encodings.
//!
//! Every part is a state machine that takes the current time and one event and
//! writes commands to a sink, see [`process::machine`]. Sockets, files, JSON
//! and RPC stay in the `nutmegyoke-wire` and `nutmegyoke-host` crates, so
//! another front end can drive the same decisions.
//!
//! The folders follow the life span of what they hold:
//!
//! * [`request`]: one request, from admission to its last chunk;
//! * [`connection`]: one link between two processes;
//! * [`version`]: one accepted version of the configuration;
//! * [`process`]: a process, from start to exit.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

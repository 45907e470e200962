//! The decision logic of nutmegyoke, without I/O and without encodings.
//!
//! Each component is a state machine that takes the current time and one event
//! and pushes commands to a sink, see [`process::machine`]. Sockets, files, JSON
//! and RPC are in the `nutmegyoke-wire` and `nutmegyoke-host` crates, so that
//! another front end can use the same decisions.
//!
//! Modules are grouped by the lifetime of what they hold:
//!
//! * [`request`]: one request, from admission to its last chunk;
//! * [`connection`]: one link between two processes;
//! * [`version`]: one accepted version of the configuration;
//! * [`process`]: a process, from start to exit.
//!
//! A caller's request arrives at a [`process::Entry`], which admits it by the
//! configuration and submits it to the [`process::Agent`] of a chosen endpoint. A
//! request that is passed through arrives at a [`process::Gateway`], which sends it to an
//! endpoint itself. [`process::Control`] replicates the state that must survive a
//! restart: the configuration, the routing document, claims and the demand for models.

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

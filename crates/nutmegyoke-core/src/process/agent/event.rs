//! What an agent is told and what it tells its host to do.

use std::net::SocketAddr;

use crate::process::Endpoint;
use crate::process::news::News;
use crate::request::{Reason, Submission};

/// What happened to an agent.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// An endpoint announced itself, or its state changed.
    Announced {
        endpoint: &'a Endpoint,
        address: SocketAddr,
    },
    /// An entry submitted a request; `call` is unique in this run.
    Submitted {
        call: u64,
        submission: &'a Submission,
    },
    /// A call ended, by its endpoint's answer or because its entry left.
    Finished { call: u64 },
    /// Control answered a heartbeat.
    Taught { news: &'a News },
    /// The process is to stop: finish what it has, take nothing new.
    Drained,
    /// The machine's deadline passed.
    Ticked,
}

/// What an agent's host shall do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Send the request to its endpoint.
    Start { call: u64, address: SocketAddr },
    /// Refuse the request.
    Refuse { call: u64, reason: Reason },
}

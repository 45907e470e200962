//! What an agent is told and what it tells its host to do.

use std::net::SocketAddr;
use std::time::Duration;

use crate::process::Endpoint;
use crate::process::update::Update;
use crate::request::{Reason, Submission};

/// What happened to an agent.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// An endpoint announced itself, or its state changed.
    Announced {
        endpoint: &'a Endpoint,
        address: SocketAddr,
    },
    /// An entry submitted a request with a body of `bytes`; `call` is unique in
    /// this run.
    Submitted {
        call: u64,
        submission: &'a Submission,
        bytes: usize,
    },
    /// The first part of an answer came from the endpoint.
    Answered { call: u64 },
    /// A call ended, by its endpoint's answer or because its entry left.
    Finished { call: u64 },
    /// Control answered a heartbeat.
    Taught { news: &'a Update },
    /// An operator withdrew an endpoint, or put it back.
    Withdrawn { endpoint: &'a str, withdrawn: bool },
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
    /// Refuse the request; another try may succeed `after` so long.
    Refuse {
        call: u64,
        reason: Reason,
        after: Duration,
    },
}

//! Inputs and outputs of the agent's state machine.

use std::net::SocketAddr;
use std::time::Duration;

use crate::process::Endpoint;
use crate::process::update::Update;
use crate::request::{Reason, Submission};

/// An input of the agent.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// An endpoint announced itself, or what it holds has changed.
    Announced {
        endpoint: &'a Endpoint,
        address: SocketAddr,
    },
    /// An entry submitted a request with a body of `bytes` bytes. `call` is unique
    /// within one run of the process.
    Submitted {
        call: u64,
        submission: &'a Submission,
        bytes: usize,
    },
    /// The first part of the answer arrived from the endpoint.
    AnswerStarted { call: u64 },
    /// A call ended, because its endpoint answered or failed, or its entry disconnected.
    Ended { call: u64 },
    /// Control answered a heartbeat, with a newer configuration if there is one.
    Updated { update: &'a Update },
    /// An operator withdrew an endpoint, or restored it if `withdrawn` is false.
    Withdrawn { endpoint: &'a str, withdrawn: bool },
    /// The process is about to stop: requests in flight finish, new ones are refused.
    Stopping,
    /// The machine's deadline passed.
    Ticked,
}

/// An action for the agent's host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Send the request to its endpoint.
    Start { call: u64, address: SocketAddr },
    /// Refuse the request. A retry may succeed once `retry_after` has passed.
    Refuse {
        call: u64,
        reason: Reason,
        retry_after: Duration,
    },
}

//! What an entry is told and what it tells its host to do.

use std::net::SocketAddr;

use crate::process::news::News;
use crate::request::{Arrival, Reason, Submission, Verdict};

/// What happened to an entry.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A caller's request was decoded; `number` is unique in this run.
    Arrived {
        number: u64,
        arrival: &'a Arrival<'a>,
    },
    /// The first part of an answer is about to reach the caller.
    Started { number: u64 },
    /// The attempt in flight ended.
    Settled { number: u64, verdict: Verdict },
    /// The caller closed the connection.
    Left { number: u64 },
    /// Control answered a heartbeat.
    Taught { news: &'a News },
    /// The process is to stop: finish what is in flight, take nothing new.
    Drained,
    /// The machine's deadline passed.
    Ticked,
}

/// What an entry's host shall do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Submit the request to an agent.
    Dispatch {
        number: u64,
        agent: SocketAddr,
        submission: Submission,
    },
    /// Answer the caller; nothing more follows for this request.
    Settle { number: u64, verdict: Verdict },
    /// Count a retry.
    Retried { reason: Reason },
}

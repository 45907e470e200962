//! What an entry is told and what it tells its host to do.

use std::net::SocketAddr;
use std::time::Duration;

use crate::process::news::News;
use crate::request::{Arrival, Id, Reason, Submission, Verdict, claim};

/// What happened to an entry.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A caller's request was decoded; `number` is unique in this run.
    Arrived {
        number: u64,
        arrival: &'a Arrival<'a>,
    },
    /// Control answered the wish for a claim.
    Judged {
        number: u64,
        outcome: &'a claim::Outcome,
    },
    /// No control process answered the wish for a claim.
    Unclaimed { number: u64 },
    /// The agent no longer keeps the answer that was recalled.
    Forgotten { number: u64 },
    /// The first part of an answer is about to reach the caller.
    Started { number: u64 },
    /// The agent told how many requests are queued and running at the endpoint.
    Reported { number: u64, load: u32 },
    /// The attempt in flight ended.
    Settled { number: u64, verdict: Verdict },
    /// The tokens that a request has used, prompt included, are known.
    Metered { number: u64, tokens: u64 },
    /// The host has ended with the request: it is answered, or its caller left.
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
    /// Ask control for the claim of a request.
    Claim {
        number: u64,
        name: claim::Name,
        holder: Id,
        digest: u64,
    },
    /// Tell control how a claimed request ended, until control has recorded it.
    Conclude {
        name: claim::Name,
        holder: Id,
        verdict: Verdict,
        vm: String,
    },
    /// Fetch the answer that an agent keeps of request `id`.
    Recall {
        number: u64,
        agent: SocketAddr,
        id: Id,
    },
    /// Submit the request to an agent.
    Dispatch {
        number: u64,
        agent: SocketAddr,
        submission: Submission,
    },
    /// Answer the caller; nothing more follows for this request.
    Settle {
        number: u64,
        verdict: Verdict,
        /// When another try may succeed, if the entry knows.
        after: Option<Duration>,
    },
    /// Send the next heartbeat now: an agent knows a newer configuration.
    Refresh,
    /// Count a retry.
    Retried { reason: Reason },
    /// Count a retry that the budget did not allow.
    Withheld { reason: Reason },
}

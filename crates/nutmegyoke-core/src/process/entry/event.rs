//! The inputs and outputs of an entry's state machine.

use std::net::SocketAddr;
use std::time::Duration;

use crate::process::update::Update;
use crate::request::{Arrival, Id, Reason, Submission, Verdict, claim};

/// An input of the state machine; `number` identifies a request.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A caller's request was decoded; `number` is unique in this run of the process.
    Arrived {
        number: u64,
        arrival: &'a Arrival<'a>,
    },
    /// Control answered the request for a claim.
    ClaimDecided {
        number: u64,
        outcome: &'a claim::Outcome,
    },
    /// No control process answered the request for a claim.
    ClaimUnanswered { number: u64 },
    /// The cached answer could not be fetched from its agent.
    AnswerGone { number: u64 },
    /// The first part of an answer is about to be sent to the caller.
    AnswerStarted { number: u64 },
    /// The agent reported how many requests are queued and running at the endpoint.
    LoadReported { number: u64, load: u32 },
    /// The current attempt ended.
    AttemptEnded { number: u64, verdict: Verdict },
    /// The tokens that a request used, prompt included, were counted.
    Metered { number: u64, tokens: u64 },
    /// The caller disconnected, or the answer to it is complete; releases what the
    /// request still holds.
    Disconnected { number: u64 },
    /// Control answered a heartbeat with newer state.
    Updated { update: &'a Update },
    /// The process is shutting down: requests in flight finish, new ones are refused.
    Stopping,
    /// The state machine's deadline passed.
    Ticked,
}

/// An output of the state machine, executed by its host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Ask control for the claim of a request.
    Claim {
        number: u64,
        name: claim::Name,
        holder: Id,
        digest: u64,
    },
    /// Report the verdict of a claimed request to control; repeat until it is recorded.
    Conclude {
        name: claim::Name,
        holder: Id,
        verdict: Verdict,
        vm: String,
    },
    /// Fetch the answer that an agent cached for request `id`.
    FetchAnswer {
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
    /// Answer the caller with `verdict`; the last command with this `number`.
    Finish {
        number: u64,
        verdict: Verdict,
        /// When the caller may try again, if the entry knows.
        retry_after: Option<Duration>,
    },
    /// Send the next heartbeat immediately, because an agent has a newer configuration.
    WakeHeartbeat,
    /// Count a retry in the metrics.
    CountRetry { reason: Reason },
    /// Count a retry that the retry budget did not allow.
    CountWithheldRetry { reason: Reason },
}

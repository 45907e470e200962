//! Messages in flight between two processes.

use nutmegyoke_core::request::claim::{Name, Outcome};
use nutmegyoke_core::request::{Id, Submission, Verdict};

/// The attempt that a message originates from, to which its answer belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The index of the entry.
    pub entry: usize,
    /// The run of the entry's process. Answers to an earlier run are dropped.
    pub run: u64,
    /// The number of the request.
    pub number: u64,
    /// The number of the attempt.
    pub attempt: u32,
}

/// A message in flight.
#[derive(Clone, Debug)]
pub enum Message {
    /// An entry submits a request to an agent.
    Submit {
        reply: Origin,
        agent: usize,
        submission: Submission,
    },
    /// An agent reports how a request ended to the entry.
    Outcome { reply: Origin, verdict: Verdict },
    /// An entry claims an idempotency key at control.
    Claim {
        reply: Origin,
        name: Name,
        holder: Id,
        digest: u64,
    },
    /// Control answers a claim.
    ClaimDecided { reply: Origin, outcome: Outcome },
    /// An entry reports the verdict on a claimed request to control.
    Conclude {
        name: Name,
        holder: Id,
        verdict: Verdict,
        vm: String,
    },
}

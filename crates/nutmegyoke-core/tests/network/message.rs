//! What is on its way between two processes.

use nutmegyoke_core::request::claim::{Name, Outcome};
use nutmegyoke_core::request::{Id, Submission, Verdict};

/// Where an answer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Address {
    /// The index of the entry.
    pub entry: usize,
    /// The run of that entry.
    pub run: u64,
    /// The request.
    pub number: u64,
    /// The attempt at it.
    pub attempt: u32,
}

/// One message.
#[derive(Clone, Debug)]
pub enum Message {
    /// From an entry to an agent.
    Submit {
        reply: Address,
        agent: usize,
        submission: Submission,
    },
    /// From an agent to an entry.
    Outcome { reply: Address, verdict: Verdict },
    /// From an entry to control.
    Claim {
        reply: Address,
        name: Name,
        holder: Id,
        digest: u64,
    },
    /// From control to an entry.
    Judged { reply: Address, outcome: Outcome },
    /// From an entry to control.
    Conclude {
        name: Name,
        holder: Id,
        verdict: Verdict,
        vm: String,
    },
}

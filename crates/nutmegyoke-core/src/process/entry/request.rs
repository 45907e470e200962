//! The state of one request in flight at an entry.

use std::rc::Rc;
use std::time::Instant;

use super::route::Candidate;
use crate::request::{Reason, Submission, claim};

/// An admitted request that is not answered yet.
#[derive(Debug)]
pub struct Request {
    /// What the current attempt submits to its agent.
    pub submission: Submission,
    /// When the plan's deadline for the answer passes.
    pub deadline: Instant,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the first token is due; `None` for a call of a plain service.
    pub first_token: Option<Instant>,
    /// Whether a part of the answer may have reached the caller.
    pub answer_started: bool,
    /// Why an earlier attempt may have run; `None` if none has.
    pub uncertain: Option<Reason>,
    /// The endpoint of the current or the latest attempt.
    pub candidate: Option<Rc<Candidate>>,
    /// What the request waits for.
    pub phase: Phase,
    /// The claim that the request needs if it is keyed and must run at most once.
    pub claim: Option<Acquisition>,
}

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Control's answer to the request for a claim.
    Claiming,
    /// The time to ask again for the claim that another request holds.
    ClaimHeld { until: Instant },
    /// The answer that an agent cached for the request that held the claim.
    FetchingAnswer,
    /// The time of the next attempt.
    BackingOff { until: Instant },
    /// The end of the current attempt.
    Running,
}

/// A claim that a request acquires or holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Acquisition {
    /// The customer and idempotency key of the claim.
    pub name: claim::Name,
    /// The digest of the request, see [`Arrival::digest`](crate::request::Arrival::digest).
    pub digest: u64,
    /// How many times control was asked for the claim.
    pub tries: u32,
    /// Whether control granted the claim, or may have granted it.
    pub granted: bool,
}

impl Request {
    /// When to resume the request, if it waits for a time.
    #[must_use]
    pub fn wake_at(&self) -> Option<Instant> {
        match self.phase {
            Phase::ClaimHeld { until } | Phase::BackingOff { until } => Some(until),
            Phase::Claiming | Phase::FetchingAnswer | Phase::Running => None,
        }
    }
}

//! One request in flight at an entry.

use std::rc::Rc;
use std::time::Instant;

use super::route::Place;
use crate::request::{Reason, Submission, claim};

/// A request from its admission to its end.
#[derive(Debug)]
pub struct Request {
    /// What is submitted, with the attempt in flight.
    pub submission: Submission,
    /// When the caller gives up.
    pub deadline: Instant,
    /// When the caller sent it.
    pub arrived: Instant,
    /// When the first token is due, if the request waits for tokens.
    pub first_token: Option<Instant>,
    /// Whether a part of the answer reached the caller.
    pub started: bool,
    /// Why an earlier attempt may have run, if one may.
    pub uncertain: Option<Reason>,
    /// The endpoint of the attempt in flight, or of the one before.
    pub target: Option<Rc<Place>>,
    /// What the request waits for.
    pub phase: Phase,
    /// The claim that the request needs, if it is keyed and not repeatable.
    pub claim: Option<Wish>,
}

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Control's answer to the wish for a claim.
    Claiming,
    /// The time to look at the claim again, which another request holds.
    Held { until: Instant },
    /// The answer that the agent keeps of the request which held the claim.
    Recalling,
    /// The time of the next attempt.
    Paused { until: Instant },
    /// The end of the attempt.
    Running,
}

/// A claim that a request wants or has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wish {
    /// What the claim is for.
    pub name: claim::Name,
    /// A digest of the request's body.
    pub digest: u64,
    /// How often control was asked.
    pub asked: u32,
    /// Whether control granted it.
    pub granted: bool,
}

impl Request {
    /// The time that the request waits for.
    #[must_use]
    pub fn wake(&self) -> Option<Instant> {
        match self.phase {
            Phase::Held { until } | Phase::Paused { until } => Some(until),
            Phase::Claiming | Phase::Recalling | Phase::Running => None,
        }
    }
}

//! Decides what follows the end of an attempt.

use super::{Reason, Verdict};
use crate::version::grant::Repeat;

/// Attempts at one request, the first included.
pub const MAX_ATTEMPTS: u32 = 4;

/// How far a request has come when an attempt ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Attempts made, the ended one included.
    pub attempts: u32,
    /// Whether any part of an answer reached the caller.
    pub answer_started: bool,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// Why an earlier attempt may have run, if one may.
    pub uncertain: Option<Reason>,
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Try again, elsewhere if possible.
    Retry { reason: Reason },
    /// Tell the caller.
    Settle { verdict: Verdict },
}

/// Decides what follows when an attempt ends with `verdict`.
///
/// A request that did not run is retried; one that may have run is retried
/// only when it is repeatable and nothing of the answer reached the caller.
/// The verdict told to the caller covers every attempt, see [`whole`].
#[must_use]
pub fn next(progress: Progress, verdict: Verdict) -> Next {
    let settle = Next::Settle {
        verdict: overall(progress.uncertain, verdict),
    };
    if progress.attempts >= MAX_ATTEMPTS || progress.answer_started {
        return settle;
    }
    match verdict {
        Verdict::NotRun { reason } => Next::Retry { reason },
        Verdict::MayHaveRun { reason } if progress.repeat == Repeat::Repeatable => {
            Next::Retry { reason }
        }
        Verdict::MayHaveRun { .. } | Verdict::Ran => settle,
    }
}

/// The verdict over a whole request whose last attempt ended with `last`.
///
/// Once an attempt may have run, a later one that did not run proves nothing
/// about the request.
#[must_use]
pub fn overall(uncertain: Option<Reason>, last: Verdict) -> Verdict {
    match (uncertain, last) {
        (Some(_), Verdict::NotRun { reason }) => Verdict::MayHaveRun { reason },
        _ => last,
    }
}

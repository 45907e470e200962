//! Decides whether to retry a request after a failed attempt.

use super::{Reason, Verdict};
use crate::version::grant::Repeat;

/// The maximum number of attempts of a request, including the first.
pub const MAX_ATTEMPTS: u32 = 4;

/// The progress of a request at the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The number of attempts made, including the one that ended.
    pub attempts: u32,
    /// Whether the caller may have received a part of an answer.
    pub answer_started: bool,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// The failure of an earlier attempt that may have run, if there was one.
    pub uncertain: Option<Reason>,
}

/// The next step after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Retry the request, at another endpoint if possible.
    Retry { reason: Reason },
    /// End the request and report the verdict to the caller.
    Finish { verdict: Verdict },
}

/// Decides the next step after an attempt that ended with `verdict`.
///
/// A request that did not run is retried. One that may have run is retried only
/// if it is repeatable. Nothing is retried after [`MAX_ATTEMPTS`] attempts or once
/// the caller has received a part of the answer. The verdict reported to the caller
/// covers all attempts, see [`overall`].
#[must_use]
pub fn next(progress: Progress, verdict: Verdict) -> Next {
    let finish = Next::Finish {
        verdict: overall(progress.uncertain, verdict),
    };
    if progress.attempts >= MAX_ATTEMPTS || progress.answer_started {
        return finish;
    }
    match verdict {
        Verdict::NotRun { reason } => Next::Retry { reason },
        Verdict::MayHaveRun { reason } if progress.repeat == Repeat::Repeatable => {
            Next::Retry { reason }
        }
        Verdict::MayHaveRun { .. } | Verdict::Ran => finish,
    }
}

/// Combines the verdicts of all attempts; the last attempt ended with `last`.
///
/// If an earlier attempt may have run, the request may have run even if the last
/// attempt did not.
#[must_use]
pub fn overall(uncertain: Option<Reason>, last: Verdict) -> Verdict {
    match (uncertain, last) {
        (Some(_), Verdict::NotRun { reason }) => Verdict::MayHaveRun { reason },
        _ => last,
    }
}

//! The outcome of an attempt: whether the request may have run.

use serde::{Deserialize, Serialize};

use super::Reason;

/// The outcome of an attempt. [`Verdict::NotRun`] may be reported only by a component
/// that knows that the request did not and will not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "verdict")]
pub enum Verdict {
    /// The request did not run and will not.
    NotRun { reason: Reason },
    /// The request may have run, partly or completely.
    MayHaveRun { reason: Reason },
    /// The request ran and the complete answer was delivered.
    Ran,
}

impl Verdict {
    /// The request did not run and will not.
    #[must_use]
    pub fn not_run(reason: Reason) -> Self {
        Self::NotRun { reason }
    }

    /// The request may have run.
    #[must_use]
    pub fn may_have_run(reason: Reason) -> Self {
        Self::MayHaveRun { reason }
    }

    /// Why the attempt failed; `None` if it ran.
    #[must_use]
    pub fn reason(self) -> Option<Reason> {
        match self {
            Self::NotRun { reason } | Self::MayHaveRun { reason } => Some(reason),
            Self::Ran => None,
        }
    }
}

//! Whether a request may have run.

use serde::{Deserialize, Serialize};

use super::Reason;

/// How an attempt ended. Only a component that knows may say [`Verdict::NotRun`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "verdict")]
pub enum Verdict {
    /// The request did not run and will not.
    NotRun { reason: Reason },
    /// The request may have run, in part or whole.
    MayHaveRun { reason: Reason },
    /// The request ran and the whole answer was delivered.
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

    /// Why the attempt failed, unless it ran.
    #[must_use]
    pub fn reason(self) -> Option<Reason> {
        match self {
            Self::NotRun { reason } | Self::MayHaveRun { reason } => Some(reason),
            Self::Ran => None,
        }
    }
}

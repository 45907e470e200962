//! A claim: the right to run a keyed, not-repeatable request.
//!
//! Before an entry dispatches such a request it obtains a claim for customer
//! and key from control, where the first writer wins. A resend that finds the
//! claim held waits for its outcome or is told the truth.

use serde::{Deserialize, Serialize};

use super::{Id, Verdict};
use crate::version::Customer;

/// What a claim is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Name {
    /// Whose request it is.
    pub customer: Customer,
    /// The idempotency key.
    pub key: String,
}

/// A claim as control holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Claim {
    /// The request that obtained the claim.
    pub holder: Id,
    /// A digest of that request's body.
    pub digest: u64,
    /// How it ended; `None` while it may be running.
    pub verdict: Option<Verdict>,
    /// The VM of the agent that ran it; empty until the holder tells.
    pub vm: String,
}

/// How control answers the wish for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Outcome {
    /// The claim is the asking request's own.
    Granted,
    /// Another request with the same body holds it.
    Held { claim: Claim },
    /// Another request with another body holds it.
    Mismatch,
}

/// Judges a wish against the claim that is held, if any.
///
/// A holder that asks again, because the answer was lost, is granted again.
#[must_use]
pub fn judge(held: Option<&Claim>, holder: Id, digest: u64) -> Outcome {
    match held {
        None => Outcome::Granted,
        Some(claim) if claim.holder == holder => Outcome::Granted,
        Some(claim) if claim.digest != digest => Outcome::Mismatch,
        Some(claim) => Outcome::Held {
            claim: claim.clone(),
        },
    }
}

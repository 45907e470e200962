//! A claim: the right to run a keyed, not-repeatable request.
//!
//! Before an entry dispatches such a request it obtains a claim for customer
//! and key from control, where the first writer wins. A resend that finds the
//! claim held waits for its outcome or is told the truth.

use std::time::Duration;

use rapidhash::v3::{RapidSecrets, rapidhash_v3_seeded};
use serde::{Deserialize, Serialize};

use super::{Id, Verdict};
use crate::version::Customer;

/// How long after its grant a claim is known. A key that carries an older time
/// is refused, and no request may take longer.
pub const RETENTION: Duration = Duration::from_mins(2);

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
    /// The key's own time is before the retention, or ahead of the clock.
    Expired,
    /// Control holds as many claims as it may.
    Full,
}

/// Judges a wish against the claim that is held, if any.
///
/// A holder that asks again, because the answer was lost, is granted again.
#[must_use]
pub fn decide(held: Option<&Claim>, holder: Id, digest: u64) -> Outcome {
    match held {
        None => Outcome::Granted,
        Some(claim) if claim.holder == holder => Outcome::Granted,
        Some(claim) if claim.digest != digest => Outcome::Mismatch,
        Some(claim) => Outcome::Held {
            claim: claim.clone(),
        },
    }
}

/// The hash of a claim's [`Name`], with the time that the key carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Key {
    /// Two independent hashes of customer and key.
    pub hash: [u64; 2],
    /// Milliseconds since the Unix epoch in a key that is a version 7 UUID.
    pub born: Option<u64>,
}

impl Name {
    /// What control holds in place of the name, to bound the memory of a claim.
    #[must_use]
    pub fn key(&self) -> Key {
        let text = format!("{}\n{}", self.customer, self.key);
        Key {
            hash: HASH_SEEDS
                .map(|seed| rapidhash_v3_seeded(text.as_bytes(), &RapidSecrets::seed(seed))),
            born: uuid_v7_timestamp_ms(&self.key),
        }
    }
}

/// The seeds of the two hashes; replicas have to agree on them.
const HASH_SEEDS: [u64; 2] = [0x6b61_7961_6c00, 0x6369_636c_6f00];

/// The time that a version 7 UUID carries, in milliseconds since the Unix epoch.
#[must_use]
pub fn uuid_v7_timestamp_ms(key: &str) -> Option<u64> {
    const GROUPS: [usize; 5] = [8, 4, 4, 4, 12];
    let groups: Vec<&str> = key.split('-').collect();
    let lengths = groups.iter().map(|group| group.len());
    let hexadecimal = groups
        .iter()
        .all(|group| group.bytes().all(|byte| byte.is_ascii_hexdigit()));
    if !lengths.eq(GROUPS) || !hexadecimal || !groups[2].starts_with('7') {
        return None;
    }
    let high = u64::from_str_radix(groups[0], 16).ok()?;
    let low = u64::from_str_radix(groups[1], 16).ok()?;
    Some(high << 16 | low)
}

//! A claim: the exclusive right to run a non-repeatable request that has an idempotency key.
//!
//! Before an entry dispatches such a request, it obtains a claim for the customer
//! and the key from control, where the first writer wins. A resend that finds the
//! claim held waits for the outcome of the first request or is refused with its
//! actual state.

use std::time::Duration;

use rapidhash::v3::{RapidSecrets, rapidhash_v3_seeded};
use serde::{Deserialize, Serialize};

use super::{Id, Verdict};
use crate::version::Customer;

/// How long a claim is retained after it was granted. A key with an older timestamp
/// is refused, and the deadline of a plan must not be longer.
pub const RETENTION: Duration = Duration::from_mins(2);

/// Identifies a claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Name {
    /// The customer that sent the request.
    pub customer: Customer,
    /// The idempotency key.
    pub key: String,
}

/// A claim as control stores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Claim {
    /// The request that obtained the claim.
    pub holder: Id,
    /// The digest of that request, see [`Arrival::digest`](super::Arrival::digest).
    pub digest: u64,
    /// How the request ended; `None` while it may be running.
    pub verdict: Option<Verdict>,
    /// The VM of the agent that ran the request; empty until the holder reports it.
    pub vm: String,
}

/// The answer of control to a request for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Outcome {
    /// The requester holds the claim.
    Granted,
    /// Another request with the same digest holds the claim.
    Held { claim: Claim },
    /// A request with another digest holds the claim.
    Mismatch,
    /// The timestamp of the key is older than [`RETENTION`] or ahead of the clock.
    Expired,
    /// Control stores the maximum number of claims.
    Full,
}

/// Decides on a request for a claim, given the existing claim, if any.
///
/// The holder is granted its claim again when it repeats the request because the
/// answer was lost.
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

/// The hash of a claim's [`Name`], with the timestamp of the idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Key {
    /// Two independent hashes of customer and key.
    pub hash: [u64; 2],
    /// The timestamp of a key that is a version 7 UUID, in milliseconds since the Unix epoch.
    pub born: Option<u64>,
}

impl Name {
    /// The key that control stores in place of the name, to bound the memory of a claim.
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

/// The seeds of the two hashes. They must be the same on all replicas.
const HASH_SEEDS: [u64; 2] = [0x6b61_7961_6c00, 0x6369_636c_6f00];

/// The timestamp of a version 7 UUID, in milliseconds since the Unix epoch.
/// `None` if `key` is not a version 7 UUID.
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

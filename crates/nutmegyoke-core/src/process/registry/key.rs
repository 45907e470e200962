//! Short keys by which gateways name endpoints to each other.
//!
//! All gateways compute the same key, so they agree on none. Two of 10,000 endpoints have the same
//! key with a probability of 3 in 10^12.

use rapidhash::v3::rapidhash_v3;

use super::Stamp;

/// The key of an endpoint, or of one of its starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u64);

impl Key {
    /// The key of the endpoint called `id`.
    #[must_use]
    pub fn of(id: &str) -> Self {
        Self(rapidhash_v3(id.as_bytes()))
    }

    /// The key of the start `started_ms` of the endpoint called `id`.
    #[must_use]
    pub fn of_start(id: &str, started_ms: u64) -> Self {
        let parts = [Self::of(id).0.to_le_bytes(), started_ms.to_le_bytes()];
        Self(rapidhash_v3(parts.as_flattened()))
    }
}

/// The lower half of a heartbeat's number. A gateway that knows one of the latest heartbeats
/// completes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sequence(pub u32);

impl Sequence {
    /// The lower half of the number in `stamp`.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, reason = "the lower half")]
    pub fn of(stamp: Stamp) -> Self {
        Self(stamp.sequence as u32)
    }

    /// The stamp with this lower half, of the same start, whose number is closest to that of
    /// `known`.
    #[must_use]
    pub fn complete(self, known: Stamp) -> Stamp {
        let distance = self.0.wrapping_sub(Self::of(known).0).cast_signed();
        let sequence = known.sequence.saturating_add_signed(distance.into());
        Stamp { sequence, ..known }
    }
}

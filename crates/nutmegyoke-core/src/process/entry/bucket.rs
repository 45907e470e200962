//! A token bucket that stores only the time at which it is full again.
//!
//! A charge is the time that it takes to refill at the sustained rate. The
//! state is therefore independent of the rate and stays valid when it changes.

use std::time::{Duration, Instant};

/// A token bucket, initially full.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bucket {
    /// When the bucket is full again; `None` if it was never charged.
    full_at: Option<Instant>,
}

impl Bucket {
    /// Checks whether a bucket of capacity `burst` allows `cost`.
    ///
    /// A full bucket allows a cost above `burst` and is in debt afterwards.
    /// Otherwise a request larger than the burst could never pass.
    ///
    /// # Errors
    ///
    /// The time to wait until the cost is allowed, if nothing else is charged.
    pub fn check(&self, now: Instant, cost: Duration, burst: Duration) -> Result<(), Duration> {
        let needed = self.debt(now) + cost.min(burst);
        match needed.checked_sub(burst) {
            None | Some(Duration::ZERO) => Ok(()),
            Some(wait) => Err(wait),
        }
    }

    /// Takes `cost` out of the bucket.
    pub fn charge(&mut self, now: Instant, cost: Duration) {
        self.full_at = (now + self.debt(now)).checked_add(cost).or(self.full_at);
    }

    /// Returns `cost` to the bucket, up to its capacity.
    pub fn refund(&mut self, now: Instant, cost: Duration) {
        self.full_at = Some(now + self.debt(now).saturating_sub(cost));
    }

    /// Whether the bucket is full.
    #[must_use]
    pub fn is_full(&self, now: Instant) -> bool {
        self.debt(now).is_zero()
    }

    /// The time until the bucket is full.
    fn debt(&self, now: Instant) -> Duration {
        let full_at = self.full_at;
        full_at.map_or(Duration::ZERO, |full_at| {
            full_at.saturating_duration_since(now)
        })
    }
}

//! A token bucket, kept as the time at which it will be full again.
//!
//! Every charge is a span of time: what it costs at the sustained rate. So the
//! state does not depend on the rate, and survives a change of it.

use std::time::{Duration, Instant};

/// A bucket; full at first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bucket {
    /// When it is full again; `None` stands for a bucket that never was charged.
    full: Option<Instant>,
}

impl Bucket {
    /// Whether `cost` fits into a bucket that holds `burst`.
    ///
    /// A cost above `burst` fits into a full bucket, which is in debt afterwards:
    /// otherwise a long request could never pass.
    ///
    /// # Errors
    ///
    /// The time after which it fits.
    pub fn check(&self, now: Instant, cost: Duration, burst: Duration) -> Result<(), Duration> {
        let level = self.debt(now) + cost.min(burst);
        match level.checked_sub(burst) {
            None | Some(Duration::ZERO) => Ok(()),
            Some(wait) => Err(wait),
        }
    }

    /// Takes `cost` out.
    pub fn charge(&mut self, now: Instant, cost: Duration) {
        self.full = (now + self.debt(now)).checked_add(cost).or(self.full);
    }

    /// Puts `cost` back, up to a full bucket.
    pub fn refund(&mut self, now: Instant, cost: Duration) {
        self.full = Some(now + self.debt(now).saturating_sub(cost));
    }

    /// Whether nothing is owed.
    #[must_use]
    pub fn full(&self, now: Instant) -> bool {
        self.debt(now).is_zero()
    }

    /// How much is missing, as the time to fill it.
    fn debt(&self, now: Instant) -> Duration {
        let full = self.full;
        full.map_or(Duration::ZERO, |full| full.saturating_duration_since(now))
    }
}

//! Exponential backoff with jitter.

use std::time::Duration;

/// The range of delays between attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// The upper bound of the first delay; it doubles with each attempt.
    pub base: Duration,
    /// The upper bound of every delay.
    pub max: Duration,
}

/// The delay between two attempts of a request.
pub const RETRY: Backoff = Backoff {
    base: Duration::from_millis(20),
    max: Duration::from_millis(500),
};

/// The delay between two requests for a claim that another request holds.
pub const CLAIM_POLL: Backoff = Backoff {
    base: Duration::from_millis(100),
    max: Duration::from_secs(1),
};

impl Backoff {
    /// The delay after `attempts` attempts.
    ///
    /// It is drawn from the upper half of a range that doubles with each
    /// attempt. The jitter spreads out requests that failed at the same time.
    pub fn delay(&self, attempts: u32, random: &mut fastrand::Rng) -> Duration {
        let doubled = self
            .base
            .saturating_mul(1 << attempts.saturating_sub(1).min(16));
        let longest = doubled.min(self.max);
        longest.mul_f64(0.5 + random.f64() / 2.0)
    }
}

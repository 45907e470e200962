//! The pause before another try.

use std::time::Duration;

/// How a pause grows from try to try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// The longest pause before the second try.
    pub base: Duration,
    /// The longest pause at all.
    pub most: Duration,
}

/// Between two attempts at a request.
pub const ATTEMPT: Backoff = Backoff {
    base: Duration::from_millis(20),
    most: Duration::from_millis(500),
};

/// Between two looks at a claim that another request holds.
pub const CLAIM: Backoff = Backoff {
    base: Duration::from_millis(100),
    most: Duration::from_secs(1),
};

impl Backoff {
    /// The pause after `tries` tries: at random in the upper half of a range
    /// that doubles, so that requests which failed together spread out.
    pub fn pause(&self, tries: u32, random: &mut fastrand::Rng) -> Duration {
        let doubled = self
            .base
            .saturating_mul(1 << tries.saturating_sub(1).min(16));
        let longest = doubled.min(self.most);
        longest.mul_f64(0.5 + random.f64() / 2.0)
    }
}

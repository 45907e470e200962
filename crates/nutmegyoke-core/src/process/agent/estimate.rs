//! What an endpoint's requests have taken lately.

use std::time::Duration;

/// The share of the newest sample in a mean is 1 in this many.
const SMOOTHING_DIVISOR: u64 = 8;

/// Moving means over the requests that an endpoint answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    /// From the start to the first part of the answer, in nanoseconds.
    first_byte: Mean,
    /// From the start to the end, in nanoseconds.
    duration: Mean,
    /// The declared work, in tokens.
    cost: Mean,
}

/// A moving mean, 0 before the first sample.
#[derive(Clone, Copy, Debug, Default)]
struct Mean(u64);

impl Mean {
    fn add(&mut self, sample: u64) {
        let sample = sample.max(1);
        self.0 = match self.0 {
            0 => sample,
            mean => (mean - mean / SMOOTHING_DIVISOR + sample / SMOOTHING_DIVISOR).max(1),
        };
    }
}

impl Estimate {
    /// Takes in the time to the first part of an answer.
    pub fn record_first_byte(&mut self, elapsed: Duration) {
        self.first_byte.add(nanoseconds(elapsed));
    }

    /// Takes in the time that a request of `cost` tokens held its slot.
    pub fn record_completion(&mut self, elapsed: Duration, cost: u64) {
        self.duration.add(nanoseconds(elapsed));
        self.cost.add(cost);
    }

    /// From the start of a request to the first part of its answer.
    #[must_use]
    pub fn time_to_first_byte(&self) -> Duration {
        Duration::from_nanos(self.first_byte.0)
    }

    /// From the start of a request of at most `cost` tokens to its end, if it is
    /// no longer than most.
    #[must_use]
    pub fn duration_capped_at_mean(&self, cost: u64) -> Duration {
        self.duration(cost.min(self.cost.0))
    }

    /// From the start of a request of `cost` tokens to its end.
    #[must_use]
    pub fn duration(&self, cost: u64) -> Duration {
        let nanoseconds =
            u128::from(self.duration.0) * u128::from(cost) / u128::from(self.cost.0.max(1));
        Duration::from_nanos(u64::try_from(nanoseconds).unwrap_or(u64::MAX))
    }

    /// From now until a full endpoint with `slots` has served `ahead` tokens and a
    /// slot is free.
    #[must_use]
    pub fn wait(&self, ahead: u64, slots: u32) -> Duration {
        self.duration(ahead.saturating_add(self.cost.0)) / slots.max(1)
    }
}

fn nanoseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}

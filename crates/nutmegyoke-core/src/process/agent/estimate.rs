//! What an endpoint's requests have taken lately.

use std::time::Duration;

/// The share of the newest sample in a mean is 1 in this many.
const SAMPLES: u64 = 8;

/// Moving means over the requests that an endpoint answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    /// From the start to the first part of the answer, in nanoseconds.
    first: Mean,
    /// From the start to the end, in nanoseconds.
    whole: Mean,
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
            mean => (mean - mean / SAMPLES + sample / SAMPLES).max(1),
        };
    }
}

impl Estimate {
    /// Takes in the time to the first part of an answer.
    pub fn answered(&mut self, took: Duration) {
        self.first.add(nanoseconds(took));
    }

    /// Takes in the time that a request of `cost` tokens held its slot.
    pub fn finished(&mut self, took: Duration, cost: u64) {
        self.whole.add(nanoseconds(took));
        self.cost.add(cost);
    }

    /// From the start of a request to the first part of its answer.
    #[must_use]
    pub fn first(&self) -> Duration {
        Duration::from_nanos(self.first.0)
    }

    /// From the start of a request of at most `cost` tokens to its end, if it is
    /// no longer than most.
    #[must_use]
    pub fn least(&self, cost: u64) -> Duration {
        self.whole(cost.min(self.cost.0))
    }

    /// From the start of a request of `cost` tokens to its end.
    #[must_use]
    pub fn whole(&self, cost: u64) -> Duration {
        let nanoseconds =
            u128::from(self.whole.0) * u128::from(cost) / u128::from(self.cost.0.max(1));
        Duration::from_nanos(u64::try_from(nanoseconds).unwrap_or(u64::MAX))
    }

    /// From now until a full endpoint with `slots` has served `ahead` tokens and a
    /// slot is free.
    #[must_use]
    pub fn wait(&self, ahead: u64, slots: u32) -> Duration {
        self.whole(ahead.saturating_add(self.cost.0)) / slots.max(1)
    }
}

fn nanoseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}

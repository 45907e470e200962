//! Estimates of an endpoint's latency from its recent requests.

use std::time::Duration;

/// The newest sample has a weight of 1 over this number in the moving average.
const SMOOTHING_DIVISOR: u64 = 8;

/// Moving averages over the requests that an endpoint answered.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    /// From a request's start to the first part of its answer, in nanoseconds.
    first_byte: Mean,
    /// From a request's start to its end, in nanoseconds.
    duration: Mean,
    /// The declared cost, in tokens.
    cost: Mean,
}

/// An exponential moving average; 0 before the first sample.
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
    /// Records the time from a request's start to the first part of its answer.
    pub fn record_first_byte(&mut self, elapsed: Duration) {
        self.first_byte.add(nanoseconds(elapsed));
    }

    /// Records the time for which a request of `cost` tokens held its slot.
    pub fn record_completion(&mut self, elapsed: Duration, cost: u64) {
        self.duration.add(nanoseconds(elapsed));
        self.cost.add(cost);
    }

    /// The expected time from a request's start to the first part of its answer.
    #[must_use]
    pub fn time_to_first_byte(&self) -> Duration {
        Duration::from_nanos(self.first_byte.0)
    }

    /// The expected time from start to end of a request of at most `cost` tokens,
    /// assuming that it costs no more than the average request.
    #[must_use]
    pub fn duration_capped_at_mean(&self, cost: u64) -> Duration {
        self.duration(cost.min(self.cost.0))
    }

    /// The expected time from start to end of a request of `cost` tokens.
    #[must_use]
    pub fn duration(&self, cost: u64) -> Duration {
        let nanoseconds =
            u128::from(self.duration.0) * u128::from(cost) / u128::from(self.cost.0.max(1));
        Duration::from_nanos(u64::try_from(nanoseconds).unwrap_or(u64::MAX))
    }

    /// The expected time until an endpoint whose `slots` are all taken has served the
    /// `ahead` tokens that wait, and has a free slot.
    #[must_use]
    pub fn wait(&self, ahead: u64, slots: u32) -> Duration {
        self.duration(ahead.saturating_add(self.cost.0)) / slots.max(1)
    }
}

fn nanoseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}

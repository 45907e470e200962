//! The speed of an endpoint, learned from the times to the first event of its responses.
//!
//! The unit of work is a prompt token for an engine and a request for a plain endpoint.

use std::time::{Duration, Instant};

use super::Estimate;

/// How long samples count. The fast average notices that an endpoint slows down for a second or
/// two. A gateway of a large fleet sees an endpoint once in some seconds, so a lasting
/// difference in speed is learned only over the slow one, which is three times as long.
const SLOW_TIME_CONSTANT: Duration = Duration::from_secs(9);

/// A sample counts as at most this many times its expected duration, and at least its inverse. One
/// request that waited behind an unknown backlog must not exclude an endpoint, and a prompt that was
/// cached must not attract all others.
const MAX_SAMPLE_RATIO: f64 = 8.0;

/// The times to the first event at engines vary by this ratio without a difference in speed, because
/// prompts may be cached or not and the load is not known exactly. A smaller difference must not
/// outweigh a cached prefix.
const TOLERATED_RATIO: f64 = 1.25;

/// No engine counts as faster than its service by more than this ratio. Responses that come sooner than
/// expected are mostly those whose prompts were cached, and would draw other prompts to the engine.
const MIN_RATIO: f64 = 0.7;

/// The decayed sums of the durations of responses and of the work ahead of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Speed {
    updated: Option<Instant>,
    /// Milliseconds and units of work, over the fast and the slow time constant.
    sums: [(f64, f64); 2],
}

impl Speed {
    /// Records that a response took `took`, where `estimate` was expected.
    ///
    /// The less of the expected work is known to this gateway, the less the sample counts: a
    /// response that waited behind unknown requests of other gateways shows little of the speed.
    pub fn record(&mut self, now: Instant, took: Duration, estimate: &Estimate) {
        let expected_ms = estimate.work * estimate.ms_per_unit;
        let bounds = [
            expected_ms / MAX_SAMPLE_RATIO,
            expected_ms * MAX_SAMPLE_RATIO,
        ];
        let took_ms = (took.as_secs_f64() * 1e3).clamp(bounds[0], bounds[1]);
        let weight = estimate.known * estimate.known;
        let sums = self.decayed(now);
        self.sums =
            sums.map(|(time, work)| (time + took_ms * weight, work + estimate.work * weight));
        self.updated = Some(now);
    }

    /// The expected milliseconds for each unit of work: the slow average, which counts `prior` as
    /// a sample of `prior_work` units, and in place of that prior the fast average.
    #[must_use]
    pub fn ms_per_unit(&self, now: Instant, prior: f64, prior_work: f64) -> f64 {
        let [fast, slow] = self.decayed(now);
        let shrink = |(time, work): (f64, f64), prior: f64| {
            (time + prior * prior_work) / (work + prior_work)
        };
        shrink(fast, shrink(slow, prior))
    }

    /// Like [`Speed::ms_per_unit`], but the same as `prior` if the difference may be by chance. From
    /// there to twice the tolerated ratio it rises to the true one.
    #[must_use]
    pub fn tolerant_ms_per_unit(&self, now: Instant, prior: f64, prior_work: f64) -> f64 {
        let ratio = self.ms_per_unit(now, prior, prior_work) / prior;
        let ratio = ratio.max(MIN_RATIO);
        let tolerated = |ratio: f64| {
            let excess = (ratio / TOLERATED_RATIO - 1.0).clamp(0.0, 1.0);
            1.0 + (ratio - 1.0) * excess
        };
        if ratio >= 1.0 {
            prior * tolerated(ratio)
        } else {
            prior / tolerated(1.0 / ratio)
        }
    }

    fn decayed(&self, now: Instant) -> [(f64, f64); 2] {
        let Some(updated) = self.updated else {
            return [(0.0, 0.0); 2];
        };
        let age = now.saturating_duration_since(updated);
        let slow = (-age.div_duration_f64(SLOW_TIME_CONSTANT)).exp();
        let fast = slow * slow * slow;
        let scale = |(time, work): (f64, f64), factor| (time * factor, work * factor);
        [scale(self.sums[0], fast), scale(self.sums[1], slow)]
    }
}

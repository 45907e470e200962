//! How fast an engine prefills prompts and releases memory, learned from its reports.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Load, Run};

/// The prompt tokens that an engine is assumed to prefill in a second until its reports show
/// more. Engines with the largest models that are served in a fleet are slower, most are faster.
const PRIOR_TOKENS_PER_SECOND: u32 = 32_000;

/// The assumed rate counts like this much of learned time.
const PRIOR_TIME: Duration = Duration::from_millis(300);

/// The time constant of the learned prefill rate, in time of prefilling: a few long prompts, so
/// that one that was taken for cached counts little.
const PREFILL_TIME_CONSTANT: Duration = Duration::from_secs(3);

/// The time constant of the learned releases. An answer takes a few seconds.
const RELEASE_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// The time within which the requests at an engine are assumed to end, if fewer have ended
/// before.
const LONGEST_RUN: Duration = Duration::from_secs(4);

/// Two reports that are further apart show no rate.
const MAX_INTERVAL: Duration = Duration::from_millis(500);

/// The rates of an engine.
#[derive(Debug)]
pub struct Pace {
    /// The prefilled tokens and the seconds that they took, both decaying.
    prefilled: (f64, f64),
    /// The tokens of the requests that ended, decaying.
    released: f64,
}

impl Default for Pace {
    fn default() -> Self {
        let seconds = PRIOR_TIME.as_secs_f64();
        Self {
            prefilled: (f64::from(PRIOR_TOKENS_PER_SECOND) * seconds, seconds),
            released: 0.0,
        }
    }
}

impl Pace {
    /// Learns from two reports that are `elapsed` apart. `uncached` gives the tokens that had to
    /// be prefilled for a request, if that is known.
    pub fn record(
        &mut self,
        elapsed: Duration,
        before: &Load,
        after: &Load,
        uncached: impl Fn(&str) -> Option<u64>,
    ) {
        let seconds = elapsed.as_secs_f64();
        let runs: BTreeMap<&str, &Run> =
            after.runs.iter().map(|run| (&*run.request, run)).collect();
        let decay = (-seconds / RELEASE_TIME_CONSTANT.as_secs_f64()).exp();
        let ended = before.runs.iter();
        let ended = ended.filter(|run| !runs.contains_key(run.request.as_str()));
        let ended: f64 = ended.map(|run| float(run.tokens)).sum();
        self.released = self.released * decay + ended;
        let prefills = |load: &Load| load.runs.iter().any(|run| run.events == 0);
        if elapsed > MAX_INTERVAL || !prefills(before) || !prefills(after) {
            return;
        }
        let begun = before.runs.iter().filter(|run| run.events == 0);
        let done = begun.filter(|run| {
            runs.get(run.request.as_str())
                .is_some_and(|run| run.events > 0)
        });
        let done: f64 = done
            .filter_map(|run| uncached(&run.request))
            .map(float)
            .sum();
        let decay = (-seconds / PREFILL_TIME_CONSTANT.as_secs_f64()).exp();
        self.prefilled.0 = self.prefilled.0 * decay + done;
        self.prefilled.1 = self.prefilled.1 * decay + seconds;
    }

    /// The time to prefill this many tokens.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        let (prefilled, seconds) = self.prefilled;
        let prior = f64::from(PRIOR_TOKENS_PER_SECOND);
        let rate = (prefilled / seconds).clamp(prior / 8.0, prior * 8.0);
        duration(tokens, rate)
    }

    /// The time until `tokens` of the `held` ones are released.
    pub fn release_time(&self, tokens: u64, held: u64) -> Duration {
        let rate = self.released / RELEASE_TIME_CONSTANT.as_secs_f64();
        duration(tokens, rate.max(float(held) / LONGEST_RUN.as_secs_f64()))
    }
}

/// The time to prefill this many tokens at an engine of which nothing is known.
#[must_use]
pub fn prefill_time(tokens: u64) -> Duration {
    duration(tokens, f64::from(PRIOR_TOKENS_PER_SECOND))
}

/// The time until `tokens` of the `held` ones are released at an engine of which nothing is known.
#[must_use]
pub fn release_time(tokens: u64, held: u64) -> Duration {
    duration(tokens, float(held) / LONGEST_RUN.as_secs_f64())
}

/// The time that `count` takes at `rate` per second, an hour at most.
fn duration(count: u64, rate: f64) -> Duration {
    if count == 0 {
        return Duration::ZERO;
    }
    let seconds = float(count) / rate.max(f64::MIN_POSITIVE);
    Duration::from_secs_f64(seconds.min(3600.0))
}

fn float(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

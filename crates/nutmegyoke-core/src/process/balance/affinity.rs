//! The prompt prefixes that an engine probably has in its cache.
//!
//! All gateways send requests with the same shared prefix first to the engines that are first in
//! its rendezvous order. So these probably have it, also if this gateway has not sent it there.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Over what time the frequency of a prefix is averaged.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(45);

/// The longest time that a prefix is expected to stay in the cache of an engine.
const MAX_RETENTION: Duration = Duration::from_secs(45);

/// The share of an engine's cache memory that holds prefixes; running requests take the rest.
const PREFIX_SHARE: f64 = 0.5;

/// The most prefixes whose frequency is remembered. Beyond this all are dropped, which costs some
/// affinity for [`RATE_TIME_CONSTANT`].
const MAX_PREFIXES: usize = 4096;

/// The share of requests whose prefix this gateway had lately, before any request, and its weight
/// in requests.
const PRIOR_REPEATS: (f64, f64) = (1.5, 5.0);

/// The factor by which each request lowers the weight of earlier ones in the share of repeats: the
/// last few hundred count.
const REQUEST_DECAY: f64 = 0.995;

/// The share of the requests with a prefix that goes on from one place in the order to the next,
/// because the endpoint there is too busy.
const PLACE_FACTOR: f64 = 0.3;

/// The number of places that requests with a prefix go to.
pub const PLACES: usize = 4;

/// How often this gateway has had each shared prefix lately.
#[derive(Debug)]
pub struct Sightings {
    /// The decayed number, and when it was last updated, by the prefix.
    prefixes: HashMap<u64, (Instant, f64)>,
    /// The decayed number of requests whose prefix this gateway had had lately, and of all.
    repeats: (f64, f64),
}

impl Default for Sightings {
    fn default() -> Self {
        Self {
            prefixes: HashMap::new(),
            repeats: PRIOR_REPEATS,
        }
    }
}

impl Sightings {
    /// Records a request with the shared prefix.
    pub fn record(&mut self, now: Instant, prefix: u64) {
        let known = self.count(now, prefix);
        let (repeats, total) = self.repeats;
        self.repeats = (
            repeats * REQUEST_DECAY + (1.0 - (-known).exp()),
            total * REQUEST_DECAY + 1.0,
        );
        let count = known + 1.0;
        if self.prefixes.len() >= MAX_PREFIXES && !self.prefixes.contains_key(&prefix) {
            self.prefixes.clear();
        }
        self.prefixes.insert(prefix, (now, count));
    }

    /// The number of requests with the shared prefix that `others` other gateways are expected to
    /// have had within `retention`. They are taken to have it as often as this one, which has a prefix that is new
    /// to it as often as the share of repeats says.
    #[must_use]
    pub fn elsewhere(&self, now: Instant, prefix: u64, others: usize, retention: Duration) -> f64 {
        let others = f64::from(u32::try_from(others).unwrap_or(u32::MAX));
        let share = retention.div_duration_f64(RATE_TIME_CONSTANT);
        let (repeats, total) = self.repeats;
        (self.count(now, prefix) + repeats / total) * others * share
    }

    fn count(&self, now: Instant, prefix: u64) -> f64 {
        self.prefixes.get(&prefix).map_or(0.0, |&(at, count)| {
            let age = now.saturating_duration_since(at);
            count * (-age.div_duration_f64(RATE_TIME_CONSTANT)).exp()
        })
    }
}

/// How long a prefix is expected to stay in the cache of an engine after its last use, if the
/// engine gets `inflow` prompt tokens in a millisecond that are not cached.
#[must_use]
pub fn retention(cache_tokens: f64, inflow: f64) -> Duration {
    let seconds = cache_tokens * PREFIX_SHARE / inflow / 1e3;
    // A quotient with an inflow of 0 is infinite or not a number.
    Duration::from_secs_f64(seconds.min(MAX_RETENTION.as_secs_f64()))
}

/// The probability that an engine still has a prefix that it was sent `age` ago.
#[must_use]
pub fn remaining(age: Duration, retention: Duration) -> f64 {
    (-age.div_duration_f64(retention)).exp()
}

/// The probability that the engine at a `place` in the rendezvous order of a prefix, counted from
/// 0, has it in its cache, if other gateways are expected to have had it in `elsewhere` requests.
/// The more frequent a prefix is, the more engines have it.
#[must_use]
pub fn cached(elsewhere: f64, place: usize) -> f64 {
    if place >= PLACES {
        return 0.0;
    }
    let place = i32::try_from(place).unwrap_or(i32::MAX);
    1.0 - (-elsewhere * PLACE_FACTOR.powi(place)).exp()
}

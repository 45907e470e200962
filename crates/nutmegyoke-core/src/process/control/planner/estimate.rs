//! Requests a second by model or adapter, decayed.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::process::report::{Demand, Report};

/// The time constant of the decay.
const DECAY_TIME_CONSTANT: Duration = Duration::from_secs(15);

/// Estimates rates from the counters that agents report.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    /// The last counters, by VM and endpoint.
    counters: HashMap<(String, String), HashMap<String, u64>>,
    /// Requests since the last update, by name.
    new_requests: HashMap<String, u64>,
    rates: HashMap<String, f64>,
    /// The lowest rates of late, by name; see [`Estimate::sustained`].
    minima: HashMap<String, Minima>,
    updated: Option<Instant>,
}

/// The times at which a rate was lower than at any time since, in order.
type Minima = VecDeque<(Instant, f64)>;

impl Estimate {
    /// Takes the counters of one engine in; a counter that fell began anew.
    pub fn record(&mut self, vm: &str, report: &Report) {
        let key = (vm.to_owned(), report.endpoint.clone());
        let known = self.counters.entry(key).or_default();
        for Demand { name, requests } in &report.demand {
            let before = known.insert(name.clone(), *requests).unwrap_or(0);
            let more = requests.checked_sub(before).unwrap_or(*requests);
            if more > 0 {
                *self.new_requests.entry(name.clone()).or_default() += more;
            }
        }
    }

    /// Forgets the counters of a VM that left.
    pub fn forget(&mut self, vm: &str) {
        self.counters.retain(|(name, _), _| name != vm);
    }

    /// Brings the rates up to date; a rate counts as sustained after `hold`.
    pub fn update(&mut self, now: Instant, hold: Duration) {
        self.decay(now);
        for (name, &rate) in &self.rates {
            let lows = self.minima.entry(name.clone()).or_insert_with(|| {
                // Before the first request there was none.
                VecDeque::from([(now, 0.0)])
            });
            while lows.back().is_some_and(|&(_, low)| low >= rate) {
                lows.pop_back();
            }
            lows.push_back((now, rate));
            while lows.len() > 1 && lows[0].0 + hold <= now {
                lows.pop_front();
            }
        }
    }

    fn decay(&mut self, now: Instant) {
        let Some(updated) = self.updated.replace(now) else {
            self.new_requests.clear();
            return;
        };
        let passed = now.saturating_duration_since(updated).as_secs_f64();
        if passed <= 0.0 {
            return;
        }
        let keep = (-passed / DECAY_TIME_CONSTANT.as_secs_f64()).exp();
        for rate in self.rates.values_mut() {
            *rate *= keep;
        }
        #[expect(
            clippy::cast_precision_loss,
            reason = "a count of some seconds is small"
        )]
        for (name, count) in self.new_requests.drain() {
            *self.rates.entry(name).or_default() += (1.0 - keep) * count as f64 / passed;
        }
    }

    /// The lowest rate of the last `hold`: a burst that was shorter does not show.
    #[must_use]
    pub fn sustained(&self, name: &str) -> f64 {
        let low = self.minima.get(name).and_then(VecDeque::front);
        low.map_or(0.0, |&(_, rate)| rate)
    }

    /// The rate of a model or adapter, in requests a second.
    #[must_use]
    pub fn rate(&self, name: &str) -> f64 {
        self.rates.get(name).copied().unwrap_or(0.0)
    }
}

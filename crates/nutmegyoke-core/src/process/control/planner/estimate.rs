//! Estimates the request rate of each model and adapter by an exponential moving
//! average.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::process::report::{Demand, Report};

/// The time constant of the moving average.
const DECAY_TIME_CONSTANT: Duration = Duration::from_secs(15);

/// The request rates, estimated from the counters that agents report.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    /// The last reported counters by VM and endpoint, then by name.
    counters: HashMap<(String, String), HashMap<String, u64>>,
    /// Requests since the last update, by name.
    new_requests: HashMap<String, u64>,
    /// Requests per second, by name.
    rates: HashMap<String, f64>,
    /// Sliding-window minima of the rates, by name; see [`Estimate::sustained`].
    minima: HashMap<String, Minima>,
    /// When the rates were last updated.
    updated: Option<Instant>,
}

/// A monotonic queue: the times at which a rate was lower than at any later time,
/// oldest first.
type Minima = VecDeque<(Instant, f64)>;

impl Estimate {
    /// Records the counters of one engine; a counter that decreased was reset to 0.
    pub fn record(&mut self, vm: &str, report: &Report) {
        let key = (vm.to_owned(), report.endpoint.clone());
        let counters = self.counters.entry(key).or_default();
        for Demand { name, requests } in &report.demand {
            let last = counters.insert(name.clone(), *requests).unwrap_or(0);
            let added = requests.checked_sub(last).unwrap_or(*requests);
            if added > 0 {
                *self.new_requests.entry(name.clone()).or_default() += added;
            }
        }
    }

    /// Removes the counters of a VM that left.
    pub fn forget(&mut self, vm: &str) {
        self.counters.retain(|(name, _), _| name != vm);
    }

    /// Updates the rates, and their minima over the last `window`.
    pub fn update(&mut self, now: Instant, window: Duration) {
        self.decay(now);
        for (name, &rate) in &self.rates {
            let minima = self.minima.entry(name.clone()).or_insert_with(|| {
                // The rate was 0 until the first request.
                VecDeque::from([(now, 0.0)])
            });
            while minima.back().is_some_and(|&(_, low)| low >= rate) {
                minima.pop_back();
            }
            minima.push_back((now, rate));
            while minima.len() > 1 && minima[0].0 + window <= now {
                minima.pop_front();
            }
        }
    }

    /// Decays the rates and adds the requests since the last update.
    fn decay(&mut self, now: Instant) {
        let Some(updated) = self.updated.replace(now) else {
            self.new_requests.clear();
            return;
        };
        let elapsed = now.saturating_duration_since(updated).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        let keep = (-elapsed / DECAY_TIME_CONSTANT.as_secs_f64()).exp();
        for rate in self.rates.values_mut() {
            *rate *= keep;
        }
        #[expect(
            clippy::cast_precision_loss,
            reason = "the requests between two updates are far fewer than 2^52"
        )]
        for (name, count) in self.new_requests.drain() {
            *self.rates.entry(name).or_default() += (1.0 - keep) * count as f64 / elapsed;
        }
    }

    /// The lowest rate within the window of [`Estimate::update`], in requests per
    /// second, so that shorter bursts are ignored.
    #[must_use]
    pub fn sustained(&self, name: &str) -> f64 {
        let low = self.minima.get(name).and_then(VecDeque::front);
        low.map_or(0.0, |&(_, rate)| rate)
    }

    /// The current rate of a model or adapter, in requests per second.
    #[must_use]
    pub fn rate(&self, name: &str) -> f64 {
        self.rates.get(name).copied().unwrap_or(0.0)
    }
}

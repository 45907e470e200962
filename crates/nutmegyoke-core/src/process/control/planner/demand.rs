//! Requests a second by model or adapter, decayed.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::process::report::{Demand, Report};

/// The time constant of the decay.
const DECAY: Duration = Duration::from_secs(15);

/// Estimates rates from the counters that agents report.
#[derive(Clone, Debug, Default)]
pub struct Estimate {
    /// The last counters, by VM and endpoint.
    counters: HashMap<(String, String), HashMap<String, u64>>,
    /// Requests since the last update, by name.
    fresh: HashMap<String, u64>,
    rates: HashMap<String, f64>,
    updated: Option<Instant>,
}

impl Estimate {
    /// Takes the counters of one engine in; a counter that fell began anew.
    pub fn count(&mut self, vm: &str, report: &Report) {
        let key = (vm.to_owned(), report.endpoint.clone());
        let known = self.counters.entry(key).or_default();
        for Demand { name, requests } in &report.demand {
            let before = known.insert(name.clone(), *requests).unwrap_or(0);
            let more = requests.checked_sub(before).unwrap_or(*requests);
            if more > 0 {
                *self.fresh.entry(name.clone()).or_default() += more;
            }
        }
    }

    /// Forgets the counters of a VM that left.
    pub fn forget(&mut self, vm: &str) {
        self.counters.retain(|(name, _), _| name != vm);
    }

    /// Brings the rates up to date.
    pub fn update(&mut self, now: Instant) {
        let Some(updated) = self.updated.replace(now) else {
            self.fresh.clear();
            return;
        };
        let passed = now.saturating_duration_since(updated).as_secs_f64();
        if passed <= 0.0 {
            return;
        }
        let keep = (-passed / DECAY.as_secs_f64()).exp();
        for rate in self.rates.values_mut() {
            *rate *= keep;
        }
        #[expect(
            clippy::cast_precision_loss,
            reason = "a count of some seconds is small"
        )]
        for (name, count) in self.fresh.drain() {
            *self.rates.entry(name).or_default() += (1.0 - keep) * count as f64 / passed;
        }
    }

    /// The rate of a model or adapter, in requests a second.
    #[must_use]
    pub fn rate(&self, name: &str) -> f64 {
        self.rates.get(name).copied().unwrap_or(0.0)
    }
}

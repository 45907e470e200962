//! How much work each model and each endpoint has, over all gateways.
//!
//! Each gateway measures its own part and tells the others with its rumors.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::version::Model;

/// The times over which demand is averaged; the higher average counts. Demand
/// that rises is followed within seconds, demand that falls may come back.
const AVERAGES: [Duration; 2] = [Duration::from_millis(1500), Duration::from_secs(6)];

/// How long what another gateway told counts: two of its messages and a slow one.
const LEASE: Duration = Duration::from_millis(4500);

/// Demand below this, in prompt tokens per second, is not worth telling.
const LEAST_RATE: f64 = 1.0;

/// The work that one gateway causes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Work {
    /// Prompt tokens to be read for each model, per second.
    pub models: Vec<(Model, f64)>,
    /// What each endpoint has of the gateway's requests.
    pub endpoints: Vec<(String, Backlog)>,
}

/// The requests at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Prompt tokens that still have to be read.
    pub ahead: u64,
    /// Requests in flight.
    pub in_flight: u32,
}

/// The work of all gateways.
#[derive(Debug, Default)]
pub struct Demand {
    own: BTreeMap<Model, Rate>,
    /// What the others told, by the run of their process.
    others: HashMap<u64, (Instant, Work)>,
    /// The sum of what the others told of each endpoint.
    backlogs: HashMap<String, Backlog>,
    /// What an earlier leader recorded, and when it was recalled.
    recalled: Option<(Instant, Vec<(Model, f64)>)>,
}

/// A rate that forgets what is long ago.
#[derive(Clone, Copy, Debug)]
struct Rate {
    at: Instant,
    /// What came, with what is older counted for less, for each of [`AVERAGES`].
    sums: [f64; 2],
}

impl Rate {
    fn open(now: Instant) -> Self {
        let sums = [0.0; 2];
        Self { at: now, sums }
    }

    fn decayed(self, now: Instant) -> [f64; 2] {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let [fast, slow] = AVERAGES.map(|average| (-age / average.as_secs_f64()).exp());
        [self.sums[0] * fast, self.sums[1] * slow]
    }

    fn per_second(self, now: Instant) -> f64 {
        let [fast, slow] = self.decayed(now);
        let [fast_average, slow_average] = AVERAGES.map(|average| average.as_secs_f64());
        (fast / fast_average).max(slow / slow_average)
    }
}

impl Demand {
    /// Counts prompt tokens that have to be read for `model`.
    pub fn count(&mut self, now: Instant, model: &Model, tokens: u64) {
        let tokens = f64::from(u32::try_from(tokens).unwrap_or(u32::MAX));
        let rate = self.own.entry(model.clone()).or_insert(Rate::open(now));
        let sums = rate.decayed(now).map(|sum| sum + tokens);
        *rate = Rate { at: now, sums };
    }

    /// The own demand for each model, in prompt tokens per second.
    #[must_use]
    pub fn own(&self, now: Instant) -> Vec<(Model, f64)> {
        let rates = self.own.iter();
        let rates = rates.map(|(model, rate)| (model.clone(), rate.per_second(now)));
        rates.filter(|&(_, rate)| rate >= LEAST_RATE).collect()
    }

    /// Takes in what another gateway told.
    pub fn learn(&mut self, now: Instant, run: u64, work: &Work) {
        self.others.insert(run, (now, work.clone()));
        self.others.retain(|_, (told, _)| now < *told + LEASE);
        self.backlogs.clear();
        for (_, work) in self.others.values() {
            for (id, backlog) in &work.endpoints {
                let sum = self.backlogs.entry(id.clone()).or_default();
                sum.ahead += backlog.ahead;
                sum.in_flight += backlog.in_flight;
            }
        }
    }

    /// Takes in what an earlier leader recorded. It counts as if it were measured
    /// until now, and is forgotten like that.
    pub fn recall(&mut self, now: Instant, rows: &[(Model, f64)]) {
        self.recalled = Some((now, rows.to_vec()));
    }

    /// What an endpoint has of the other gateways' requests, as they told last.
    #[must_use]
    pub fn backlog(&self, id: &str) -> Backlog {
        self.backlogs.get(id).copied().unwrap_or_default()
    }

    /// The demand for each model over all gateways, in prompt tokens per second.
    #[must_use]
    pub fn total(&self, now: Instant) -> BTreeMap<Model, f64> {
        let mut total: BTreeMap<Model, f64> = self.own(now).into_iter().collect();
        for (told, work) in self.others.values() {
            if now >= *told + LEASE {
                continue;
            }
            for (model, rate) in &work.models {
                *total.entry(model.clone()).or_default() += rate;
            }
        }
        if let Some((at, rows)) = &self.recalled {
            let age = now.saturating_duration_since(*at).as_secs_f64();
            let [_, slow] = AVERAGES.map(|average| (-age / average.as_secs_f64()).exp());
            for (model, rate) in rows.iter().filter(|(_, rate)| rate * slow >= LEAST_RATE) {
                let measured = total.entry(model.clone()).or_default();
                *measured = measured.max(rate * slow);
            }
        }
        total
    }
}

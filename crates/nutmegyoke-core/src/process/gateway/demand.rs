//! How much work each model and each endpoint has, over all gateways.
//!
//! Each gateway measures its own part and tells the others with its rumors.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use crate::version::Model;

/// The times over which demand is averaged; the higher average counts. Demand
/// that rises is followed within seconds, demand that falls may come back.
const TIME_CONSTANTS: [Duration; 2] = [Duration::from_millis(1500), Duration::from_secs(6)];

/// How long what another gateway told counts: two of its messages and a slow one.
const REPORT_TTL: Duration = Duration::from_millis(4500);

/// Demand below this, in prompt tokens per second, is not worth telling.
const MIN_TOKENS_PER_SECOND: f64 = 1.0;

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
    local: BTreeMap<Model, Rate>,
    /// What the others told, by the run of their process.
    reports: HashMap<u64, (Instant, Work)>,
    /// The sum of what the others told of each endpoint.
    backlogs: HashMap<String, Backlog>,
    /// What an earlier leader recorded, and when it was recalled.
    restored: Option<(Instant, Vec<(Model, f64)>)>,
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
        let [fast, slow] = TIME_CONSTANTS.map(|constant| (-age / constant.as_secs_f64()).exp());
        [self.sums[0] * fast, self.sums[1] * slow]
    }

    fn per_second(self, now: Instant) -> f64 {
        let [fast, slow] = self.decayed(now);
        let [fast_constant, slow_constant] = TIME_CONSTANTS.map(|constant| constant.as_secs_f64());
        (fast / fast_constant).max(slow / slow_constant)
    }
}

impl Demand {
    /// Counts prompt tokens that have to be read for `model`.
    pub fn count_tokens(&mut self, now: Instant, model: &Model, tokens: u64) {
        let tokens = f64::from(u32::try_from(tokens).unwrap_or(u32::MAX));
        let rate = self.local.entry(model.clone()).or_insert(Rate::open(now));
        let sums = rate.decayed(now).map(|sum| sum + tokens);
        *rate = Rate { at: now, sums };
    }

    /// The own demand for each model, in prompt tokens per second.
    #[must_use]
    pub fn local(&self, now: Instant) -> Vec<(Model, f64)> {
        let rates = self.local.iter();
        let rates = rates.map(|(model, rate)| (model.clone(), rate.per_second(now)));
        rates
            .filter(|&(_, rate)| rate >= MIN_TOKENS_PER_SECOND)
            .collect()
    }

    /// Takes in what another gateway told.
    pub fn receive(&mut self, now: Instant, run: u64, work: &Work) {
        self.reports.insert(run, (now, work.clone()));
        self.reports
            .retain(|_, (received, _)| now < *received + REPORT_TTL);
        self.backlogs.clear();
        for (_, work) in self.reports.values() {
            for (id, backlog) in &work.endpoints {
                let sum = self.backlogs.entry(id.clone()).or_default();
                sum.ahead += backlog.ahead;
                sum.in_flight += backlog.in_flight;
            }
        }
    }

    /// Takes in what an earlier leader recorded. It counts as if it were measured
    /// until now, and is forgotten like that.
    pub fn restore(&mut self, now: Instant, rows: &[(Model, f64)]) {
        self.restored = Some((now, rows.to_vec()));
    }

    /// What an endpoint has of the other gateways' requests, as they told last.
    #[must_use]
    pub fn backlog(&self, id: &str) -> Backlog {
        self.backlogs.get(id).copied().unwrap_or_default()
    }

    /// The demand for each model over all gateways, in prompt tokens per second.
    #[must_use]
    pub fn total(&self, now: Instant) -> BTreeMap<Model, f64> {
        let mut total: BTreeMap<Model, f64> = self.local(now).into_iter().collect();
        for (received, work) in self.reports.values() {
            if now >= *received + REPORT_TTL {
                continue;
            }
            for (model, rate) in &work.models {
                *total.entry(model.clone()).or_default() += rate;
            }
        }
        if let Some((at, rows)) = &self.restored {
            let age = now.saturating_duration_since(*at).as_secs_f64();
            let [_, slow] = TIME_CONSTANTS.map(|constant| (-age / constant.as_secs_f64()).exp());
            for (model, rate) in rows
                .iter()
                .filter(|(_, rate)| rate * slow >= MIN_TOKENS_PER_SECOND)
            {
                let measured = total.entry(model.clone()).or_default();
                *measured = measured.max(rate * slow);
            }
        }
        total
    }
}

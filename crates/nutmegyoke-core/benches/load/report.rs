//! What became of the requests of one run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use nutmegyoke_core::request::Reason;

use crate::Policy;
use crate::callers::Customer;

/// The longest wait that is told apart, in milliseconds.
const LONGEST_MS: u64 = 60_000;

/// What became of the requests of one run.
pub struct Report {
    length: Duration,
    offered: [u32; 2],
    attained: [u32; 2],
    retries: u32,
    /// Milliseconds between submission and start.
    waits: Histogram<u64>,
    refused: BTreeMap<&'static str, u32>,
}

impl Report {
    pub fn open(length: Duration) -> Self {
        Self {
            length,
            offered: [0; 2],
            attained: [0; 2],
            retries: 0,
            waits: Histogram::new_with_bounds(1, LONGEST_MS, 3).expect("the bounds are valid"),
            refused: BTreeMap::new(),
        }
    }

    pub fn offered(&mut self, customer: Customer) {
        self.offered[customer as usize] += 1;
    }

    pub fn attained(&mut self, customer: Customer) {
        self.attained[customer as usize] += 1;
    }

    /// Answered, but later than expected.
    pub fn late(&mut self) {
        *self.refused.entry("(late)").or_default() += 1;
    }

    pub fn retried(&mut self) {
        self.retries += 1;
    }

    pub fn waited(&mut self, wait: Duration) {
        let milliseconds = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        self.waits.saturating_record(milliseconds);
    }

    pub fn refused(&mut self, reason: Reason) {
        *self.refused.entry(reason.name()).or_default() += 1;
    }

    pub fn head() {
        println!(
            "| load | policy | goodput, requests/s | steady attained | bursty attained | \
             wait p50 / p99 | retries per request | not attained, by reason |"
        );
        println!("|---|---|---|---|---|---|---|---|");
    }

    pub fn print(&self, load: f64, policy: Policy) {
        let share = |part: u32, whole: u32| f64::from(part) / f64::from(whole.max(1));
        let attained: u32 = self.attained.iter().sum();
        let offered: u32 = self.offered.iter().sum();
        let refused = self.refused.iter();
        let refused: Vec<String> = refused
            .map(|(name, count)| format!("{name} {count}"))
            .collect();
        println!(
            "| {load:.1} | {} | {:.1} | {:.1}% | {:.1}% | {} / {} ms | {:.2} | {} |",
            policy.name(),
            f64::from(attained) / self.length.as_secs_f64(),
            100.0 * share(self.attained[0], self.offered[0]),
            100.0 * share(self.attained[1], self.offered[1]),
            self.waits.value_at_quantile(0.5),
            self.waits.value_at_quantile(0.99),
            share(self.retries, offered),
            refused.join(", "),
        );
    }
}

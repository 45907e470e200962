//! The outcomes of the requests of one run, printed as a table row.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use nutmegyoke_core::request::Reason;

use crate::Policy;
use crate::workload::Customer;

/// The longest wait that the histogram records; longer ones count as this.
const MAX_WAIT_MS: u64 = 60_000;

/// The outcomes of the requests of one run.
pub struct Report {
    /// How long requests kept arriving.
    arrival_period: Duration,
    /// Requests sent, by customer.
    offered: [u32; 2],
    /// Requests whose expectations were met, by customer.
    attained: [u32; 2],
    retries: u32,
    /// The times from submission to an agent until the start on its engine.
    wait_times_ms: Histogram<u64>,
    /// Requests whose expectations were not met, by reason.
    not_attained: BTreeMap<&'static str, u32>,
}

impl Report {
    pub fn open(arrival_period: Duration) -> Self {
        Self {
            arrival_period,
            offered: [0; 2],
            attained: [0; 2],
            retries: 0,
            wait_times_ms: Histogram::new_with_bounds(1, MAX_WAIT_MS, 3)
                .expect("the histogram bounds are valid"),
            not_attained: BTreeMap::new(),
        }
    }

    pub fn record_offered(&mut self, customer: Customer) {
        self.offered[customer as usize] += 1;
    }

    pub fn record_attained(&mut self, customer: Customer) {
        self.attained[customer as usize] += 1;
    }

    /// Records an answer that did not meet the expectations.
    pub fn record_late(&mut self) {
        *self.not_attained.entry("(late)").or_default() += 1;
    }

    pub fn record_retry(&mut self) {
        self.retries += 1;
    }

    pub fn record_wait(&mut self, wait: Duration) {
        let milliseconds = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        self.wait_times_ms.saturating_record(milliseconds);
    }

    pub fn record_refusal(&mut self, reason: Reason) {
        *self.not_attained.entry(reason.name()).or_default() += 1;
    }

    pub fn print_header() {
        println!(
            "| load | policy | goodput, requests/s | steady attained | bursty attained | \
             wait p50 / p99 | retries per request | not attained, by reason |"
        );
        println!("|---|---|---|---|---|---|---|---|");
    }

    pub fn print_row(&self, load: f64, policy: Policy) {
        let share = |count: u32, total: u32| f64::from(count) / f64::from(total.max(1));
        let attained: u32 = self.attained.iter().sum();
        let offered: u32 = self.offered.iter().sum();
        let not_attained = self.not_attained.iter();
        let not_attained: Vec<String> = not_attained
            .map(|(name, count)| format!("{name} {count}"))
            .collect();
        println!(
            "| {load:.1} | {} | {:.1} | {:.1}% | {:.1}% | {} / {} ms | {:.2} | {} |",
            policy.name(),
            f64::from(attained) / self.arrival_period.as_secs_f64(),
            100.0 * share(self.attained[0], self.offered[0]),
            100.0 * share(self.attained[1], self.offered[1]),
            self.wait_times_ms.value_at_quantile(0.5),
            self.wait_times_ms.value_at_quantile(0.99),
            share(self.retries, offered),
            not_attained.join(", "),
        );
    }
}

//! Metrics of how the answers of entries meet the expectations of their plans.

use std::time::Instant;

use nutmegyoke_core::request::Latency;
use nutmegyoke_core::request::latency::{Expectation, Sample};
use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, Registry};
use strum::IntoEnumIterator;

use super::metrics::Labels;

/// Upper bounds of the histogram of times to the first token, in seconds.
const FIRST_TOKEN_BOUNDS_SECONDS: [f64; 10] =
    [0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0, 1.5, 3.0, 10.0];

/// Upper bounds of the histogram of times between tokens, in seconds.
const BETWEEN_TOKENS_BOUNDS_SECONDS: [f64; 9] =
    [0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.25, 1.0];

/// Histograms and counters, labelled by plan.
#[derive(Clone, Debug)]
pub struct Attainment {
    first_token: HistogramVec,
    between_tokens: HistogramVec,
    expectations: IntCounterVec,
}

impl Attainment {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// The registry has such a metric already.
    pub(super) fn register(registry: &Registry, labels: &Labels<'_>) -> prometheus::Result<Self> {
        let histogram = |name, help, buckets: &[f64]| {
            let mut opts = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            opts.common_opts = labels.opts(name, help);
            HistogramVec::new(opts, &["plan"])
        };
        let attainment = Self {
            first_token: histogram(
                "nutmegyoke_first_token_seconds",
                "From the arrival of a request to its first streamed token.",
                &FIRST_TOKEN_BOUNDS_SECONDS,
            )?,
            between_tokens: histogram(
                "nutmegyoke_between_tokens_seconds",
                "From one streamed token to the next.",
                &BETWEEN_TOKENS_BOUNDS_SECONDS,
            )?,
            expectations: IntCounterVec::new(
                labels.opts(
                    "nutmegyoke_expectations_total",
                    "Admitted requests by what their plan expects and whether it was met.",
                ),
                &["plan", "expectation", "outcome"],
            )?,
        };
        registry.register(Box::new(attainment.first_token.clone()))?;
        registry.register(Box::new(attainment.between_tokens.clone()))?;
        registry.register(Box::new(attainment.expectations.clone()))?;
        Ok(attainment)
    }

    /// Records a streamed token.
    pub fn observe_token(&self, latency: &mut Latency, now: Instant) {
        match latency.record_token(now) {
            Sample::FirstToken { took } => {
                let histogram = self.first_token.with_label_values(&[latency.plan()]);
                histogram.observe(took.as_secs_f64());
            }
            Sample::BetweenTokens { took } => {
                let histogram = self.between_tokens.with_label_values(&[latency.plan()]);
                histogram.observe(took.as_secs_f64());
            }
        }
    }

    /// Counts the expectations that an answer met or missed. An answer that is not
    /// complete has missed its deadline.
    pub fn observe_end(&self, latency: &Latency, now: Instant, complete: bool) {
        for expectation in Expectation::iter() {
            let met = match expectation {
                Expectation::Deadline if !complete => Some(false),
                _ => latency.met(expectation, now),
            };
            if let Some(met) = met {
                let outcome = if met { "attained" } else { "missed" };
                let labels = [latency.plan(), expectation.name(), outcome];
                self.expectations.with_label_values(&labels).inc();
            }
        }
    }
}

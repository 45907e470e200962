//! Latency histograms of the requests that gateways pass through.

use std::time::Duration;

use prometheus::{HistogramOpts, HistogramVec, Registry};

use super::metrics::Labels;

/// Upper bounds of the buckets in seconds, from the latency of a plain service to the longest
/// timeouts.
const BUCKET_BOUNDS_SECONDS: [f64; 12] = [
    0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 2.0, 4.0, 6.0, 12.0, 30.0,
];

/// Latency histograms by service and priority.
#[derive(Clone, Debug)]
pub struct Histograms {
    time_to_answer: HistogramVec,
    total: HistogramVec,
}

/// The labels that the histograms distinguish requests by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// The service that the request was sent to.
    pub service: String,
    /// The request's priority; 0 is the most urgent.
    pub priority: u8,
}

impl Histograms {
    /// Registers the histograms.
    pub(super) fn register(registry: &Registry, labels: &Labels<'_>) -> prometheus::Result<Self> {
        let histogram = |name, help| {
            let mut opts = HistogramOpts::new(name, help).buckets(BUCKET_BOUNDS_SECONDS.to_vec());
            opts.common_opts = labels.opts(name, help);
            HistogramVec::new(opts, &["service", "rank"])
        };
        let latency = Self {
            time_to_answer: histogram(
                "nutmegyoke_passed_first_seconds",
                "From the arrival of a request to the beginning of its answer.",
            )?,
            total: histogram(
                "nutmegyoke_passed_seconds",
                "From the arrival of a request that was sent to an endpoint to its end.",
            )?,
        };
        registry.register(Box::new(latency.time_to_answer.clone()))?;
        registry.register(Box::new(latency.total.clone()))?;
        Ok(latency)
    }

    /// Records a request's time to the start of its answer, if it got one, and its total time.
    pub fn observe(&self, class: &Class, time_to_answer: Option<Duration>, total: Duration) {
        let priority = class.priority.to_string();
        let labels = [class.service.as_str(), priority.as_str()];
        if let Some(time_to_answer) = time_to_answer {
            let histogram = self.time_to_answer.with_label_values(&labels);
            histogram.observe(time_to_answer.as_secs_f64());
        }
        let histogram = self.total.with_label_values(&labels);
        histogram.observe(total.as_secs_f64());
    }
}

//! How long requests that are passed through take.

use std::time::Duration;

use prometheus::{HistogramOpts, HistogramVec, Registry};

use super::metrics::Labels;

/// Upper bounds in seconds, from what a plain service takes to the longest timeouts.
const BOUNDS: [f64; 12] = [
    0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 2.0, 4.0, 6.0, 12.0, 30.0,
];

/// Histograms by service and precedence.
#[derive(Clone, Debug)]
pub struct Latency {
    first: HistogramVec,
    whole: HistogramVec,
}

/// What a request that ended was for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// The service that it was sent to.
    pub service: String,
    /// Its precedence; 0 is the most urgent.
    pub rank: u8,
}

impl Latency {
    /// Registers the metrics.
    pub(super) fn register(registry: &Registry, labels: &Labels<'_>) -> prometheus::Result<Self> {
        let histogram = |name, help| {
            let mut opts = HistogramOpts::new(name, help).buckets(BOUNDS.to_vec());
            opts.common_opts = labels.opts(name, help);
            HistogramVec::new(opts, &["service", "rank"])
        };
        let passing = Self {
            first: histogram(
                "nutmegyoke_passed_first_seconds",
                "From the arrival of a request to the beginning of its answer.",
            )?,
            whole: histogram(
                "nutmegyoke_passed_seconds",
                "From the arrival of a request that was sent to an endpoint to its end.",
            )?,
        };
        registry.register(Box::new(passing.first.clone()))?;
        registry.register(Box::new(passing.whole.clone()))?;
        Ok(passing)
    }

    /// Takes in how long a request took, and to the beginning of its answer if it began.
    pub fn observe(&self, kind: &Class, first: Option<Duration>, whole: Duration) {
        let rank = kind.rank.to_string();
        let labels = [kind.service.as_str(), rank.as_str()];
        if let Some(first) = first {
            let histogram = self.first.with_label_values(&labels);
            histogram.observe(first.as_secs_f64());
        }
        let histogram = self.whole.with_label_values(&labels);
        histogram.observe(whole.as_secs_f64());
    }
}

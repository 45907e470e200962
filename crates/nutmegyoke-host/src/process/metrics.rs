//! Counters, as operators scrape them at `/metrics`.

use nutmegyoke_core::process::Member;
use nutmegyoke_core::request::Reason;
use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};
use strum::IntoEnumIterator;

use super::Failure;
use super::attainment::Attainment;
use super::load::Load;
use super::passing::Passing;

/// The metrics of one role; every role of a process shares its registry.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests taken from callers or entries.
    pub requests: IntCounter,
    /// Requests not answered in whole, by reason.
    pub refusals: IntCounterVec,
    /// Attempts repeated, by the reason of the failed one.
    pub retries: IntCounterVec,
    /// Retries that the budget did not allow, by the reason of the failed attempt.
    pub withheld_retries: IntCounterVec,
    /// Chunks dropped as duplicate, out of order or foreign.
    pub dropped_chunks: IntCounterVec,
    /// The number of the configuration in force.
    pub configuration: IntGauge,
    /// Requests in flight and queued.
    pub load: Load,
    /// Expectations of the plans.
    pub attainment: Attainment,
    /// Times of requests that are passed through.
    pub passthrough: Passing,
}

impl Metrics {
    /// Registers the metrics of `member`, with every reason at 0.
    ///
    /// # Errors
    ///
    /// The registry has metrics of this VM and role already.
    pub fn open(registry: &Registry, member: &Member) -> Result<Self, Failure> {
        let labels = Labels {
            role: member.role.to_string(),
            vm: &member.vm.name,
        };
        Self::register(registry, &labels).map_err(|source| Failure::Metrics { source })
    }

    fn register(registry: &Registry, labels: &Labels<'_>) -> prometheus::Result<Self> {
        let opts = |name, help| labels.opts(name, help);
        let requests = opts("nutmegyoke_requests_total", "Requests taken.");
        let dropped = opts("nutmegyoke_chunks_dropped_total", "Chunks dropped.");
        let configuration = opts(
            "nutmegyoke_configuration",
            "The number of the configuration in force.",
        );
        let refusals = opts(
            "nutmegyoke_refusals_total",
            "Requests refused or failed, by reason.",
        );
        let retries = opts(
            "nutmegyoke_retries_total",
            "Attempts repeated, by the reason of the failed one.",
        );
        let withheld = opts(
            "nutmegyoke_retries_withheld_total",
            "Retries that the budget did not allow, by the reason of the failed attempt.",
        );
        let metrics = Self {
            registry: registry.clone(),
            requests: IntCounter::with_opts(requests)?,
            refusals: by_reason(refusals)?,
            retries: by_reason(retries)?,
            withheld_retries: by_reason(withheld)?,
            dropped_chunks: IntCounterVec::new(dropped, &["cause"])?,
            configuration: IntGauge::with_opts(configuration)?,
            load: Load::register(registry, labels)?,
            attainment: Attainment::register(registry, labels)?,
            passthrough: Passing::register(registry, labels)?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.refusals.clone()))?;
        registry.register(Box::new(metrics.retries.clone()))?;
        registry.register(Box::new(metrics.withheld_retries.clone()))?;
        registry.register(Box::new(metrics.dropped_chunks.clone()))?;
        registry.register(Box::new(metrics.configuration.clone()))?;
        Ok(metrics)
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, reason: Reason) {
        self.refusals.with_label_values(&[reason.name()]).inc();
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: Reason) {
        self.retries.with_label_values(&[reason.name()]).inc();
    }

    /// Counts a retry that the budget did not allow.
    pub fn count_withheld_retry(&self, reason: Reason) {
        self.withheld_retries
            .with_label_values(&[reason.name()])
            .inc();
    }

    /// The text that a scrape receives.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Writing to memory fails only on a metric without a name.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

/// Tells apart the roles that share a registry.
#[derive(Debug)]
pub struct Labels<'a> {
    role: String,
    vm: &'a str,
}

impl Labels<'_> {
    /// The description of a metric of this role.
    #[must_use]
    pub fn opts(&self, name: &str, help: &str) -> Opts {
        let opts = Opts::new(name, help).const_label("role", &self.role);
        opts.const_label("vm", self.vm)
    }
}

fn by_reason(opts: Opts) -> prometheus::Result<IntCounterVec> {
    let counters = IntCounterVec::new(opts, &["reason"])?;
    for reason in Reason::iter() {
        counters.with_label_values(&[reason.name()]);
    }
    Ok(counters)
}

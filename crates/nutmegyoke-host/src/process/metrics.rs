//! The metrics of a role, which operators scrape at `/metrics`.

use nutmegyoke_core::process::Member;
use nutmegyoke_core::process::registry::gossip::Link;
use nutmegyoke_core::request::Reason;
use prometheus::{Encoder, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};
use strum::{EnumIter, IntoEnumIterator, IntoStaticStr};

use super::Failure;
use super::attainment::Attainment;
use super::choices::Choices;
use super::load::Load;
use super::passthrough::Histograms;
use super::tenants::Tenants;

/// How a question for room at an engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Admission {
    /// The steward admitted the request.
    Admitted,
    /// The steward declined it.
    Declined,
    /// The steward did not answer.
    Silent,
    /// The gateway refused the request early.
    Refused,
}

/// The metrics of one role; all roles of a process share a registry.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests received: by an entry from callers, by an agent from entries, by a gateway
    /// from clients.
    pub requests: IntCounter,
    /// Requests without a complete answer, by reason.
    pub refusals: IntCounterVec,
    /// Retries, by the reason why the previous attempt failed.
    pub retries: IntCounterVec,
    /// Retries that the retry budget did not allow, by the reason why the attempt failed
    /// that they would have followed.
    pub withheld_retries: IntCounterVec,
    /// Chunks of answers dropped as duplicate, out of order or foreign, by cause.
    pub dropped_chunks: IntCounterVec,
    /// The bytes of gossip that a gateway sent, by the way that it takes.
    pub gossip_bytes: IntCounterVec,
    /// The number of the configuration in force in the process.
    pub configuration: IntGauge,
    /// The requests in flight and those queued.
    pub load: Load,
    /// The choices of endpoints by expected time.
    pub choices: Choices,
    /// How answers met the expectations of their plans.
    pub attainment: Attainment,
    /// Questions for room at engines, by outcome.
    pub admissions: IntCounterVec,
    /// The latency of requests that are passed through.
    pub passthrough: Histograms,
    /// The requests of tenants.
    pub tenants: Tenants,
}

impl Metrics {
    /// Registers the metrics of `member`, with the counter of every reason at 0.
    ///
    /// # Errors
    ///
    /// The registry already has metrics of this VM and role.
    pub fn open(registry: &Registry, member: &Member) -> Result<Self, Failure> {
        Self::register(registry, &Labels::of(member)).map_err(|source| Failure::Metrics { source })
    }

    fn register(registry: &Registry, labels: &Labels<'_>) -> prometheus::Result<Self> {
        let opts = |name, help| labels.opts(name, help);
        let requests = opts("nutmegyoke_requests_total", "Requests taken.");
        let dropped_chunks = opts("nutmegyoke_chunks_dropped_total", "Chunks dropped.");
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
        let withheld_retries = opts(
            "nutmegyoke_retries_withheld_total",
            "Retries that the budget did not allow, by the reason of the failed attempt.",
        );
        let admissions = opts(
            "nutmegyoke_admissions_total",
            "Questions for room at engines, by outcome.",
        );
        let gossip_bytes = opts(
            "nutmegyoke_gossip_bytes_total",
            "Content of gossip sent to other gateways, by the way that it takes.",
        );
        let metrics = Self {
            registry: registry.clone(),
            requests: IntCounter::with_opts(requests)?,
            refusals: by_reason(refusals)?,
            retries: by_reason(retries)?,
            withheld_retries: by_reason(withheld_retries)?,
            dropped_chunks: IntCounterVec::new(dropped_chunks, &["cause"])?,
            gossip_bytes: by_link(gossip_bytes)?,
            configuration: IntGauge::with_opts(configuration)?,
            admissions: by_outcome(admissions)?,
            load: Load::register(registry, labels)?,
            choices: Choices::register(registry, labels)?,
            attainment: Attainment::register(registry, labels)?,
            passthrough: Histograms::register(registry, labels)?,
            tenants: Tenants::register(registry, labels)?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.refusals.clone()))?;
        registry.register(Box::new(metrics.retries.clone()))?;
        registry.register(Box::new(metrics.withheld_retries.clone()))?;
        registry.register(Box::new(metrics.dropped_chunks.clone()))?;
        registry.register(Box::new(metrics.gossip_bytes.clone()))?;
        registry.register(Box::new(metrics.configuration.clone()))?;
        registry.register(Box::new(metrics.admissions.clone()))?;
        Ok(metrics)
    }

    /// Counts a request that was refused or failed.
    pub fn count_refusal(&self, reason: Reason) {
        self.refusals.with_label_values(&[reason.name()]).inc();
    }

    /// Counts how a question for room at an engine ended.
    pub fn count_admission(&self, outcome: Admission) {
        self.admissions
            .with_label_values(&[<&str>::from(outcome)])
            .inc();
    }

    /// Counts a retry after an attempt that failed for `reason`.
    pub fn count_retry(&self, reason: Reason) {
        self.retries.with_label_values(&[reason.name()]).inc();
    }

    /// Counts a retry that the retry budget did not allow.
    pub fn count_withheld_retry(&self, reason: Reason) {
        self.withheld_retries
            .with_label_values(&[reason.name()])
            .inc();
    }

    /// Counts a gossip message.
    pub fn count_gossip(&self, link: Link, bytes: u64) {
        let counter = self.gossip_bytes.with_label_values(&[<&str>::from(link)]);
        counter.inc_by(bytes);
    }

    /// Encodes the metrics of the registry in the Prometheus text format.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Encoding into memory fails only for a metric without a name.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

/// The labels that distinguish the roles sharing a registry.
#[derive(Debug)]
pub struct Labels<'a> {
    role: String,
    vm: &'a str,
}

impl<'a> Labels<'a> {
    /// The labels of a role.
    #[must_use]
    pub fn of(member: &'a Member) -> Self {
        Self {
            role: member.role.to_string(),
            vm: &member.vm.name,
        }
    }

    /// The options of a metric of this role.
    #[must_use]
    pub fn opts(&self, name: &str, help: &str) -> Opts {
        let opts = Opts::new(name, help).const_label("role", &self.role);
        opts.const_label("vm", self.vm)
    }
}

/// Creates a counter per outcome of a question for room, each at 0.
fn by_outcome(opts: Opts) -> prometheus::Result<IntCounterVec> {
    let counters = IntCounterVec::new(opts, &["outcome"])?;
    for outcome in Admission::iter() {
        counters.with_label_values(&[<&str>::from(outcome)]);
    }
    Ok(counters)
}

/// Creates a counter per reason, each at 0.
fn by_reason(opts: Opts) -> prometheus::Result<IntCounterVec> {
    let counters = IntCounterVec::new(opts, &["reason"])?;
    for reason in Reason::iter() {
        counters.with_label_values(&[reason.name()]);
    }
    Ok(counters)
}

/// Creates a counter per way of gossip, each at 0.
fn by_link(opts: Opts) -> prometheus::Result<IntCounterVec> {
    let counters = IntCounterVec::new(opts, &["way"])?;
    for link in Link::iter() {
        counters.with_label_values(&[<&str>::from(link)]);
    }
    Ok(counters)
}

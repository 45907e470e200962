//! Counters of the requests of tenants.

use std::cell::RefCell;
use std::collections::BTreeSet;

use prometheus::{IntCounterVec, Registry};

use super::metrics::Labels;

/// The most tenants that are counted by name, so that a document with thousands of tenants does
/// not multiply the metrics of each gateway.
const MAX_NAMES: usize = 64;

/// The name that all further tenants are counted under.
const OTHER: &str = "other";

/// Counters by tenant. The first [`MAX_NAMES`] tenants with requests have counters of their own.
#[derive(Clone, Debug)]
pub struct Tenants {
    requests: IntCounterVec,
    tokens: IntCounterVec,
    rejections: IntCounterVec,
    names: RefCell<BTreeSet<String>>,
}

impl Tenants {
    /// Registers the counters.
    ///
    /// # Errors
    ///
    /// The registry has such a counter already.
    pub(super) fn register(registry: &Registry, labels: &Labels<'_>) -> prometheus::Result<Self> {
        let counters = |name, help| IntCounterVec::new(labels.opts(name, help), &["tenant"]);
        let tenants = Self {
            requests: counters(
                "nutmegyoke_tenant_requests_total",
                "Requests sent to an endpoint, by tenant.",
            )?,
            tokens: counters(
                "nutmegyoke_tenant_tokens_total",
                "Tokens of the requests sent to an endpoint, by tenant.",
            )?,
            rejections: counters(
                "nutmegyoke_tenant_rejections_total",
                "Requests beyond the quota, by tenant.",
            )?,
            names: RefCell::default(),
        };
        registry.register(Box::new(tenants.requests.clone()))?;
        registry.register(Box::new(tenants.tokens.clone()))?;
        registry.register(Box::new(tenants.rejections.clone()))?;
        Ok(tenants)
    }

    /// Counts a request that is sent to an endpoint.
    pub fn count_request(&self, tenant: &str, tokens: u64) {
        let label = [self.label(tenant)];
        self.requests.with_label_values(&label).inc();
        self.tokens.with_label_values(&label).inc_by(tokens);
    }

    /// Counts a request that is refused for the quota.
    pub fn count_rejection(&self, tenant: &str) {
        let label = [self.label(tenant)];
        self.rejections.with_label_values(&label).inc();
    }

    /// The name that a tenant is counted under.
    fn label<'a>(&self, tenant: &'a str) -> &'a str {
        let mut names = self.names.borrow_mut();
        if names.contains(tenant) {
            return tenant;
        }
        if names.len() < MAX_NAMES {
            names.insert(tenant.to_owned());
            return tenant;
        }
        OTHER
    }
}

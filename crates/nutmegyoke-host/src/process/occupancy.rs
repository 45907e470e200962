//! Metrics of the account: what connections hold, and those closed to keep it within bounds.

use nutmegyoke_core::process::Member;
use nutmegyoke_core::process::account::Cause;
use prometheus::{IntCounterVec, IntGauge, Registry};
use strum::IntoEnumIterator;

use super::Failure;
use super::metrics::Labels;

/// The metrics of an account.
#[derive(Clone, Debug)]
pub struct Occupancy {
    /// Connections closed and requests refused, by cause.
    evictions: IntCounterVec,
    held: IntGauge,
    connections: IntGauge,
}

impl Occupancy {
    /// Registers the metrics of `member`, with the counter of every cause at 0.
    ///
    /// # Errors
    ///
    /// The registry already has metrics of this VM and role.
    pub fn open(registry: &Registry, member: &Member) -> Result<Self, Failure> {
        Self::register(registry, &Labels::of(member)).map_err(|source| Failure::Metrics { source })
    }

    fn register(registry: &Registry, labels: &Labels<'_>) -> prometheus::Result<Self> {
        let evictions = labels.opts(
            "nutmegyoke_evictions_total",
            "Connections closed, or requests refused, to stay within the machine, by cause.",
        );
        let held = labels.opts(
            "nutmegyoke_held_bytes",
            "Memory held for connections that others opened.",
        );
        let connections = labels.opts("nutmegyoke_connections", "Open connections of others.");
        let occupancy = Self {
            evictions: IntCounterVec::new(evictions, &["cause"])?,
            held: IntGauge::with_opts(held)?,
            connections: IntGauge::with_opts(connections)?,
        };
        for cause in Cause::iter() {
            occupancy.evictions.with_label_values(&[cause.name()]);
        }
        registry.register(Box::new(occupancy.evictions.clone()))?;
        registry.register(Box::new(occupancy.held.clone()))?;
        registry.register(Box::new(occupancy.connections.clone()))?;
        Ok(occupancy)
    }

    /// Counts a connection that was closed, or a request that was refused.
    pub fn count(&self, cause: Cause) {
        self.evictions.with_label_values(&[cause.name()]).inc();
    }

    /// Sets the gauges.
    pub fn set(&self, held: usize, connections: usize) {
        let number = |count| i64::try_from(count).unwrap_or(i64::MAX);
        self.held.set(number(held));
        self.connections.set(number(connections));
    }
}

//! Gauges of the load of a process.

use prometheus::{IntGauge, Registry};

use super::metrics::Labels;

/// Gauges of the requests in flight and of those queued.
#[derive(Clone, Debug)]
pub struct Load {
    in_flight: IntGauge,
    queued: IntGauge,
}

impl Load {
    /// Registers the gauges.
    ///
    /// # Errors
    ///
    /// The registry has such a gauge already.
    pub(super) fn register(registry: &Registry, labels: &Labels<'_>) -> prometheus::Result<Self> {
        let in_flight = labels.opts("nutmegyoke_in_flight", "Requests queued or running.");
        let queued = labels.opts("nutmegyoke_queued", "Requests that wait for a slot.");
        let load = Self {
            in_flight: IntGauge::with_opts(in_flight)?,
            queued: IntGauge::with_opts(queued)?,
        };
        registry.register(Box::new(load.in_flight.clone()))?;
        registry.register(Box::new(load.queued.clone()))?;
        Ok(load)
    }

    /// Sets the gauges; `in_flight` includes the queued requests.
    pub fn set(&self, in_flight: usize, queued: usize) {
        let number = |count| i64::try_from(count).unwrap_or(i64::MAX);
        self.in_flight.set(number(in_flight));
        self.queued.set(number(queued));
    }
}

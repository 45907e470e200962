//! Counters of the choices of endpoints by expected time.

use nutmegyoke_core::process::balance::Estimate;
use prometheus::{IntCounter, IntCounterVec, Registry};

use super::metrics::Labels;

/// Counters of choices and ejections. They stay at 0 unless endpoints are chosen by expected time.
#[derive(Clone, Debug)]
pub struct Choices {
    places: IntCounterVec,
    ejections: IntCounter,
}

impl Choices {
    /// Registers the counters.
    ///
    /// # Errors
    ///
    /// The registry has such a counter already.
    pub(super) fn register(registry: &Registry, labels: &Labels<'_>) -> prometheus::Result<Self> {
        let places = labels.opts(
            "nutmegyoke_choices_total",
            "Requests sent, by the place of the endpoint in the order that all gateways agree on.",
        );
        let ejections = labels.opts(
            "nutmegyoke_ejections_total",
            "Ejections of endpoints because of their failure rates.",
        );
        let choices = Self {
            places: IntCounterVec::new(places, &["place"])?,
            ejections: IntCounter::with_opts(ejections)?,
        };
        registry.register(Box::new(choices.places.clone()))?;
        registry.register(Box::new(choices.ejections.clone()))?;
        Ok(choices)
    }

    /// Counts a request that was sent.
    pub fn count(&self, estimate: &Estimate) {
        let place = match estimate.place {
            0 => "first",
            1 => "second",
            _ => "other",
        };
        self.places.with_label_values(&[place]).inc();
    }

    /// Counts an ejection.
    pub fn count_ejection(&self) {
        self.ejections.inc();
    }
}

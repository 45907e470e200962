//! The demand that is expected before any is measured.
//!
//! Whoever started the fleet gave the models that it expects to be busy the most copies. Without
//! traffic all models look idle, and the copies of the busiest ones would be evicted first, just
//! before their requests come.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::Fleet;
use super::catalogue::PREFILL_TOKENS_PER_SECOND;
use crate::version::Model;

/// The demand that each copy stands for, as a fraction of an engine's prefill throughput. A model
/// with two copies may still lose one to a model that has none.
const SHARE_PER_COPY: f64 = 0.09;

/// How long the expectation counts after the first demand was measured: by then all gateways have
/// reported theirs twice.
const OVERLAP: Duration = Duration::from_secs(4);

/// The expected demand for each model, in prompt tokens per second.
#[derive(Debug, Default)]
pub struct Expected {
    demand: BTreeMap<Model, f64>,
    /// When the first demand was measured.
    measured_at: Option<Instant>,
}

impl Expected {
    /// Derives the expectation from the copies in a fleet. There is none if demand is known.
    pub fn open(fleet: &Fleet<'_>) -> Self {
        let mut demand: BTreeMap<Model, f64> = BTreeMap::new();
        if fleet.demand.is_empty() {
            let held = fleet.instances.iter().flat_map(|instance| instance.models);
            for model in held {
                let sum = demand.entry(model.clone()).or_default();
                *sum += SHARE_PER_COPY * PREFILL_TOKENS_PER_SECOND;
            }
        }
        Self {
            demand,
            measured_at: None,
        }
    }

    /// Raises the demand in a fleet to the expected one, until enough is measured.
    pub fn apply(&mut self, now: Instant, fleet: &mut Fleet<'_>) {
        if !fleet.demand.is_empty() {
            self.measured_at.get_or_insert(now);
        }
        if self.measured_at.is_some_and(|at| at + OVERLAP <= now) {
            self.demand.clear();
        }
        for (model, &expected) in &self.demand {
            let demand = fleet.demand.entry(model.clone()).or_default();
            *demand = demand.max(expected);
        }
    }
}

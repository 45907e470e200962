//! The engines of a service as the placement sees them.

use std::collections::BTreeMap;

use crate::version::Model;
use crate::version::routing::{Engine, Weights};

/// Prompt tokens that an engine reads per second. From the users' sheets, the
/// same for all their engines.
const PREFILL_TOKENS_PER_SECOND: f64 = 38_700.0;

/// The engines of a service.
#[derive(Clone, Debug)]
pub struct Fleet<'a> {
    /// What all engines have in common.
    pub engine: &'a Engine,
    /// The engines that take work.
    pub instances: Vec<Instance<'a>>,
    /// The demand for each model, in prompt tokens per second.
    pub demand: &'a BTreeMap<Model, f64>,
}

/// An engine that takes work.
#[derive(Clone, Debug)]
pub struct Instance<'a> {
    /// Its id.
    pub id: &'a str,
    /// The models that it holds.
    pub models: &'a [Model],
    /// The models of which it has a copy outside of the accelerator.
    pub warm: &'a [Model],
    /// Requests in flight at it.
    pub in_flight: u32,
    /// The part of its reading speed that the demand for its models takes.
    pub load: f64,
}

impl Instance<'_> {
    /// Whether the engine has a copy from which the model loads fast.
    #[must_use]
    pub fn is_warm(&self, model: &Model) -> bool {
        self.warm.contains(model)
    }
}

impl<'a> Fleet<'a> {
    /// The engine called `id`.
    #[must_use]
    pub fn instance(&self, id: &str) -> Option<&Instance<'a>> {
        self.instances.iter().find(|host| host.id == id)
    }

    /// The weights of a model in the store.
    #[must_use]
    pub fn weights(&self, model: &Model) -> Option<&'a Weights> {
        let mut models = self.engine.models.iter();
        models.find(|weights| weights.model == *model)
    }

    /// The part of one engine's reading speed that the demand for a model takes.
    #[must_use]
    pub fn share(&self, model: &Model) -> f64 {
        self.demand.get(model).copied().unwrap_or(0.0) / PREFILL_TOKENS_PER_SECOND
    }

    /// Memory left on an engine for weights, with all places for adapters taken, in megabytes.
    #[must_use]
    pub fn free_mb(&self, host: &Instance<'_>) -> f64 {
        let held = host.models.iter().filter_map(|model| self.weights(model));
        let held: f64 = held.map(|weights| weights.mb).sum();
        self.engine.models_mb() - held
    }

    /// How many copies of every model fit, `most` at most, within `share` of all memory.
    #[must_use]
    pub fn spare_copies(&self, most: usize, share: f64) -> usize {
        let hosts = u32::try_from(self.instances.len()).unwrap_or(u32::MAX);
        let memory = f64::from(hosts) * self.engine.weights_mb * share;
        let once: f64 = self.engine.models.iter().map(|weights| weights.mb).sum();
        let fits = |copies: &usize| {
            let copies = u32::try_from(*copies).unwrap_or(u32::MAX);
            f64::from(copies) * once <= memory
        };
        (1..=most).rev().find(fits).unwrap_or(1)
    }

    /// Works out the load of every engine from the demand for what it holds.
    pub fn compute_loads(&mut self) {
        let mut copies: BTreeMap<&Model, f64> = BTreeMap::new();
        for host in &self.instances {
            for model in host.models {
                *copies.entry(model).or_default() += 1.0;
            }
        }
        let loads: Vec<f64> = self
            .instances
            .iter()
            .map(|host| {
                let parts = host.models.iter();
                parts
                    .map(|model| self.share(model) / copies.get(model).copied().unwrap_or(1.0))
                    .sum()
            })
            .collect();
        for (host, load) in self.instances.iter_mut().zip(loads) {
            host.load = load;
        }
    }
}

//! The engines of a service and the demand for its models, as input of one round.

use std::collections::BTreeMap;

use crate::version::Model;
use crate::version::routing::{Engine, Footprint};

/// An engine's prefill throughput in prompt tokens per second. From the users' data
/// sheets, which give the same figure for all their engines.
const PREFILL_TOKENS_PER_SECOND: f64 = 38_700.0;

/// The engines of a service.
#[derive(Clone, Debug)]
pub struct Fleet<'a> {
    /// The properties that all engines of the service share.
    pub engine: &'a Engine,
    /// The engines that accept requests.
    pub instances: Vec<Instance<'a>>,
    /// The demand for each model, in prompt tokens per second.
    pub demand: &'a BTreeMap<Model, f64>,
}

/// An engine that accepts requests.
#[derive(Clone, Debug)]
pub struct Instance<'a> {
    /// The endpoint's id.
    pub id: &'a str,
    /// The models that it holds.
    pub models: &'a [Model],
    /// The models of which it has a warm copy, outside of accelerator memory.
    pub warm_copies: &'a [Model],
    /// The number of requests in flight.
    pub in_flight: u32,
    /// The demand for its models as a fraction of its prefill throughput; set by
    /// [`Fleet::compute_loads`].
    pub load: f64,
}

impl Instance<'_> {
    /// Whether the engine has a warm copy, from which the model loads fast.
    #[must_use]
    pub fn is_warm(&self, model: &Model) -> bool {
        self.warm_copies.contains(model)
    }
}

impl<'a> Fleet<'a> {
    /// The engine with this id.
    #[must_use]
    pub fn instance(&self, id: &str) -> Option<&Instance<'a>> {
        self.instances.iter().find(|instance| instance.id == id)
    }

    /// The footprint of a model, if the service has it.
    #[must_use]
    pub fn footprint(&self, model: &Model) -> Option<&'a Footprint> {
        let mut models = self.engine.models.iter();
        models.find(|footprint| footprint.model == *model)
    }

    /// The demand for a model as a fraction of one engine's prefill throughput.
    #[must_use]
    pub fn share(&self, model: &Model) -> f64 {
        self.demand.get(model).copied().unwrap_or(0.0) / PREFILL_TOKENS_PER_SECOND
    }

    /// The memory left on an engine for models, in megabytes, with the adapter slots
    /// counted as used.
    #[must_use]
    pub fn free_mb(&self, instance: &Instance<'_>) -> f64 {
        let models = instance
            .models
            .iter()
            .filter_map(|model| self.footprint(model));
        let models: f64 = models.map(|footprint| footprint.mb).sum();
        self.engine.models_mb() - models
    }

    /// How many copies of every model fit into `memory_fraction` of all memory: from 1 to
    /// `max`.
    #[must_use]
    pub fn baseline_copies(&self, max: usize, memory_fraction: f64) -> usize {
        let instances = u32::try_from(self.instances.len()).unwrap_or(u32::MAX);
        let memory = f64::from(instances) * self.engine.weights_mb * memory_fraction;
        let one_copy_each: f64 = self
            .engine
            .models
            .iter()
            .map(|footprint| footprint.mb)
            .sum();
        let fits = |copies: &usize| {
            let copies = u32::try_from(*copies).unwrap_or(u32::MAX);
            f64::from(copies) * one_copy_each <= memory
        };
        (1..=max).rev().find(fits).unwrap_or(1)
    }

    /// Sets the load of every engine, with the demand for each model split evenly over its
    /// copies.
    pub fn compute_loads(&mut self) {
        let mut copies: BTreeMap<&Model, f64> = BTreeMap::new();
        for instance in &self.instances {
            for model in instance.models {
                *copies.entry(model).or_default() += 1.0;
            }
        }
        let loads: Vec<f64> = self
            .instances
            .iter()
            .map(|instance| {
                let models = instance.models.iter();
                models
                    .map(|model| self.share(model) / copies.get(model).copied().unwrap_or(1.0))
                    .sum()
            })
            .collect();
        for (instance, load) in self.instances.iter_mut().zip(loads) {
            instance.load = load;
        }
    }
}

//! A service that routes lead to, with what its endpoints have in common.

use std::time::Duration;

use crate::version::{Model, Service};

/// The endpoints of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// The service.
    pub service: Service,
    /// The path of the endpoints' health check.
    pub health_path: String,
    /// The connections that one endpoint takes from all callers together.
    pub max_connections: u32,
    /// What the endpoints are capable of, if they are model engines.
    pub engine: Option<Engine>,
}

/// The properties that all model engines of a service share.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that the KV cache holds.
    pub cache_tokens: u64,
    /// Accelerator memory for weights, in megabytes.
    pub weights_mb: f64,
    /// Adapters that fit at once.
    pub adapter_slots: u32,
    /// Loads that the weight store allows over all engines, per second.
    pub loads_per_second: f64,
    /// The models that the engines may be asked for.
    pub models: Vec<Weights>,
}

impl Engine {
    /// Memory for models with all places for adapters taken, in megabytes.
    #[must_use]
    pub fn models_mb(&self) -> f64 {
        self.weights_mb - f64::from(self.adapter_slots) * self.largest_adapter_mb()
    }

    /// The adapters for which `models` leave room, at most as many as there are places.
    #[must_use]
    pub fn adapter_capacity(&self, models: &[Model]) -> u32 {
        let held = self.models.iter().filter(|row| models.contains(&row.model));
        let held: f64 = held.map(|row| row.mb).sum();
        let room = self.weights_mb - held;
        let fits = |&slots: &u32| f64::from(slots) * self.largest_adapter_mb() <= room;
        (0..=self.adapter_slots).rev().find(fits).unwrap_or(0)
    }

    fn largest_adapter_mb(&self) -> f64 {
        let sizes = self.models.iter().filter(|row| row.adapters > 0);
        sizes.map(|row| row.adapter_mb).fold(0.0, f64::max)
    }
}

/// The weights of a model in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Weights {
    /// The model.
    pub model: Model,
    /// Their size, in megabytes.
    pub mb: f64,
    /// How long a load from the store takes.
    pub load_time: Duration,
    /// How many adapters the model has.
    pub adapters: u32,
    /// The size of an adapter, in megabytes.
    pub adapter_mb: f64,
}

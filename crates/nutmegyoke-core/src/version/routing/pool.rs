//! A service and the properties that its endpoints have in common.

use std::time::Duration;

use crate::version::{Model, Service};

/// A service that routes refer to, as the pool of its endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// The name of the service.
    pub service: Service,
    /// The path of the endpoints' health check.
    pub health_path: String,
    /// The maximum number of connections to one endpoint, from all clients together.
    pub max_connections: u32,
    /// The properties of the endpoints, if they are model engines.
    pub engine: Option<Engine>,
}

/// The common properties of the model engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// The number of requests that an engine runs concurrently.
    pub slots: u32,
    /// The capacity of the KV cache, in tokens.
    pub cache_tokens: u64,
    /// The tokens in one event of a stream.
    pub event_tokens: u32,
    /// The accelerator memory for weights, in megabytes.
    pub weights_mb: f64,
    /// The maximum number of adapters in memory.
    pub adapter_slots: u32,
    /// The rate of loads that the weight store allows to all engines together, per second.
    pub loads_per_second: f64,
    /// The models that the engines can load.
    pub models: Vec<Footprint>,
}

impl Engine {
    /// The memory left for models when all adapter slots are in use, in megabytes.
    #[must_use]
    pub fn models_mb(&self) -> f64 {
        self.weights_mb - f64::from(self.adapter_slots) * self.largest_adapter_mb()
    }

    /// The number of adapters that fit into memory beside `models`, at most
    /// [`Engine::adapter_slots`].
    #[must_use]
    pub fn adapter_capacity(&self, models: &[Model]) -> u32 {
        let resident = self.models.iter().filter(|row| models.contains(&row.model));
        let resident: f64 = resident.map(|row| row.mb).sum();
        let free_mb = self.weights_mb - resident;
        let fits = |&slots: &u32| f64::from(slots) * self.largest_adapter_mb() <= free_mb;
        (0..=self.adapter_slots).rev().find(fits).unwrap_or(0)
    }

    fn largest_adapter_mb(&self) -> f64 {
        let sizes = self.models.iter().filter(|row| row.adapters > 0);
        sizes.map(|row| row.adapter_mb).fold(0.0, f64::max)
    }
}

/// The memory that a model takes and the time to load it from the weight store.
#[derive(Clone, Debug, PartialEq)]
pub struct Footprint {
    /// The model.
    pub model: Model,
    /// The size of the weights, in megabytes.
    pub mb: f64,
    /// The time to load the weights from the store.
    pub load_time: Duration,
    /// The number of adapters of the model.
    pub adapters: u32,
    /// The size of an adapter, in megabytes.
    pub adapter_mb: f64,
}

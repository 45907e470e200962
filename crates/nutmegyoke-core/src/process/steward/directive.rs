//! The contents of an engine, and directives to change them.

use super::{Action, Order};

/// The contents and state of an engine at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The number of orders that it has accepted since its start.
    pub accepted: u64,
    /// Whether a model is being loaded or unloaded.
    pub busy: bool,
    /// The loaded models.
    pub models: Vec<String>,
    /// The loaded adapters, as MODEL/NAME.
    pub adapters: Vec<String>,
    /// The adapters that are being loaded, as MODEL/NAME.
    pub incoming: Vec<String>,
}

/// A change to the models on an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Directive {
    /// The id of the engine as known to the gateway.
    pub endpoint: String,
    /// The models to unload before the load.
    pub unload: Vec<String>,
    /// The model to load.
    pub load: String,
    /// The engine's memory for models, in megabytes.
    pub memory_mb: f64,
    /// The size of each model that the engine may hold, in megabytes.
    pub sizes: Vec<(String, f64)>,
}

impl Directive {
    /// Whether the model fits into the memory once the models to unload are gone.
    #[must_use]
    pub fn fits(&self, view: &View) -> bool {
        let remaining = view
            .models
            .iter()
            .filter(|model| !self.unload.contains(model));
        let held: f64 = remaining.map(|model| self.size(model)).sum();
        held + self.size(&self.load) <= self.memory_mb
    }

    /// The size of a model in megabytes. A model that isn't listed counts as the whole
    /// memory.
    fn size(&self, model: &str) -> f64 {
        let listed = self.sizes.iter().find(|(name, _)| name == model);
        listed.map_or(self.memory_mb, |&(_, mb)| mb)
    }

    /// The next order: an unload while a model to unload is still held, then the load.
    #[must_use]
    pub fn next_order(&self, view: &View) -> Order {
        let unload = self.unload.iter().find(|model| view.models.contains(model));
        Order {
            endpoint: self.endpoint.clone(),
            action: if unload.is_some() {
                Action::Unload
            } else {
                Action::Load
            },
            model: unload.unwrap_or(&self.load).clone(),
            adapter: None,
        }
    }
}

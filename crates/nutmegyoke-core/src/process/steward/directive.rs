//! What an engine holds, and how it shall change.

use super::{Action, Order};

/// What an engine holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Orders that it has accepted since its start.
    pub accepted: u64,
    /// Whether it is loading or unloading a model.
    pub busy: bool,
    /// The models that it holds.
    pub models: Vec<String>,
    /// The adapters that it holds, as MODEL/NAME.
    pub adapters: Vec<String>,
    /// The adapters that are on their way to it, as MODEL/NAME.
    pub incoming: Vec<String>,
}

/// A change of the models that the engine holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Directive {
    /// The engine as the gateway knows it.
    pub endpoint: String,
    /// The models to unload first.
    pub unload: Vec<String>,
    /// The model to load then.
    pub load: String,
    /// Memory for models, in megabytes.
    pub memory_mb: f64,
    /// The size of every model that the engine may hold, in megabytes.
    pub sizes: Vec<(String, f64)>,
}

impl Directive {
    /// Whether the model fits once the others have made way.
    #[must_use]
    pub fn fits(&self, view: &View) -> bool {
        let kept = view
            .models
            .iter()
            .filter(|model| !self.unload.contains(model));
        let held: f64 = kept.map(|model| self.size(model)).sum();
        held + self.size(&self.load) <= self.memory_mb
    }

    /// The size of a model; one that isn't listed takes all there is.
    fn size(&self, model: &str) -> f64 {
        let listed = self.sizes.iter().find(|(name, _)| name == model);
        listed.map_or(self.memory_mb, |&(_, mb)| mb)
    }

    /// The next order: an unload as long as there is one to do.
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

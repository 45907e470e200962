//! An endpoint: a model engine or a plain service.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::version::{Adapter, Model, Service};

/// The announced state of an endpoint, as listed in the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Endpoint {
    /// The name, unique on its VM.
    pub name: String,
    /// The models and adapters that it holds, or the service that it offers.
    pub holding: Holding,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub phase: Phase,
}

impl Endpoint {
    /// Whether the endpoint can serve `target` according to its announcement.
    #[must_use]
    pub fn serves(&self, target: Target<'_>) -> bool {
        self.phase == Phase::Ready && self.holding.contains(target)
    }
}

/// The models and adapters that an engine holds, or the service that an endpoint offers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Holding {
    /// A model engine with the models and adapters in its memory.
    Engine {
        models: Vec<Model>,
        adapters: Vec<Adapter>,
    },
    /// A plain service.
    Service { service: Service },
}

impl Holding {
    /// Whether `target` is held or offered.
    #[must_use]
    pub fn contains(&self, target: Target<'_>) -> bool {
        match (self, target) {
            (Self::Engine { models, adapters }, Target::Model { model, adapter }) => {
                models.iter().any(|held| held.as_str() == model)
                    && adapter.is_none_or(|name| adapters.iter().any(|held| held.as_str() == name))
            }
            (Self::Service { service }, Target::Service { service: wanted }) => {
                service.as_str() == wanted
            }
            _ => false,
        }
    }
}

/// The model, adapter or service that a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target<'a> {
    /// A model and, if requested, one of its adapters.
    Model {
        model: &'a str,
        adapter: Option<&'a str>,
    },
    /// A plain service.
    Service { service: &'a str },
}

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// Accepts new requests.
    Ready,
    /// Finishes its requests and accepts no new ones.
    Draining,
}

//! An endpoint: an engine or a plain service, as it announced itself.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::version::{Adapter, Model, Service};

/// What an endpoint told of itself, as the directory carries it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Endpoint {
    /// The name, unique on its VM.
    pub name: String,
    /// What it serves.
    pub holding: Holding,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: Phase,
}

impl Endpoint {
    /// Whether the endpoint can serve `target` as far as its announcement says.
    #[must_use]
    pub fn serves(&self, target: Target<'_>) -> bool {
        self.phase == Phase::Ready && self.holding.contains(target)
    }
}

/// What an endpoint holds in memory or offers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Holding {
    /// A model engine with the models and adapters resident on it.
    Engine {
        models: Vec<Model>,
        adapters: Vec<Adapter>,
    },
    /// A plain service.
    Service { service: Service },
}

impl Holding {
    /// Whether `target` is held here now.
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

/// Where a request wants to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target<'a> {
    /// A model and, where asked for, one of its adapters.
    Model {
        model: &'a str,
        adapter: Option<&'a str>,
    },
    /// A plain service.
    Service { service: &'a str },
}

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// Takes new work.
    Ready,
    /// Finishes what it has and takes nothing new.
    Draining,
}

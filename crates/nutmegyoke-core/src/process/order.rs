//! Orders by which control changes what an engine holds, and their fencing.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use strum::{Display as Named, EnumString};

/// Orders the orders: a higher term wins, then a higher sequence number.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
#[display("{term}.{sequence}")]
pub struct Fence {
    /// The term of the control leader.
    pub term: u64,
    /// Counts the leader's orders.
    pub sequence: u64,
}

/// Orders what one agent sends to an engine, across the agent's restarts.
///
/// Each order and each inspection carries a stamp of its own. An engine that
/// checks fences refuses an order with an older stamp than one it has seen, so
/// an inspection shuts out everything that was sent before it.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
#[display("{run}.{count}")]
pub struct Stamp {
    /// The incarnation of the agent.
    pub run: u64,
    /// Counts what it sent to the engine.
    pub count: u64,
}

/// One version of the weights of a model or adapter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
#[display("{kind} {name} version {version}")]
pub struct Weights {
    /// Whether they stand alone or need a model.
    pub kind: Kind,
    /// The name of the model or adapter.
    pub name: String,
    /// The version of the weights.
    pub version: u32,
}

/// What weights are of.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Named,
    EnumString,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// A model.
    Model,
    /// An adapter, useful only beside its model.
    Adapter,
}

/// The part of generation that an engine runs.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Named,
    EnumString,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Stage {
    /// Reads prompts and generates tokens.
    #[default]
    Mixed,
    /// Only reads prompts and exports their KV cache.
    Prefill,
    /// Imports KV cache and generates tokens.
    Decode,
}

/// What an engine shall do.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "action")]
pub enum Action {
    /// Load weights that take `bytes` of accelerator memory.
    #[display("load {weights}, {bytes} bytes")]
    Load { weights: Weights, bytes: u64 },
    /// Unload weights.
    #[display("unload {weights}")]
    Unload { weights: Weights },
    /// Change the stage.
    #[display("turn to {stage}")]
    Turn { stage: Stage },
}

/// An order of the control leader to one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Order {
    /// The name of the engine on its VM.
    pub endpoint: String,
    /// Its place among the orders.
    pub fence: Fence,
    /// What to do.
    pub action: Action,
}

impl Action {
    /// The weights that the action is about.
    #[must_use]
    pub fn weights(&self) -> Option<&Weights> {
        match self {
            Self::Load { weights, .. } | Self::Unload { weights } => Some(weights),
            Self::Turn { .. } => None,
        }
    }
}

impl Weights {
    /// A model's weights.
    #[must_use]
    pub fn model(name: &str, version: u32) -> Self {
        Self {
            kind: Kind::Model,
            name: name.to_owned(),
            version,
        }
    }

    /// An adapter's weights.
    #[must_use]
    pub fn adapter(name: &str, version: u32) -> Self {
        Self {
            kind: Kind::Adapter,
            name: name.to_owned(),
            version,
        }
    }
}

/// How an order ended, as far as the agent knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Named, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The engine confirmed it.
    Done,
    /// No usable answer: it may have taken effect, or may yet.
    Lost,
}

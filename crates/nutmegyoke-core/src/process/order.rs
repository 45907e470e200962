//! The orders by which control changes the weights and the stage of an engine.
//!
//! The leader numbers its orders with a [`Fence`], by which agents refuse outdated ones.
//! The agent numbers its messages to an engine with a [`Stamp`], by which the engine does
//! the same.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use strum::{Display as Named, EnumString};

/// The fencing token of an order. The higher term takes precedence, then the higher sequence
/// number.
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
    /// The number of the order in that term.
    pub sequence: u64,
}

/// The sequence number of a message from an agent to an engine, across restarts of the
/// agent. The later run takes precedence, then the higher count.
///
/// Each order and each inspection has its own stamp. An engine that checks stamps
/// refuses an order whose stamp is older than the newest one it has received. After
/// an inspection, it therefore refuses all orders that were sent before it.
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
    /// The number of the message in that run.
    pub count: u64,
}

/// A version of the weights of a model or adapter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
#[display("{kind} {name} version {version}")]
pub struct Weights {
    /// Whether they are the weights of a model or of an adapter.
    pub kind: Kind,
    /// The name of the model or adapter.
    pub name: String,
    /// The version of the weights.
    pub version: u32,
}

/// The kind of weights.
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
    /// An adapter, which can be used only together with its model.
    Adapter,
}

/// The stage of generation that an engine runs.
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
    /// Processes prompts and generates tokens.
    #[default]
    Mixed,
    /// Processes prompts and exports their KV cache.
    Prefill,
    /// Imports the KV cache and generates tokens.
    Decode,
}

/// The action that an order requests.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "action")]
pub enum Action {
    /// Loads weights that take `bytes` of accelerator memory.
    #[display("load {weights}, {bytes} bytes")]
    Load { weights: Weights, bytes: u64 },
    /// Unloads weights.
    #[display("unload {weights}")]
    Unload { weights: Weights },
    /// Changes the stage.
    #[display("turn to {stage}")]
    Turn { stage: Stage },
}

/// An order of the control leader to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Order {
    /// The name of the engine on its VM.
    pub endpoint: String,
    /// The fencing token.
    pub fence: Fence,
    /// The requested action.
    pub action: Action,
}

impl Action {
    /// The weights that the action loads or unloads.
    #[must_use]
    pub fn weights(&self) -> Option<&Weights> {
        match self {
            Self::Load { weights, .. } | Self::Unload { weights } => Some(weights),
            Self::Turn { .. } => None,
        }
    }
}

impl Weights {
    /// Creates the identifier of a model's weights.
    #[must_use]
    pub fn model(name: &str, version: u32) -> Self {
        Self {
            kind: Kind::Model,
            name: name.to_owned(),
            version,
        }
    }

    /// Creates the identifier of an adapter's weights.
    #[must_use]
    pub fn adapter(name: &str, version: u32) -> Self {
        Self {
            kind: Kind::Adapter,
            name: name.to_owned(),
            version,
        }
    }
}

/// The outcome of an order as known to the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Named, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The engine confirmed the order.
    Done,
    /// There was no valid answer. The order may have taken effect or may still do so.
    Lost,
}

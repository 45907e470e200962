//! A grant: an item and the plans that may use it.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::{Adapter, Model, Service};

/// A row of the grants list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Grant {
    /// The item that may be used.
    pub item: Item,
    /// The names of the plans that may use it.
    pub plans: Vec<String>,
}

/// An item that a plan may use.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Item {
    /// A model. `bytes` is the accelerator memory that its weights take.
    Model { name: Model, bytes: u64 },
    /// An adapter of `model`. `bytes` is the accelerator memory that its weights take.
    Adapter {
        name: Adapter,
        model: Model,
        bytes: u64,
    },
    /// A plain service. `calls` declares which of its calls are repeatable.
    Service { name: Service, calls: Vec<Call> },
}

impl Item {
    /// The name of the item: unique among models and adapters, or among services.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Model { name, .. } => name.as_str(),
            Self::Adapter { name, .. } => name.as_str(),
            Self::Service { name, .. } => name.as_str(),
        }
    }
}

/// Declares whether some calls of a service are repeatable.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Call {
    /// The HTTP method in upper case.
    pub method: String,
    /// The prefix of the path within the service, with the leading slash.
    pub prefix: String,
    /// Whether a call that may have run may be sent again.
    pub repeat: Repeat,
}

/// Whether a request may run more than once.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display, EnumString, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Repeat {
    /// Idempotent: the request may run more than once.
    Repeatable,
    /// The request must run at most once.
    #[default]
    Once,
}

/// Whether a call of a service is repeatable.
///
/// The declaration with the longest matching prefix applies. A call without a
/// declaration is repeatable only if HTTP defines its method as safe.
#[must_use]
pub fn repeatability(calls: &[Call], method: &str, path: &str) -> Repeat {
    let declared = calls
        .iter()
        .filter(|call| call.method == method && path.starts_with(&call.prefix))
        .max_by_key(|call| call.prefix.len());
    match declared {
        Some(call) => call.repeat,
        None if matches!(method, "GET" | "HEAD") => Repeat::Repeatable,
        None => Repeat::Once,
    }
}

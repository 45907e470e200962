//! A grant: one item and the plans that may use it.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::{Adapter, Model, Service};

/// One row of the grants list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Grant {
    /// What may be used.
    pub item: Item,
    /// Names of the plans that may use it.
    pub plans: Vec<String>,
}

/// What a plan may use.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Item {
    /// A model and the accelerator memory of its weights, in bytes.
    Model { name: Model, bytes: u64 },
    /// An adapter, the model it belongs to and its accelerator memory in bytes.
    Adapter {
        name: Adapter,
        model: Model,
        bytes: u64,
    },
    /// A plain service and which of its calls are repeatable.
    Service { name: Service, calls: Vec<Call> },
}

impl Item {
    /// The name of the item, unique within its kind.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Model { name, .. } => name.as_str(),
            Self::Adapter { name, .. } => name.as_str(),
            Self::Service { name, .. } => name.as_str(),
        }
    }
}

/// Declares whether calls of a service may be repeated.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Call {
    /// The HTTP method, in capitals.
    pub method: String,
    /// The start of the path within the service, with its leading slash.
    pub prefix: String,
    /// Whether a call that may have run can be sent again.
    pub repeat: Repeat,
}

/// Whether a request may be executed more than once.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display, EnumString, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Repeat {
    /// Idempotent: running it twice does no harm.
    Repeatable,
    /// Runs at most once.
    #[default]
    Once,
}

/// Looks up whether a call of a service is repeatable.
///
/// The longest matching prefix decides. A call that no row declares is
/// repeatable only when its method is safe by HTTP's own definition.
#[must_use]
pub fn repeat(calls: &[Call], method: &str, path: &str) -> Repeat {
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

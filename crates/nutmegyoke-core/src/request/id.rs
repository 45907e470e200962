//! The identifier of a request, shared by all processes that handle it.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A request identifier, unique across restarts of the entry.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
#[display("{entry:x}-{number}")]
pub struct Id {
    /// The run of the entry: a hash of its name and incarnation.
    pub entry: u64,
    /// The sequence number of the request in that run.
    pub number: u64,
}

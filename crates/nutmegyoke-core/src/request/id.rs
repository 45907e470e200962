//! Identifies a request across the processes that handle it.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A request, unique across restarts of its entry.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
#[display("{entry:x}-{number}")]
pub struct Id {
    /// Identifies the run of the entry: a hash of its name and incarnation.
    pub entry: u64,
    /// Counts the requests of that run.
    pub number: u64,
}

//! The identity of a VM and of the run of its process.

use derive_more::Display;
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

/// A VM and the run of the process on it.
///
/// A restarted process has the same name and a higher incarnation, which identifies
/// messages of earlier runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
#[display("{name}#{incarnation}")]
pub struct Vm {
    /// The name from the settings, unique in the fleet.
    pub name: String,
    /// When the process started, in milliseconds since the Unix epoch.
    pub incarnation: u64,
}

impl Vm {
    /// A hash that identifies this run of the process.
    #[must_use]
    pub fn run_id(&self) -> u64 {
        rapidhash_v3(self.to_string().as_bytes())
    }
}

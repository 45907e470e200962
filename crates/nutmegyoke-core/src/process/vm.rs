//! Identifies a VM and one run of its process.

use derive_more::Display;
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

/// A VM together with the run of the process on it.
///
/// A restarted process has the same name and a higher incarnation, so that
/// messages of the earlier run are recognised.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
#[display("{name}#{incarnation}")]
pub struct Vm {
    /// The name from the settings, unique in the fleet.
    pub name: String,
    /// Milliseconds since the Unix epoch at the start of the process.
    pub incarnation: u64,
}

impl Vm {
    /// A hash that identifies this run of the process.
    #[must_use]
    pub fn run_id(&self) -> u64 {
        rapidhash_v3(self.to_string().as_bytes())
    }
}

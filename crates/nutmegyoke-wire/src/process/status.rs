//! The JSON by which a control process shows the fleet to operators.

use nutmegyoke_core::process::Member;
use nutmegyoke_core::process::control::replica::{Id, Seed};
use serde::{Deserialize, Serialize};

/// The fleet as one control process sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// The number of the accepted configuration; 0 while there is none.
    pub number: u64,
    /// The digest of its content.
    pub digest: u64,
    /// The processes whose leases run.
    pub members: Vec<Member>,
    /// The VM whose replica leads; `None` while there is none.
    #[serde(default)]
    pub leader: Option<String>,
    /// The term of the replica that answers.
    #[serde(default)]
    pub term: u64,
    /// The replicas of the state that survives.
    #[serde(default)]
    pub replicas: Vec<Replica>,
}

/// A replica as the leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Replica {
    /// The VM it runs on, with its address.
    pub seed: Seed,
    /// The life of its disk.
    pub id: Id,
    /// Whether it votes.
    pub voter: bool,
    /// Entries of the log that it has not synced yet; `None` if not known here.
    pub lag: Option<u64>,
}

impl Status {
    /// Decodes a status.
    ///
    /// # Errors
    ///
    /// The text is not JSON or does not have the shape of a status.
    pub fn decode(text: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(text)
    }

    /// Encodes a status.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

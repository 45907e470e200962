//! The JSON status of the fleet, as control reports it to operators.

use nutmegyoke_core::process::Member;
use nutmegyoke_core::process::control::replica::{Id, Seed};
use serde::{Deserialize, Serialize};

/// The fleet as one control process sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Status {
    /// The number of the accepted configuration; 0 if there is none.
    pub number: u64,
    /// The digest of that configuration.
    pub digest: u64,
    /// The processes with a valid lease.
    pub members: Vec<Member>,
    /// The VM of the leading replica; `None` if none leads.
    #[serde(default)]
    pub leader: Option<String>,
    /// The current term of the replica that answers.
    #[serde(default)]
    pub term: u64,
    /// The replicas of the fleet's durable state.
    #[serde(default)]
    pub replicas: Vec<Replica>,
}

/// A replica as the answering process sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Replica {
    /// The replica's VM and address.
    pub seed: Seed,
    /// Identifies the replica; a VM that restarts with an empty disk gets a new ID.
    pub id: Id,
    /// Whether it votes.
    pub voter: bool,
    /// The number of log entries that it has not synced yet; `None` if the
    /// answering process does not lead.
    pub lag: Option<u64>,
}

impl Status {
    /// Decodes a status.
    ///
    /// # Errors
    ///
    /// The text is not JSON or not a status.
    pub fn decode(text: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(text)
    }

    /// Encodes a status.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

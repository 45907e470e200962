//! The JSON by which a control process shows the fleet to operators.

use nutmegyoke_core::process::Member;
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

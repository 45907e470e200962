//! The JSON by which an operator withdraws endpoints from service or returns them to it.

use serde::{Deserialize, Serialize};

/// A command to withdraw endpoints from service or to return them to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Withdrawal {
    /// The name of the agent's VM.
    pub vm: String,
    /// The name of one of its endpoints; `None` for all of them.
    #[serde(default)]
    pub endpoint: Option<String>,
    /// Whether the endpoints are withdrawn, so that they get no new requests.
    pub withdrawn: bool,
}

impl Withdrawal {
    /// Decodes a withdrawal.
    ///
    /// # Errors
    ///
    /// The text is not JSON or not a withdrawal.
    pub fn decode(text: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(text)
    }

    /// Encodes a withdrawal.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

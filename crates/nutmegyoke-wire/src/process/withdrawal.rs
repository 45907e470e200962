//! The JSON by which an operator withdraws endpoints from service.

use serde::{Deserialize, Serialize};

/// Withdraws endpoints, or puts them back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Withdrawal {
    /// The VM of the agent.
    pub vm: String,
    /// One of its endpoints; all if there is none.
    #[serde(default)]
    pub endpoint: Option<String>,
    /// Whether they take no new work from now on.
    pub withdrawn: bool,
}

impl Withdrawal {
    /// Decodes a withdrawal.
    ///
    /// # Errors
    ///
    /// The text is not JSON or does not have the shape of a withdrawal.
    pub fn decode(text: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(text)
    }

    /// Encodes a withdrawal.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

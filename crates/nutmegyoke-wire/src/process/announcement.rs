//! The JSON by which an endpoint announces itself to its agent.
//!
//! Endpoints send it to `POST /v1/endpoints` of the agent on their VM when they start, on
//! each change and every second. Endpoints without an agent send heartbeats to a gateway
//! instead; gateways exchange those, see [`super::rumor`].

use std::net::SocketAddr;

use nutmegyoke_core::process::Endpoint;
use nutmegyoke_core::process::report::Capacity;
use serde::{Deserialize, Serialize};

/// The state of an endpoint as it reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Announcement {
    /// The address at which the agent reaches the endpoint.
    pub address: SocketAddr,
    /// The endpoint's name, contents and phase.
    pub endpoint: Endpoint,
    /// The memory of an engine that takes orders; `None` for other endpoints. The contents
    /// of such an engine come from the agent's ledger instead of the announcement.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<Capacity>,
}

impl Announcement {
    /// Decodes an announcement.
    ///
    /// # Errors
    ///
    /// The text is not JSON or not an announcement.
    pub fn decode(text: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(text)
    }

    /// Encodes an announcement.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

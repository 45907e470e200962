//! Recognises a request that comes again.

use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

use crate::process::endpoint::Target;
use crate::request::passthrough::Part;

/// A hash of all that an endpoint is asked. Requests of one caller for the same have the same
/// fingerprint at all gateways, whatever their ids and deadlines. It is never 0.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

/// What a request asks.
#[derive(Clone, Copy, Debug)]
pub struct Content<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The host that the client addressed.
    pub host: &'a str,
    /// The path with the query.
    pub path: &'a str,
    /// The credentials of the caller, if it sent any.
    pub caller: Option<&'a [u8]>,
    /// The requested model and adapter, if any.
    pub target: Option<Target<'a>>,
    /// The parts of the prompt in order.
    pub prompt: &'a [Part],
    /// The whole body.
    pub body: &'a [u8],
}

impl Fingerprint {
    /// Hashes what a request asks. The parts of the prompt describe the body, so they count
    /// only for a request without one.
    #[must_use]
    pub fn open(content: &Content<'_>) -> Self {
        let (model, adapter) = match content.target {
            Some(Target::Model { model, adapter }) => (model, adapter.unwrap_or_default()),
            _ => ("", ""),
        };
        let fields = [
            content.method.as_bytes(),
            content.host.as_bytes(),
            content.path.as_bytes(),
            content.caller.unwrap_or_default(),
            model.as_bytes(),
            adapter.as_bytes(),
        ];
        let mut key = Vec::new();
        for field in fields {
            key.extend_from_slice(&rapidhash_v3(field).to_le_bytes());
        }
        if content.body.is_empty() {
            for part in content.prompt {
                key.extend_from_slice(&part.id.to_le_bytes());
            }
        } else {
            key.extend_from_slice(&rapidhash_v3(content.body).to_le_bytes());
        }
        Self(rapidhash_v3(&key).max(1))
    }
}

//! The JSON by which the command-line tool submits a configuration to control.

use nutmegyoke_core::process::control::Acceptance;
use nutmegyoke_core::version::configuration::Lists;

/// Decodes the plans and grants lists.
///
/// # Errors
///
/// The text is not JSON or not a pair of lists.
pub fn decode(text: &[u8]) -> serde_json::Result<Lists> {
    serde_json::from_slice(text)
}

/// Encodes the plans and grants lists.
#[must_use]
pub fn encode(lists: &Lists) -> Vec<u8> {
    serde_json::to_vec(lists).unwrap_or_default()
}

/// Decodes the outcome of a submission.
///
/// # Errors
///
/// The text is not JSON or not an outcome.
pub fn decode_acceptance(text: &[u8]) -> serde_json::Result<Acceptance> {
    serde_json::from_slice(text)
}

/// Encodes the outcome of a submission.
#[must_use]
pub fn encode_acceptance(acceptance: Acceptance) -> Vec<u8> {
    serde_json::to_vec(&acceptance).unwrap_or_default()
}

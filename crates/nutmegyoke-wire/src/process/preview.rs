//! The JSON preview of the moves that a configuration would cause.

use nutmegyoke_core::process::control::planner::Preview;

/// Decodes a preview.
///
/// # Errors
///
/// The text is not JSON or not a preview.
pub fn decode(text: &[u8]) -> serde_json::Result<Preview> {
    serde_json::from_slice(text)
}

/// Encodes a preview.
#[must_use]
pub fn encode(preview: &Preview) -> Vec<u8> {
    serde_json::to_vec(preview).unwrap_or_default()
}

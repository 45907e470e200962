//! The JSON listing of a gateway's endpoints, as it reports it to operators.

use nutmegyoke_core::version::routing::check::warning::Listing;

/// Decodes a listing.
///
/// # Errors
///
/// The text is not JSON or not a listing.
pub fn decode(text: &[u8]) -> serde_json::Result<Listing> {
    serde_json::from_slice(text)
}

/// Encodes a listing.
#[must_use]
pub fn encode(listing: &Listing) -> Vec<u8> {
    serde_json::to_vec(listing).unwrap_or_default()
}

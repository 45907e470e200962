//! What the choice of an endpoint was based on.

use serde::Serialize;

/// The inputs of a choice, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Basis {
    /// The number of the routing document.
    pub routing: u64,
    /// Endpoints that could have taken the request.
    pub candidates: usize,
    /// How long ago the chosen one was last heard of, in milliseconds.
    pub heard_ms: u64,
    /// Requests in flight there, as far as known here.
    pub in_flight: u32,
    /// Prompt tokens that it had to read before.
    pub ahead: u64,
    /// The length of the prompt, in tokens.
    pub tokens: u32,
    /// Tokens of the prompt that it is taken to keep.
    pub kept: u32,
}

//! The fields of a completion request that admission and routing need.

use std::borrow::Cow;

use serde::Deserialize;

/// The token limit assumed for a request that sets none.
pub const DEFAULT_MAX_TOKENS: u32 = 256;

/// A chat or text completion request. Other fields are ignored here and reach the
/// engine with the unchanged body.
#[derive(Clone, Debug, Deserialize)]
pub struct Completion<'a> {
    /// The name of the model or adapter.
    #[serde(borrow)]
    pub model: Cow<'a, str>,
    /// Whether to stream the answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The most tokens to generate; `None` if the request sets no limit.
    pub max_tokens: Option<u32>,
}

impl<'a> Completion<'a> {
    /// Decodes the body of a request.
    ///
    /// # Errors
    ///
    /// The body is not JSON, lacks the model, or a field has the wrong type.
    pub fn decode(body: &'a [u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(body)
    }

    /// The most tokens that the request may generate, or [`DEFAULT_MAX_TOKENS`].
    #[must_use]
    pub fn token_limit(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }
}

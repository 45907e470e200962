//! The part of a completion request that decisions look at.

use std::borrow::Cow;

use serde::Deserialize;

/// Tokens assumed for a request that sets no limit.
pub const DEFAULT_MAX_TOKENS: u32 = 256;

/// A chat or text completion request; all other fields pass through unread.
#[derive(Clone, Debug, Deserialize)]
pub struct Completion<'a> {
    /// The model or adapter.
    #[serde(borrow)]
    pub model: Cow<'a, str>,
    /// Whether the answer is to be streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The most tokens to generate.
    pub max_tokens: Option<u32>,
}

impl<'a> Completion<'a> {
    /// Decodes the body of a request.
    ///
    /// # Errors
    ///
    /// The body is not JSON or lacks a required field.
    pub fn decode(body: &'a [u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(body)
    }

    /// The most tokens that the request may generate.
    #[must_use]
    pub fn token_limit(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }
}

//! A request that is passed through to a service as it came.

use std::time::Duration;

use crate::process::endpoint::Target;

/// What routing needs to know of a request; the rest is passed on unread.
#[derive(Clone, Copy, Debug)]
pub struct Passthrough<'a> {
    /// The host that the client named.
    pub host: &'a str,
    /// The path, without the query.
    pub path: &'a str,
    /// How long the client will wait, if it said so.
    pub timeout: Option<Duration>,
    /// The model that the request is for, if it is for one.
    pub target: Option<Target<'a>>,
    /// The parts of the prompt, in order; the last one is the request's own.
    pub prompt: &'a [Part],
}

/// A part of a prompt that requests may have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identifies the text of the part.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

//! A request that is passed through to a service unchanged.

use std::time::Duration;

use super::Fingerprint;
use crate::process::endpoint::Target;

/// The properties of a request that routing uses. The rest is forwarded unread.
#[derive(Clone, Copy, Debug, Default)]
pub struct Passthrough<'a> {
    /// The host that the client addressed.
    pub host: &'a str,
    /// The path, without the query.
    pub path: &'a str,
    /// The id that the client gave the request, if it did.
    pub id: Option<&'a str>,
    /// The stream that the request goes on with, if it takes one up.
    pub resumption: Option<Resumption<'a>>,
    /// The time that the client still waits for the answer, if it sent a deadline.
    pub timeout: Option<Duration>,
    /// The requested model and adapter, if any.
    pub target: Option<Target<'a>>,
    /// The parts of the prompt in order. The last part is unique to the request.
    pub prompt: &'a [Part],
    /// The API key, if the request carries one.
    pub key: Option<&'a str>,
    /// The tokens of the prompt and of the longest answer, if the client names them.
    pub usage: Option<u64>,
    /// Recognises the request when it comes again.
    pub fingerprint: Fingerprint,
}

/// A stream that broke off, with which a request goes on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resumption<'a> {
    /// The id of the request that began it, if the client names it.
    pub request: Option<&'a str>,
}

/// A part of a prompt that several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// An identifier of the text.
    pub id: u64,
    /// The length in tokens.
    pub tokens: u32,
}

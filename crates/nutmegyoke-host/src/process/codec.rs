//! Encodings of the HTTP messages that a gateway exchanges with clients, endpoints and
//! operators. A codec only decodes and encodes; it makes no decisions. The crate
//! `nutmegyoke-platform` implements the one in use.

use std::fmt::Display;
use std::time::Duration;

use http::header::{HeaderMap, HeaderValue};
use http::{Method, StatusCode};
use nutmegyoke_core::process::endpoint::Target;
use nutmegyoke_core::process::registry::Announcement;
use nutmegyoke_core::process::signal::Signal;
use nutmegyoke_core::request::passthrough::{Part, Resumption};
use nutmegyoke_core::version::routing::{Caller, Draft};

/// Decodes and encodes a gateway's messages to and from clients, endpoints and operators.
pub trait Codec: 'static {
    /// Why a message can't be decoded.
    type Fault: Display;

    /// Decodes a routing document.
    ///
    /// # Errors
    ///
    /// The document is malformed or incomplete.
    fn decode_routing(source: &[u8]) -> Result<Draft, Self::Fault>;

    /// Decodes the method and path of a call to the registrar; `None` if there is no such
    /// call.
    fn decode_call<'a>(method: &Method, path: &'a str) -> Option<Call<'a>>;

    /// Decodes the heartbeat of the endpoint `id` into the announcement that it contains.
    ///
    /// # Errors
    ///
    /// The heartbeat is malformed or describes no usable endpoint.
    fn decode_announcement(id: &str, body: &[u8]) -> Result<Announcement, Self::Fault>;

    /// Decodes the headers of a client's request.
    fn decode_heading(headers: &HeaderMap) -> Heading<'_>;

    /// Writes the delivery parameters into the headers of a request to an endpoint.
    fn encode_delivery(headers: &mut HeaderMap, delivery: &Delivery<'_>);

    /// Decodes the status and headers of an endpoint's response.
    fn decode_reply(status: StatusCode, headers: &HeaderMap) -> Reply<'_>;

    /// Encodes how long a client should wait before it retries.
    fn encode_retry_after(retry_after: Duration) -> HeaderValue;
}

/// A call to a gateway's registrar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call<'a> {
    /// An endpoint announces itself; it repeats the call as its heartbeat.
    Announce { id: &'a str },
    /// An endpoint signs off.
    SignOff { id: &'a str },
    /// An operator publishes a routing document.
    Publish,
    /// An operator reads the newest routing document.
    Read,
    /// An operator reads the number of listed endpoints by service.
    List,
}

/// The headers of a client's request that a gateway uses.
#[derive(Clone, Debug, Default)]
pub struct Heading<'a> {
    /// The request's id.
    pub id: Option<&'a str>,
    /// How long the client waits for the answer.
    pub timeout: Option<Duration>,
    /// The model, and the adapter if any, that the request is for.
    pub target: Option<Target<'a>>,
    /// The parts of the prompt, for the choice of an engine that has them cached.
    pub prompt: Vec<Part>,
    /// The API key.
    pub key: Option<&'a str>,
    /// The tokens of the prompt and of the longest answer together.
    pub usage: Option<u64>,
    /// The stream that the request goes on with, if it takes one up.
    pub resumption: Option<Resumption<'a>>,
}

/// Parameters that an endpoint receives along with a request.
#[derive(Clone, Copy, Debug)]
pub struct Delivery<'a> {
    /// The id of the endpoint that the request is for; any other endpoint refuses it.
    pub endpoint: &'a str,
    /// How long the endpoint may work on the request.
    pub timeout: Duration,
    /// The request's priority; 0 is the most urgent.
    pub priority: u8,
    /// Who sent the request. If the routing document lists tenants, the endpoint is told the
    /// tenant in place of its key.
    pub caller: &'a Caller,
}

/// The status and headers of an endpoint's response, decoded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reply<'a> {
    /// The id of the request that the response belongs to, if given.
    pub id: Option<&'a str>,
    /// The outcome of the request.
    pub outcome: Outcome,
    /// How long the endpoint keeps an idle connection open, if given.
    pub keep_alive: Option<Duration>,
    /// What it says of the endpoint.
    pub signal: Signal,
}

/// The outcome of a request at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered the request.
    Answered,
    /// The endpoint ran the request and failed.
    Failed,
    /// The endpoint did not run the request, because it lacks capacity or time.
    Declined,
    /// The response reports success but lacks the header that endpoints set, so it was
    /// not made by an endpoint.
    Unstamped,
    /// The endpoint did not run the request, because it lacks a resource that the request
    /// needs, or because the request is for another endpoint.
    NotHeld,
}

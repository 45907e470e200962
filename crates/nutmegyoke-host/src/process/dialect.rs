//! How requests that are passed through, endpoints' heartbeats and operators'
//! calls are encoded. A dialect only decodes and encodes.

use std::fmt::Display;
use std::time::Duration;

use http::header::{HeaderMap, HeaderValue};
use http::{Method, StatusCode};
use nutmegyoke_core::process::endpoint::Target;
use nutmegyoke_core::process::registry::Announcement;
use nutmegyoke_core::request::passthrough::Part;
use nutmegyoke_core::version::routing::Draft;

/// The encoding that a gateway speaks with clients, endpoints and operators.
pub trait Dialect: 'static {
    /// Why something can't be decoded.
    type Fault: Display;

    /// Decodes a routing document.
    ///
    /// # Errors
    ///
    /// The document can't be read in full.
    fn routing(source: &[u8]) -> Result<Draft, Self::Fault>;

    /// Finds what a call at the registrar's address asks for.
    fn call<'a>(method: &Method, path: &'a str) -> Option<Call<'a>>;

    /// Decodes the heartbeat of the endpoint `id`.
    ///
    /// # Errors
    ///
    /// The heartbeat names no endpoint that could be used.
    fn announcement(id: &str, body: &[u8]) -> Result<Announcement, Self::Fault>;

    /// Decodes what the headers of a client's request say.
    fn heading(headers: &HeaderMap) -> Heading<'_>;

    /// Adds to the headers of a request what an endpoint is told of it.
    fn address(headers: &mut HeaderMap, delivery: &Delivery<'_>);

    /// Decodes what an endpoint's response says of the request.
    fn reply(status: StatusCode, headers: &HeaderMap) -> Reply<'_>;

    /// Encodes when a client may try again.
    fn retry_after(after: Duration) -> HeaderValue;
}

/// A call at the registrar's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call<'a> {
    /// An endpoint's heartbeat.
    Announce { id: &'a str },
    /// An endpoint signs off.
    SignOff { id: &'a str },
    /// An operator publishes a routing document.
    Publish,
    /// Someone reads the newest routing document.
    Read,
}

/// What the headers of a client's request say.
#[derive(Clone, Debug, Default)]
pub struct Heading<'a> {
    /// Identifies the request.
    pub id: Option<&'a str>,
    /// How long the client will wait.
    pub patience: Option<Duration>,
    /// The model that it is for.
    pub target: Option<Target<'a>>,
    /// The parts of its prompt.
    pub prompt: Vec<Part>,
}

/// What an endpoint is told of a request beside the request itself.
#[derive(Clone, Copy, Debug)]
pub struct Delivery<'a> {
    /// The endpoint that it is meant for; any other one refuses it.
    pub endpoint: &'a str,
    /// How long the endpoint may work on it.
    pub patience: Duration,
    /// Its precedence; 0 is the most urgent.
    pub rank: u8,
}

/// What an endpoint's response says of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply<'a> {
    /// The request that it answers, if it says so.
    pub id: Option<&'a str>,
    /// How the request fared.
    pub fate: Fate,
    /// How long the endpoint keeps an idle connection open, if it says so.
    pub keep_alive: Option<Duration>,
}

/// How a request fared at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// The endpoint answers it.
    Answered,
    /// The endpoint ran it and failed.
    Failed,
    /// The endpoint did not run it, because it has no room or no time for it.
    Declined,
    /// It says that it answers it, without the sign of an endpoint: what came is not
    /// an endpoint's answer.
    Unsigned,
    /// The endpoint did not run it, because it lacks what the request needs, or
    /// because it is another endpoint.
    NotHeld,
}

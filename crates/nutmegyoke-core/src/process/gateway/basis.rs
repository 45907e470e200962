//! The inputs of the choice of an endpoint, for the log.

use serde::Serialize;

use crate::process::balance::Estimate;

/// The inputs of a choice, taken when the request is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Basis {
    /// The number of the routing document in force.
    pub routing: u64,
    /// The number of endpoints that the choice was made from.
    pub candidates: usize,
    /// The age of the latest heartbeat of the chosen endpoint, in milliseconds.
    pub heard_ms: u64,
    /// Requests in flight at the endpoint, including this one, over all gateways as far as
    /// known.
    pub in_flight: u32,
    /// Prompt tokens of other requests that the endpoint still had to prefill.
    pub ahead: u64,
    /// The length of the request's prompt, in tokens.
    pub tokens: u32,
    /// Prompt tokens that the endpoint is expected to have in its prefix cache.
    pub kept: u32,
    /// The expected time at the endpoint, if endpoints are chosen by it.
    #[serde(flatten)]
    pub estimate: Option<Estimate>,
}

//! The engines of a service and the demand for its models, as input of one round.

use std::collections::BTreeMap;

use crate::version::Model;
use crate::version::routing::Engine;

/// The engines of a service.
#[derive(Clone, Debug)]
pub struct Fleet<'a> {
    /// The properties that all engines of the service share.
    pub engine: &'a Engine,
    /// The engines that accept requests.
    pub instances: Vec<Instance<'a>>,
    /// The demand for each model, in prompt tokens per second.
    pub demand: BTreeMap<Model, f64>,
}

/// An engine that accepts requests.
#[derive(Clone, Debug)]
pub struct Instance<'a> {
    /// The endpoint's id.
    pub id: &'a str,
    /// The models that it holds.
    pub models: &'a [Model],
    /// The models of which it has a warm copy, outside of accelerator memory.
    pub warm_copies: &'a [Model],
    /// The number of requests in flight.
    pub in_flight: u32,
}

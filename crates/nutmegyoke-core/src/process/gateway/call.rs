//! A request that a gateway is passing through.

use std::rc::Rc;
use std::time::Instant;

use super::prompt::Prompt;
use crate::process::endpoint::Target;
use crate::request::{Passthrough, Reason};
use crate::version::routing::Route;
use crate::version::{Model, Service};

/// A request in flight.
#[derive(Debug)]
pub struct Call {
    pub route: Rc<Route>,
    pub service: Service,
    pub model: Option<Model>,
    pub adapter: Option<String>,
    pub prompt: Prompt,
    /// A random number that spreads requests which nothing else tells apart.
    pub point: u64,
    /// When it arrived.
    pub arrived: Instant,
    /// When the client or the route gives up.
    pub deadline: Instant,
    /// Whether it had to wait for an endpoint.
    pub put_off: bool,
    /// How many endpoints the latest choice was made from.
    pub candidates: usize,
    /// The endpoints tried, by id.
    pub tried: Vec<String>,
    /// The engines whose stewards had no place for the adapter, by id.
    pub declined: Vec<String>,
    /// Attempts that may have run, with the reason of the latest.
    pub runs: u32,
    pub suspect: Option<Reason>,
    pub stage: Stage,
    /// When the attempt under way has waited long enough for an answer; for those
    /// that may be repeated.
    pub late: Option<Instant>,
}

/// How far a request has got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No attempt is under way.
    Idle,
    /// The steward of the endpoint is loading what the request needs.
    Preparing { endpoint: String },
    /// The endpoint has been sent the request.
    Running { endpoint: String, ahead: u64 },
    /// The endpoint's answer is passed on.
    Begun { endpoint: String },
}

impl Call {
    pub fn open(
        arrived: Instant,
        route: &Rc<Route>,
        service: &Service,
        point: u64,
        passage: &Passthrough<'_>,
    ) -> Self {
        let (model, adapter) = match passage.target {
            Some(Target::Model { model, adapter }) => (Some(model), adapter),
            _ => (None, None),
        };
        let patience = passage.timeout.unwrap_or(route.timeout);
        Self {
            route: Rc::clone(route),
            service: service.clone(),
            model: model.map(Model::from),
            adapter: adapter.map(str::to_owned),
            prompt: Prompt::open(passage.target, passage.prompt),
            point,
            arrived,
            deadline: arrived + patience.min(route.timeout),
            put_off: false,
            candidates: 0,
            tried: Vec::new(),
            declined: Vec::new(),
            runs: 0,
            suspect: None,
            stage: Stage::Idle,
            late: None,
        }
    }

    /// The endpoint that the request is at.
    pub fn endpoint(&self) -> Option<&str> {
        match &self.stage {
            Stage::Idle => None,
            Stage::Preparing { endpoint }
            | Stage::Running { endpoint, .. }
            | Stage::Begun { endpoint } => Some(endpoint),
        }
    }
}

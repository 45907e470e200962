//! A request in flight at a gateway.

use std::rc::Rc;
use std::time::Instant;

use super::prompt::Prompt;
use crate::process::endpoint::Target;
use crate::request::{Passthrough, Reason};
use crate::version::routing::Route;
use crate::version::{Model, Service};

/// A request from its arrival to its end.
#[derive(Debug)]
pub struct Call {
    /// The route that the request takes.
    pub route: Rc<Route>,
    /// The service that the route chose for it.
    pub service: Service,
    /// The model that it is for, if it is for one.
    pub model: Option<Model>,
    /// The adapter of the model, if it asks for one.
    pub adapter: Option<String>,
    /// The prefixes of its prompt.
    pub prompt: Prompt,
    /// A uniform random number. It chooses the service by weight, and spreads requests
    /// without a model over the endpoints.
    pub random_point: u64,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the timeout of the client or of the route ends, whichever is first.
    pub deadline: Instant,
    /// Whether the request has been queued for an endpoint.
    pub queued: bool,
    /// How many endpoints the latest choice was made from.
    pub candidates: usize,
    /// The ids of the endpoints of earlier attempts.
    pub tried: Vec<String>,
    /// The ids of the engines whose stewards declined to load the adapter.
    pub declined: Vec<String>,
    /// The number of ended attempts that may have run.
    pub possible_runs: u32,
    /// Why the latest of them failed.
    pub uncertain: Option<Reason>,
    /// What the request waits for.
    pub stage: Stage,
    /// When a repeatable request counts as slow, while an endpoint has it and has not begun
    /// to answer.
    pub slow_at: Option<Instant>,
}

/// What a request waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// An endpoint; no attempt is under way.
    Idle,
    /// The steward of the chosen engine, which loads the adapter.
    Preparing { endpoint: String },
    /// The beginning of the answer; `uncached` prompt tokens have to be prefilled first.
    Running { endpoint: String, uncached: u64 },
    /// The end of the answer, which is being passed on.
    Answering { endpoint: String },
}

impl Call {
    pub fn open(
        arrived: Instant,
        route: &Rc<Route>,
        service: &Service,
        random_point: u64,
        request: &Passthrough<'_>,
    ) -> Self {
        let (model, adapter) = match request.target {
            Some(Target::Model { model, adapter }) => (Some(model), adapter),
            _ => (None, None),
        };
        let timeout = request.timeout.unwrap_or(route.timeout);
        Self {
            route: Rc::clone(route),
            service: service.clone(),
            model: model.map(Model::from),
            adapter: adapter.map(str::to_owned),
            prompt: Prompt::open(request.target, request.prompt),
            random_point,
            arrived,
            deadline: arrived + timeout.min(route.timeout),
            queued: false,
            candidates: 0,
            tried: Vec::new(),
            declined: Vec::new(),
            possible_runs: 0,
            uncertain: None,
            stage: Stage::Idle,
            slow_at: None,
        }
    }

    /// The id of the endpoint that has the request, or is prepared for it.
    pub fn endpoint(&self) -> Option<&str> {
        match &self.stage {
            Stage::Idle => None,
            Stage::Preparing { endpoint }
            | Stage::Running { endpoint, .. }
            | Stage::Answering { endpoint } => Some(endpoint),
        }
    }
}

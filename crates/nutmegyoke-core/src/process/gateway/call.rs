//! A request in flight at a gateway, and what it waits for.

use std::rc::Rc;
use std::time::Instant;

use super::admission::Decline;
use super::allotment::Charge;
use super::prompt::Prompt;
use super::resumption::Continuation;
use crate::process::balance::Estimate;
use crate::process::endpoint::Target;
use crate::process::origin::Stream;
use crate::process::quarantine::Feature;
use crate::request::{Fingerprint, Passthrough, Reason};
use crate::version::routing::{Caller, Route};
use crate::version::{Model, Service};

/// The last priority of endpoints.
const LOWEST_PRIORITY: u8 = 9;

/// The requests in flight for a service, and the tokens of their prompts and longest answers. They are
/// kept up to date because the decisions on admission need them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Held {
    requests: u64,
    tokens: u64,
}

impl Held {
    /// Adds a request with this many tokens.
    pub fn add(&mut self, tokens: u64) {
        self.requests += 1;
        self.tokens = self.tokens.saturating_add(tokens);
    }

    /// Removes a request with this many tokens.
    pub fn remove(&mut self, tokens: u64) {
        self.requests = self.requests.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(tokens);
    }

    /// The mean tokens of a request; `None` if there are no requests.
    pub fn mean(&self) -> Option<u64> {
        self.tokens.checked_div(self.requests)
    }
}

/// A request that has a route, until it ends.
#[derive(Debug)]
pub struct Call {
    /// The route that the request takes.
    pub route: Rc<Route>,
    /// The service that the route chose for it.
    pub service: Service,
    /// Who sent it.
    pub caller: Caller,
    /// What it takes from the allotment of its tenant; `None` if that has no limit.
    pub charge: Option<Charge>,
    /// The model that it is for, if it is for one.
    pub model: Option<Model>,
    /// The adapter of the model, if it asks for one.
    pub adapter: Option<String>,
    /// The prefixes of its prompt.
    pub prompt: Prompt,
    /// The tokens of its prompt and of the longest answer.
    pub tokens: u64,
    /// The stream that its answer begins or goes on with; `None` if it has no id.
    pub stream: Option<Stream>,
    /// Whether it goes on with a stream, and at which build.
    pub continuation: Continuation,
    /// The start of the endpoint that it was last sent to, in milliseconds since the Unix epoch.
    pub sent_to: Option<u64>,
    /// Recognises it when it comes again.
    pub fingerprint: Fingerprint,
    /// What it may have in common with requests that crash endpoints.
    pub features: Vec<Feature>,
    /// A uniform random number, which chooses the service by weight. Without a model it is
    /// also the affinity key, which spreads requests over the endpoints.
    pub random_point: u64,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the timeout of the client or of the route ends, whichever is first.
    pub deadline: Instant,
    /// Whether the request has been queued for an endpoint.
    pub queued: bool,
    /// How many endpoints the latest choice was made from.
    pub candidates: usize,
    /// The expected time at the chosen endpoint, if endpoints are chosen by it.
    pub estimate: Option<Estimate>,
    /// The ids of the endpoints of ended attempts.
    pub tried: Vec<String>,
    /// The ids of the engines whose stewards did not load the adapter, since the request was
    /// last queued.
    pub declined: Vec<String>,
    /// The engines that have no room for it, since it last waited for room.
    pub declines: Vec<Decline>,
    /// The engine at which it waits for room.
    pub waits_at: Option<String>,
    /// The number of failed attempts that may have run.
    pub possible_runs: u32,
    /// The reason of the latest of them; `None` if there was none.
    pub uncertain: Option<Reason>,
    /// Whether an attempt that may run it is under way, or one may have run it.
    pub may_have_run: bool,
    /// What the request waits for.
    pub stage: Stage,
    /// When a repeatable request counts as slow; `None` unless it waits for the beginning of
    /// its answer.
    pub slow_at: Option<Instant>,
}

/// What a request waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// An endpoint; no attempt is under way.
    Idle,
    /// The build that began the stream which it takes up.
    Recalling,
    /// Units of its tenant's allotment, which the owner was asked for. The endpoint is chosen
    /// already if the request waited after it was charged first.
    Charging { endpoint: Option<String> },
    /// The steward of the chosen engine, which is asked whether there is room.
    Asking { endpoint: String },
    /// Room at an engine, which is expected then.
    Deferred { until: Instant },
    /// The steward of the chosen engine, which loads the adapter.
    Preparing { endpoint: String },
    /// A permit for the chosen endpoint, or its turn there if `until` is set.
    Throttled {
        endpoint: String,
        until: Option<Instant>,
    },
    /// The beginning of the answer; `uncached` prompt tokens have to be prefilled first.
    Running { endpoint: String, uncached: u64 },
    /// The end of the answer, which is being passed on `since` it began.
    Answering { endpoint: String, since: Instant },
}

impl Call {
    pub fn open(
        arrived: Instant,
        route: &Rc<Route>,
        service: &Service,
        caller: Caller,
        random_point: u64,
        request: &Passthrough<'_>,
    ) -> Self {
        let (model, adapter) = match request.target {
            Some(Target::Model { model, adapter }) => (Some(model), adapter),
            _ => (None, None),
        };
        let timeout = request.timeout.unwrap_or(route.timeout);
        let prompt = Prompt::open(request.target, request.prompt);
        // A client may name any number; no engine has room for more than this.
        let tokens = request.usage.unwrap_or(u64::from(prompt.tokens));
        let tokens = tokens.min(u64::from(u32::MAX));
        let parts = prompt.shared_parts().iter();
        let mut features: Vec<Feature> = parts.map(|&part| Feature::Part(part)).collect();
        features.push(Feature::Request(request.fingerprint));
        let charge = Charge::open(&caller, request.usage);
        let resumption = request.resumption.filter(|_| route.resumes());
        let began = resumption.map_or(request.id, |resumption| resumption.request);
        Self {
            route: Rc::clone(route),
            service: service.clone(),
            caller,
            charge,
            model: model.map(Model::from),
            adapter: adapter.map(str::to_owned),
            prompt,
            tokens,
            stream: began.map(Stream::of),
            continuation: if resumption.is_some() {
                Continuation::Unresolved
            } else {
                Continuation::None
            },
            sent_to: None,
            fingerprint: request.fingerprint,
            features,
            random_point,
            arrived,
            deadline: arrived + timeout.min(route.timeout),
            queued: false,
            candidates: 0,
            estimate: None,
            tried: Vec::new(),
            declined: Vec::new(),
            declines: Vec::new(),
            waits_at: None,
            possible_runs: 0,
            uncertain: None,
            may_have_run: false,
            stage: Stage::Idle,
            slow_at: None,
        }
    }

    /// The priority at the endpoint; 0 is the most urgent. A document may name one that endpoints do
    /// not have, which counts as the last.
    pub fn priority(&self) -> u8 {
        let tenant = self.caller.tenant();
        let priority = tenant.and_then(|tenant| tenant.priority);
        priority.unwrap_or(self.route.priority).min(LOWEST_PRIORITY)
    }

    /// The id of the endpoint that has been sent the request, or will be, or whose steward is
    /// asked for room or loads its adapter.
    pub fn endpoint(&self) -> Option<&str> {
        match &self.stage {
            Stage::Idle | Stage::Recalling | Stage::Deferred { .. } => None,
            Stage::Charging { endpoint } => endpoint.as_deref(),
            Stage::Asking { endpoint }
            | Stage::Preparing { endpoint }
            | Stage::Throttled { endpoint, .. }
            | Stage::Running { endpoint, .. }
            | Stage::Answering { endpoint, .. } => Some(endpoint),
        }
    }
}

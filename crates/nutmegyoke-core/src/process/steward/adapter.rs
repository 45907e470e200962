//! Loading and eviction of adapters on the engine.

use std::time::{Duration, Instant};

use super::{Action, Command, Order, Sink, Steward, View};

/// How long an adapter must be unused before it may be evicted. Longer than most
/// answers take, because the engine keeps an adapter in use until they end.
const MIN_IDLE: Duration = Duration::from_secs(1);

/// A gateway's request for an adapter.
#[derive(Debug)]
pub struct Request {
    pub call: u64,
    /// The id of the engine as known to the gateway.
    pub endpoint: String,
    pub model: String,
    pub adapter: String,
    /// Maximum number of adapters on the engine.
    pub adapter_capacity: usize,
}

impl Request {
    /// The adapter, as MODEL/NAME.
    pub fn name(&self) -> String {
        format!("{}/{}", self.model, self.adapter)
    }
}

impl Steward {
    /// Answers the requests whose adapter is loaded, and those whose adapter cannot be loaded
    /// soon.
    pub(super) fn answer<S>(&mut self, now: Instant, view: &View, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let requests = std::mem::take(&mut self.requests);
        for request in requests {
            let impossible = !view.models.contains(&request.model) || request.adapter_capacity == 0;
            let incoming = view.incoming.contains(&request.name());
            let done = view.adapters.contains(&request.name())
                || impossible
                || (!incoming && (view.busy || !self.can_make_room(now, view, &request)));
            if done {
                let adapters = view.adapters.clone();
                let call = request.call;
                out.push(Command::AnswerRequest { call, adapters });
            } else {
                self.requests.push_back(request);
            }
        }
    }

    /// Whether a slot for the adapter is free, is being freed or can be freed.
    fn can_make_room(&self, now: Instant, view: &View, request: &Request) -> bool {
        let occupied = view.adapters.len() + view.incoming.len();
        occupied < request.adapter_capacity
            || !self.unloading.is_empty()
            || self.eviction_victim(now, view).is_some()
    }

    /// The adapter to evict next: the least recently used one that has been unused for
    /// [`MIN_IDLE`].
    fn eviction_victim<'a>(&self, now: Instant, view: &'a View) -> Option<&'a String> {
        let used = |name: &String| self.used.get(name).copied();
        let idle = view.adapters.iter().filter(|name| {
            let unused = used(name).is_none_or(|at| at + MIN_IDLE <= now);
            unused && !self.unloading.contains(*name)
        });
        idle.min_by_key(|name| used(name))
    }

    /// The next order towards loading the requested adapter, if one is possible now.
    pub(super) fn next_order(&self, now: Instant, view: &View, request: &Request) -> Option<Order> {
        let occupied = view.adapters.len() + view.incoming.len();
        if occupied < request.adapter_capacity {
            return Some(Order {
                endpoint: request.endpoint.clone(),
                action: Action::Load,
                model: request.model.clone(),
                adapter: Some(request.adapter.clone()),
            });
        }
        if !self.unloading.is_empty() {
            return None;
        }
        let (model, adapter) = self.eviction_victim(now, view)?.split_once('/')?;
        Some(Order {
            endpoint: request.endpoint.clone(),
            action: Action::Unload,
            model: model.to_owned(),
            adapter: Some(adapter.to_owned()),
        })
    }
}

//! Which adapters the engine holds.

use std::time::{Duration, Instant};

use super::{Action, Command, Order, Sink, Steward, View};

/// How long an adapter must not have been used to make way: longer than most
/// answers take, since an adapter in use stays until they end.
const IDLE: Duration = Duration::from_secs(1);

/// A gateway that waits for an adapter.
#[derive(Debug)]
pub struct Ask {
    pub call: u64,
    pub endpoint: String,
    pub model: String,
    pub adapter: String,
    pub slots: usize,
}

impl Ask {
    /// The adapter as MODEL/NAME.
    pub fn name(&self) -> String {
        format!("{}/{}", self.model, self.adapter)
    }
}

impl Steward {
    /// Answers those whose adapter is there, and those that can't get it soon.
    pub(super) fn answer<S>(&mut self, now: Instant, view: &View, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let asks = std::mem::take(&mut self.asks);
        for ask in asks {
            let hopeless = !view.models.contains(&ask.model) || ask.slots == 0;
            let coming = view.incoming.contains(&ask.name());
            let done = view.adapters.contains(&ask.name())
                || hopeless
                || (!coming && (view.busy || !self.has_place(now, view, &ask)));
            if done {
                let adapters = view.adapters.clone();
                let call = ask.call;
                out.push(Command::Answer { call, adapters });
            } else {
                self.asks.push_back(ask);
            }
        }
    }

    /// Whether a place for the adapter is free, is about to be, or can be made free.
    fn has_place(&self, now: Instant, view: &View, ask: &Ask) -> bool {
        let taken = view.adapters.len() + view.incoming.len();
        taken < ask.slots || !self.leaving.is_empty() || self.victim(now, view).is_some()
    }

    /// The adapter that makes way next: the least recently used one.
    fn victim<'a>(&self, now: Instant, view: &'a View) -> Option<&'a String> {
        let used = |name: &String| self.used.get(name).copied();
        let idle = view.adapters.iter().filter(|name| {
            let rests = used(name).is_none_or(|at| at + IDLE <= now);
            rests && !self.leaving.contains(*name)
        });
        idle.min_by_key(|name| used(name))
    }

    /// The order that brings `ask` a step further, if one can.
    pub(super) fn order(&self, now: Instant, view: &View, ask: &Ask) -> Option<Order> {
        let taken = view.adapters.len() + view.incoming.len();
        if taken < ask.slots {
            return Some(Order {
                endpoint: ask.endpoint.clone(),
                action: Action::Load,
                model: ask.model.clone(),
                adapter: Some(ask.adapter.clone()),
            });
        }
        if !self.leaving.is_empty() {
            return None;
        }
        let (model, adapter) = self.victim(now, view)?.split_once('/')?;
        Some(Order {
            endpoint: ask.endpoint.clone(),
            action: Action::Unload,
            model: model.to_owned(),
            adapter: Some(adapter.to_owned()),
        })
    }
}

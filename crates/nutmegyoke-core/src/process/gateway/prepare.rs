//! Handles the steward's answer, after it was asked to load an adapter on the chosen engine.
//!
//! The request is sent there if the engine holds the adapter now, and to another engine if
//! not.

use std::rc::Rc;
use std::time::Instant;

use super::call::Stage;
use super::{Command, Gateway, Sink};

impl Gateway {
    /// Records the adapters in the steward's answer; `None` if it did not answer. Then sends
    /// the request, or chooses another engine.
    pub(super) fn prepared<S>(
        &mut self,
        now: Instant,
        number: u64,
        adapters: Option<&[String]>,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let Stage::Preparing { endpoint } = call.stage.clone() else {
            return;
        };
        let (Some(model), Some(adapter)) = (call.model.clone(), call.adapter.clone()) else {
            return;
        };
        let tracker = self.trackers.entry(endpoint.clone()).or_default();
        if let Some(adapters) = adapters {
            tracker.update_from_steward(now, adapters);
        }
        let held = tracker.holds_adapter(model.as_str(), &adapter);
        let known = self
            .registry
            .row(&endpoint)
            .filter(|row| self.takes_requests(now, row));
        let known = known.map(|row| Rc::clone(&row.announcement));
        match known.filter(|_| held) {
            Some(endpoint) => self.send(now, number, endpoint, out),
            None => self.reroute_declined(now, number, out),
        }
    }

    /// Tries another engine, because the steward did not load the adapter or the engine left.
    /// The request was not sent to an endpoint, so this does not count as a retry.
    fn reroute_declined<S>(&mut self, now: Instant, number: u64, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let Stage::Preparing { endpoint } = std::mem::replace(&mut call.stage, Stage::Idle) else {
            return;
        };
        if let Some(tracker) = self.trackers.get_mut(&endpoint) {
            tracker.release(call.tokens);
            tracker.record_declined(now);
        }
        call.declined.push(endpoint);
        self.attempt(now, number, out);
    }
}

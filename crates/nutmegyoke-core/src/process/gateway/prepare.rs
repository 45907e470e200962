//! Adapters that the steward of a chosen engine has to load first.

use std::rc::Rc;
use std::time::Instant;

use super::call::Stage;
use super::{Command, Gateway, Sink};

impl Gateway {
    /// Takes in how the steward of the chosen engine answered.
    pub(super) fn prepare<S>(
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
        let seat = self.seats.entry(endpoint.clone()).or_default();
        if let Some(adapters) = adapters {
            seat.prepared(now, adapters);
        }
        let held = seat.holds(model.as_str(), &adapter);
        let known = self
            .registry
            .row(&endpoint)
            .filter(|row| row.accepts_requests());
        let known = known.map(|row| Rc::clone(&row.announcement));
        match known.filter(|_| held) {
            Some(endpoint) => self.dispatch(now, number, endpoint, out),
            None => self.decline(now, number, out),
        }
    }

    /// Sends the request elsewhere, because the steward of the chosen engine has no
    /// place for its adapter. No endpoint has been sent it, so this is no repeat.
    fn decline<S>(&mut self, now: Instant, number: u64, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let Stage::Preparing { endpoint } = std::mem::replace(&mut call.stage, Stage::Idle) else {
            return;
        };
        if let Some(seat) = self.seats.get_mut(&endpoint) {
            seat.release();
            seat.decline(now);
        }
        call.declined.push(endpoint);
        self.attempt(now, number, out);
    }
}

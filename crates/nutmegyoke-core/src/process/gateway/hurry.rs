//! Requests that wait for long, and signs of life of their endpoints.

use std::time::Instant;

use super::attempts::TRIES;
use super::{Command, Gateway, Sink};
use crate::request::{Reason, Verdict};

impl Gateway {
    /// Notes that the endpoint of a request lives.
    pub(super) fn progress(&mut self, now: Instant, number: u64) {
        let endpoint = self.calls.get(&number).and_then(|call| call.endpoint());
        if let Some(seat) = endpoint.and_then(|id| self.seats.get_mut(id)) {
            seat.live(now);
        }
    }

    /// Sends those requests elsewhere that may be repeated and wait for long.
    pub(super) fn hurry<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        while let Some(&(at, number)) = self.late.first() {
            if at > now {
                return;
            }
            self.late.pop_first();
            if self.may_hurry(now, number) {
                let verdict = Verdict::may_have_run(Reason::ExpectationMissed);
                self.settle(now, number, verdict, out);
            }
        }
    }

    /// Ends the wait for the answer of an attempt.
    pub(super) fn calm(&mut self, number: u64) {
        let call = self.calls.get_mut(&number);
        if let Some(at) = call.and_then(|call| call.late.take()) {
            self.late.remove(&(at, number));
        }
    }

    /// Whether a request that is at an endpoint can and may go to another one.
    fn may_hurry(&mut self, now: Instant, number: u64) -> bool {
        let Some(call) = self.calls.get(&number) else {
            return false;
        };
        let gateways = self.spread.len() + 1;
        let budget = self.budgets.get_mut(&call.service);
        budget.is_some_and(|budget| budget.allows(now, &self.setup.bound, gateways))
            && call.runs + 1 < call.route.max_attempts
            && call.tried.len() + 1 < TRIES
            && self.has_other(now, call)
    }
}

//! Requests that wait for long, and signs of life of their endpoints.

use std::time::Instant;

use super::attempts::TRIES;
use super::call::Stage;
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
            let Some(call) = self.calls.get(&number) else {
                continue;
            };
            let gateways = self.spread.len() + 1;
            let budget = self.budgets.get_mut(&call.service);
            let affordable =
                budget.is_some_and(|budget| budget.allows(now, &self.setup.bound, gateways));
            let allowed =
                affordable && call.runs + 1 < call.route.attempts && call.tried.len() + 1 < TRIES;
            if call.late != Some(at)
                || !allowed
                || !matches!(call.stage, Stage::Running { .. })
                || !self.has_other(now, call)
            {
                continue;
            }
            self.settle(
                now,
                number,
                Verdict::may_have_run(Reason::ExpectationMissed),
                out,
            );
        }
    }
}

//! Retries slow requests at another endpoint, and records the progress of answers.
//!
//! A slow request that may not be retried stays at its endpoint until its deadline.

use std::time::Instant;

use super::attempts::MAX_ENDPOINTS_PER_REQUEST;
use super::{Command, Gateway, Sink};
use crate::request::{Reason, Verdict};

impl Gateway {
    /// Records that the endpoint of a request sent another part of its answer.
    pub(super) fn record_progress(&mut self, now: Instant, number: u64) {
        let endpoint = self.calls.get(&number).and_then(|call| call.endpoint());
        if let Some(tracker) = endpoint.and_then(|id| self.trackers.get_mut(id)) {
            tracker.record_activity(now);
        }
        self.learn_first_event(now, number);
    }

    /// Retries slow requests elsewhere, where that is allowed.
    pub(super) fn retry_slow<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        while let Some(&(at, number)) = self.slow_at.first() {
            if at > now {
                return;
            }
            self.slow_at.pop_first();
            if self.may_retry_slow(now, number) {
                let verdict = Verdict::may_have_run(Reason::ExpectationMissed);
                self.end_attempt(now, number, verdict, out);
            }
        }
    }

    /// Stops the slow-request timer, because the answer has begun or the attempt ends.
    pub(super) fn stop_slow_timer(&mut self, number: u64) {
        let call = self.calls.get_mut(&number);
        if let Some(at) = call.and_then(|call| call.slow_at.take()) {
            self.slow_at.remove(&(at, number));
        }
    }

    /// Whether the retry budget and the limits allow another attempt, and another endpoint is
    /// healthy.
    fn may_retry_slow(&mut self, now: Instant, number: u64) -> bool {
        let Some(call) = self.calls.get(&number) else {
            return false;
        };
        let gateways = self.gossip.len() + 1;
        let budget = self.budgets.get_mut(&call.service);
        budget.is_some_and(|budget| budget.allows(now, &self.setup.retry_bound, gateways))
            && call.possible_runs + 1 < call.route.max_attempts
            && call.tried.len() + 1 < MAX_ENDPOINTS_PER_REQUEST
            && self.has_alternative(now, call)
    }
}

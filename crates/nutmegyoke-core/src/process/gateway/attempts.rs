//! Routes arriving requests, makes their attempts, and retries those that failed.
//!
//! A [`Call`] in [`Gateway`] holds the state of a request until the request ends.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::call::{Call, Stage};
use super::pick::Choice;
use super::refusal::refuse;
use super::{Command, Gateway, Halt, Sink};
use crate::process::registry::Announcement;
use crate::request::{Passthrough, Reason, Verdict};
use crate::version::routing::Semantics;

/// The most endpoints that one request is sent to, including those that refuse it.
pub(super) const MAX_ENDPOINTS_PER_REQUEST: usize = 3;

/// The shortest time after which a repeatable request that was sent counts as slow. Plain
/// services answer several times faster, so few requests are retried for this.
const MIN_SLOW_THRESHOLD: Duration = Duration::from_millis(400);

/// A failed request is retried only if more time than this is left until its deadline; no
/// endpoint can answer in less.
const MIN_RETRY_TIME: Duration = Duration::from_millis(5);

impl Gateway {
    /// Routes a request that arrived at `arrived`, charges its tenant and makes its first attempt. Without a
    /// routing document, with one that is outdated, or if one that may be old lacks its route or
    /// key, the request is queued.
    pub(super) fn accept<S>(
        &mut self,
        now: Instant,
        arrived: Instant,
        number: u64,
        request: &Passthrough<'_>,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        let Some(routing) = &self.routing else {
            self.queue.push_unrouted(arrived, number, request);
            return;
        };
        if self.is_document_outdated(now) {
            self.queue.push_unrouted(arrived, number, request);
            return;
        }
        let Some(route) = routing.route(request.host, request.path) else {
            if !self.is_document_confirmed(arrived) {
                self.queue.push_unrouted(arrived, number, request);
                return;
            }
            let verdict = Verdict::not_run(Reason::UnknownPath);
            return refuse(number, verdict, Halt::Untried, out);
        };
        let Some(caller) = routing.caller(route, request.key) else {
            if !self.is_document_confirmed(arrived) {
                self.queue.push_unrouted(arrived, number, request);
                return;
            }
            let verdict = Verdict::not_run(Reason::BadKey);
            return refuse(number, verdict, Halt::Untried, out);
        };
        let random_point = self.rng.u64(..);
        let Some(service) = route.choose_service(random_point) else {
            let verdict = Verdict::not_run(Reason::UnknownService);
            return refuse(number, verdict, Halt::Untried, out);
        };
        let call = Call::open(arrived, route, service, caller, random_point, request);
        let stop = self.stop.as_ref();
        if stop.is_some_and(|stop| stop.refuses(arrived, call.deadline)) {
            let verdict = Verdict::not_run(Reason::Draining);
            return refuse(number, verdict, Halt::Untried, out);
        }
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.count_request(now, &self.setup.retry_bound);
        self.deadlines.insert((call.deadline, number));
        let held = self.held.entry(service.clone()).or_default();
        held.add(call.tokens);
        self.calls.insert(number, call);
        self.charge(now, number, out);
    }

    /// Sends the request to the best endpoint. If that is a busy engine, its steward is asked
    /// for room first. Without an endpoint the request is queued or refused.
    pub(super) fn attempt<S>(&mut self, now: Instant, number: u64, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        if self.withhold(now, number, out) || self.resolve_origin(now, number, out) {
            return;
        }
        self.summarize_service(now, number);
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        let Some(Choice {
            endpoint,
            candidates,
            estimate,
        }) = self.pick(now, call)
        else {
            if !self.settle_declined(now, number, out) {
                self.enqueue(now, number, out);
            }
            return;
        };
        if let Some(call) = self.calls.get_mut(&number) {
            call.candidates = candidates;
            call.estimate = estimate;
        }
        if !self.ask_admission(now, number, &endpoint, out) {
            self.proceed(now, number, endpoint, out);
        }
    }

    /// Sends the request to `endpoint`, where there is room for it. If its adapter is not
    /// loaded there, the steward is asked to load it first.
    pub(super) fn proceed<S>(
        &mut self,
        now: Instant,
        number: u64,
        endpoint: Rc<Announcement>,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let id = endpoint.id.clone();
        let pool = self.routing.as_ref();
        let pool = pool.and_then(|routing| routing.pool(call.service.as_str()));
        let engine = pool.and_then(|pool| pool.engine.as_ref());
        let adapter_capacity = engine.map_or(0, |engine| engine.adapter_capacity(&endpoint.models));
        let tracker = self.trackers.entry(id.clone()).or_default();
        tracker.reset_if_restarted(endpoint.stamp.started_ms);
        if let (Some(model), Some(adapter)) = (&call.model, &call.adapter) {
            let (model, adapter) = (model.as_str().to_owned(), adapter.clone());
            if !tracker.holds_adapter(&model, &adapter) {
                tracker.hold(call.tokens);
                call.stage = Stage::Preparing { endpoint: id };
                out.push(Command::Prepare {
                    call: number,
                    endpoint,
                    model,
                    adapter,
                    adapter_capacity,
                });
                return;
            }
            if tracker.touch_adapter(now, &model, &adapter) {
                out.push(Command::Touch {
                    endpoint: Rc::clone(&endpoint),
                    model,
                    adapter,
                    adapter_capacity,
                });
            }
        }
        tracker.hold(call.tokens);
        self.send(now, number, endpoint, out);
    }

    /// Sends the request to `endpoint`, and starts its slow-request timer if it is
    /// repeatable. If its charge no longer counts, it is charged again first.
    pub(super) fn dispatch<S>(
        &mut self,
        now: Instant,
        number: u64,
        endpoint: Rc<Announcement>,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        if !self.renew_charge(now, number, &endpoint, out) {
            return;
        }
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        let basis = self.basis(now, call, &endpoint.id);
        self.learn_sent(now, number, &endpoint.id, basis);
        let (Some(call), Some(tracker)) = (
            self.calls.get_mut(&number),
            self.trackers.get_mut(&endpoint.id),
        ) else {
            return;
        };
        let uncached = u64::from(basis.tokens - basis.kept);
        tracker.cache.record(now, &call.prompt);
        tracker.ahead += uncached;
        // The tokens of a queued request were counted when it was queued.
        if let Some(model) = call.model.as_ref().filter(|_| !call.queued) {
            self.demand.count_tokens(now, model, uncached);
        }
        tracker.record_sent(now);
        call.may_have_run = true;
        call.sent_to = Some(endpoint.stamp.started_ms);
        call.stage = Stage::Running {
            endpoint: endpoint.id.clone(),
            uncached,
        };
        if call.route.semantics == Semantics::Repeatable {
            let slow_at = now + (call.route.objective * 2).max(MIN_SLOW_THRESHOLD);
            call.slow_at = Some(slow_at);
            self.slow_at.insert((slow_at, number));
        }
        out.push(Command::Dispatch {
            call: number,
            endpoint,
            timeout: call.deadline.saturating_duration_since(now),
            priority: call.priority(),
            caller: call.caller.clone(),
            streams: call.route.streams(),
            objective: call.route.objective,
            basis,
        });
    }

    /// Records that the endpoint began to answer, so the prompt is prefilled.
    pub(super) fn begin_answer<S>(&mut self, now: Instant, number: u64, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        self.stop_slow_timer(number);
        let by_rate = self.setup.options.balance;
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let Stage::Running { endpoint, uncached } = call.stage.clone() else {
            return;
        };
        if let Some(tracker) = self.trackers.get_mut(&endpoint) {
            tracker.ahead = tracker.ahead.saturating_sub(uncached);
            tracker.record_outcome(now, Verdict::Ran, by_rate);
        }
        call.stage = Stage::Answering {
            endpoint,
            since: now,
        };
        self.note_origin(now, number, out);
    }

    /// Records how an attempt ended, and retries the request elsewhere if its route, its
    /// deadline, the limit of endpoints and the retry budget allow it.
    pub(super) fn end_attempt<S>(
        &mut self,
        now: Instant,
        number: u64,
        verdict: Verdict,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        let answering = matches!(
            self.calls.get(&number).map(|call| &call.stage),
            Some(Stage::Answering { .. })
        );
        let suspect = self.is_suspect(number, verdict);
        self.note_break(now, number, verdict, out);
        self.leave_endpoint(now, number, Some(verdict));
        if verdict == Verdict::Ran {
            self.clear_request(now, number);
        }
        if answering || verdict == Verdict::Ran {
            self.remove_call(number);
            return;
        }
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        if let Verdict::MayHaveRun { reason } = verdict {
            call.possible_runs += 1;
            call.uncertain = Some(reason);
        }
        call.may_have_run = call.uncertain.is_some();
        let may_have_run = matches!(verdict, Verdict::MayHaveRun { .. });
        // `max_attempts` limits only the attempts that may have run.
        let halt = if may_have_run && !call.route.repeatable() {
            Some(Halt::OnceOnly)
        } else if suspect {
            Some(Halt::Suspect)
        } else if call.tried.len() >= MAX_ENDPOINTS_PER_REQUEST
            || (may_have_run && call.possible_runs >= call.route.max_attempts)
        {
            Some(Halt::TriesUsed)
        } else if now + MIN_RETRY_TIME >= call.deadline {
            Some(Halt::OutOfTime)
        } else {
            None
        };
        let final_verdict = call.uncertain.map_or(verdict, Verdict::may_have_run);
        if let Some(halt) = halt {
            return self.give_up(number, final_verdict, halt, out);
        }
        let gateways = self.gossip.len() + 1;
        let budget = self.budgets.entry(call.service.clone()).or_default();
        let allowed = budget.spend(now, &self.setup.retry_bound, gateways);
        out.push(Command::CountRetry { verdict, allowed });
        if allowed {
            self.attempt(now, number, out);
        } else {
            self.give_up(number, final_verdict, Halt::BudgetUsed, out);
        }
    }

    /// Ends the current attempt, and excludes its endpoint from later ones. `verdict` is the
    /// outcome; `None` if the request was abandoned.
    pub(super) fn leave_endpoint(&mut self, now: Instant, number: u64, verdict: Option<Verdict>) {
        self.stop_slow_timer(number);
        self.learn_end(now, number, verdict);
        let by_rate = self.setup.options.balance;
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let Some(endpoint) = call.endpoint().map(str::to_owned) else {
            return;
        };
        if let Some(tracker) = self.trackers.get_mut(&endpoint) {
            match call.stage {
                Stage::Charging { .. }
                | Stage::Asking { .. }
                | Stage::Preparing { .. }
                | Stage::Throttled { .. } => tracker.release(call.tokens),
                _ => tracker.record_end(now, call.tokens),
            }
            if let Stage::Running { uncached, .. } = call.stage {
                tracker.ahead = tracker.ahead.saturating_sub(uncached);
            }
            if let Some(verdict) = verdict {
                tracker.record_outcome(now, verdict, by_rate);
                if verdict.reason() == Some(Reason::NotHeld)
                    && let (Some(model), Some(adapter)) = (&call.model, &call.adapter)
                {
                    tracker.remove_adapter(model.as_str(), adapter);
                }
            }
        }
        if let Stage::Throttled {
            until: Some(until), ..
        } = call.stage
        {
            self.turns.remove(&(until, number));
        }
        call.stage = Stage::Idle;
        call.tried.push(endpoint);
    }
}

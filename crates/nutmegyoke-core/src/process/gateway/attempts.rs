//! A request from its arrival to its end: which attempts are made, and what its
//! client is told.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::call::{Call, Stage};
use super::refusal::refuse;
use super::{Command, Gateway, Halt, Sink};
use crate::process::registry::Announcement;
use crate::request::{Passthrough, Reason, Verdict};
use crate::version::routing::Semantics;

/// The most endpoints that are asked for one request, those that refuse included.
pub(super) const TRIES: usize = 3;

/// The shortest time without an answer after which a request that may be repeated is
/// sent elsewhere: some times what plain services take, so that few are.
const LEAST_LATE: Duration = Duration::from_millis(400);

/// Less time than this is no chance for an endpoint to answer.
const LEAST_PATIENCE: Duration = Duration::from_millis(5);

impl Gateway {
    /// Takes in a request that arrived at `arrived`.
    pub(super) fn arrive<S>(
        &mut self,
        now: Instant,
        arrived: Instant,
        number: u64,
        passage: &Passthrough<'_>,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        let Some(routing) = &self.routing else {
            self.waiting.keep(now, number, passage);
            return;
        };
        let Some(route) = routing.route(passage.host, passage.path) else {
            let verdict = Verdict::not_run(Reason::UnknownPath);
            return refuse(number, verdict, Halt::Untried, out);
        };
        let point = self.random.u64(..);
        let Some(service) = route.choose_service(point) else {
            let verdict = Verdict::not_run(Reason::UnknownService);
            return refuse(number, verdict, Halt::Untried, out);
        };
        let call = Call::open(arrived, route, service, point, passage);
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.count(now, &self.setup.bound);
        self.deadlines.insert((call.deadline, number));
        self.calls.insert(number, call);
        self.attempt(now, number, out);
    }

    /// Sends the request to the best endpoint, or refuses it.
    pub(super) fn attempt<S>(&mut self, now: Instant, number: u64, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        let Some((endpoint, candidates)) = self.pick(now, call) else {
            return self.put_off(now, number, out);
        };
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        call.candidates = candidates;
        let id = endpoint.id.clone();
        let pool = self.routing.as_ref();
        let pool = pool.and_then(|routing| routing.pool(call.service.as_str()));
        let engine = pool.and_then(|pool| pool.engine.as_ref());
        let slots = engine.map_or(0, |engine| engine.adapter_capacity(&endpoint.models));
        let seat = self.seats.entry(id.clone()).or_default();
        seat.renew(endpoint.stamp.started_ms);
        if let (Some(model), Some(adapter)) = (&call.model, &call.adapter) {
            let (model, adapter) = (model.as_str().to_owned(), adapter.clone());
            if !seat.holds(&model, &adapter) {
                seat.in_flight += 1;
                call.stage = Stage::Preparing { endpoint: id };
                out.push(Command::Prepare {
                    call: number,
                    endpoint,
                    model,
                    adapter,
                    slots,
                });
                return;
            }
            if seat.touch(now, &model, &adapter) {
                out.push(Command::Touch {
                    endpoint: Rc::clone(&endpoint),
                    model,
                    adapter,
                    slots,
                });
            }
        }
        seat.in_flight += 1;
        self.dispatch(now, number, endpoint, out);
    }

    pub(super) fn dispatch<S>(
        &mut self,
        now: Instant,
        number: u64,
        endpoint: Rc<Announcement>,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        let basis = self.basis(now, call, &endpoint.id);
        let (Some(call), Some(seat)) = (
            self.calls.get_mut(&number),
            self.seats.get_mut(&endpoint.id),
        ) else {
            return;
        };
        let ahead = u64::from(basis.tokens - basis.kept);
        seat.cache.note(now, &call.prompt);
        seat.ahead += ahead;
        // What had to wait was counted when it began to.
        if let Some(model) = call.model.as_ref().filter(|_| !call.put_off) {
            self.demand.count(now, model, ahead);
        }
        seat.send(now);
        call.stage = Stage::Running {
            endpoint: endpoint.id.clone(),
            ahead,
        };
        if call.route.semantics == Semantics::Repeatable {
            let late = now + (call.route.objective * 2).max(LEAST_LATE);
            call.late = Some(late);
            self.late.insert((late, number));
        }
        out.push(Command::Dispatch {
            call: number,
            endpoint,
            patience: call.deadline.saturating_duration_since(now),
            rank: call.route.rank,
            streams: call.route.streams(),
            objective: call.route.objective,
            basis,
        });
    }

    pub(super) fn begin(&mut self, now: Instant, number: u64) {
        self.calm(number);
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let Stage::Running { endpoint, ahead } = call.stage.clone() else {
            return;
        };
        if let Some(seat) = self.seats.get_mut(&endpoint) {
            seat.ahead = seat.ahead.saturating_sub(ahead);
            seat.judge(now, Verdict::Ran);
        }
        call.stage = Stage::Begun { endpoint };
    }

    /// Takes in how an attempt ended, and sends the request elsewhere if that is
    /// allowed and promises anything.
    pub(super) fn settle<S>(&mut self, now: Instant, number: u64, verdict: Verdict, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let begun = matches!(
            self.calls.get(&number).map(|call| &call.stage),
            Some(Stage::Begun { .. })
        );
        self.vacate(now, number, Some(verdict));
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        if begun || verdict == Verdict::Ran {
            self.forget(number);
            return;
        }
        if let Verdict::MayHaveRun { reason } = verdict {
            call.runs += 1;
            call.suspect = Some(reason);
        }
        let ran = matches!(verdict, Verdict::MayHaveRun { .. });
        let halt = if ran && !call.route.repeatable() {
            Some(Halt::OnceOnly)
        } else if call.tried.len() >= TRIES || (ran && call.runs >= call.route.max_attempts) {
            Some(Halt::TriesUsed)
        } else if now + LEAST_PATIENCE >= call.deadline {
            Some(Halt::OutOfTime)
        } else {
            None
        };
        let final_verdict = call.suspect.map_or(verdict, Verdict::may_have_run);
        if let Some(halt) = halt {
            return self.give_up(number, final_verdict, halt, out);
        }
        let gateways = self.spread.len() + 1;
        let budget = self.budgets.entry(call.service.clone()).or_default();
        let allowed = budget.take(now, &self.setup.bound, gateways);
        out.push(Command::Retried { verdict, allowed });
        if allowed {
            self.attempt(now, number, out);
        } else {
            self.give_up(number, final_verdict, Halt::BudgetUsed, out);
        }
    }

    /// Takes the request off the endpoint that it is at.
    pub(super) fn vacate(&mut self, now: Instant, number: u64, verdict: Option<Verdict>) {
        self.calm(number);
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let Some(endpoint) = call.endpoint().map(str::to_owned) else {
            return;
        };
        if let Some(seat) = self.seats.get_mut(&endpoint) {
            if let Stage::Preparing { .. } = call.stage {
                seat.release();
            } else {
                seat.leave(now);
            }
            if let Stage::Running { ahead, .. } = call.stage {
                seat.ahead = seat.ahead.saturating_sub(ahead);
            }
            if let Some(verdict) = verdict {
                seat.judge(now, verdict);
                if verdict.reason() == Some(Reason::NotHeld)
                    && let (Some(model), Some(adapter)) = (&call.model, &call.adapter)
                {
                    seat.miss(model.as_str(), adapter);
                }
            }
        }
        call.stage = Stage::Idle;
        call.tried.push(endpoint);
    }
}

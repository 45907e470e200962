//! Asks stewards before requests are sent to busy engines, and refuses requests early that no
//! engine is expected to start in time.
//!
//! An engine with little load is sent requests without a question. If the steward of a busy one
//! declines, one other engine is tried. After two refusals the request waits if an engine is
//! expected to have room in time, and is refused otherwise.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::call::{Call, Held, Stage};
use super::demand::Backlog;
use super::refusal::{RETRY_AFTER, refuse_until};
use super::{Command, Gateway, Halt, Sink};
use crate::process::registry::Announcement;
use crate::process::steward::admission::{Answer, prefill_time, release_time};
use crate::request::{Reason, Verdict};
use crate::version::routing::Engine;

/// Requests are sent without a question while the load of the engine is at most its capacity
/// divided by this. It leaves room for what other gateways send within a period of gossip.
const LIGHT_LOAD_DIVISOR: u64 = 8;

/// How long a steward that did not answer is not asked.
const STEWARD_SUSPENSION: Duration = Duration::from_secs(1);

/// How many engines may decline a request before it waits or is refused.
const MAX_DECLINES: usize = 2;

/// The bounds on the time after which a request that waits is tried again. A steward's report is
/// up to 50 ms old, so earlier there is no other answer. Engines have room
/// for another request several times a second, and stewards keep a place for 400 ms. With 250 ms
/// fewer requests of a burst start within their objective.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(150);

/// The objective times this is the latest expected start. A late answer has a third of its value
/// for the client. In replays of bursts 4 in place of 2 starts more requests late and fewer in
/// time, and clients are told later that they have to come again.
const LIMIT_OBJECTIVES: u32 = 2;

/// The time to prefill a request's own prompt counts up to its objective divided by this. Beyond
/// that, large requests would have less time to start than others, and be served less often.
const PREFILL_DIVISOR: u32 = 8;

/// The part of the time left within which a request has to start, so that its answer can end.
const LIMIT_NUMERATOR: u32 = 4;
const LIMIT_DENOMINATOR: u32 = 5;

/// Requests that are not the most urgent ones leave this part of the batch to others.
const SLOTS_LEFT_DIVISOR: u32 = 8;

/// The most prompt tokens that an engine prefills between two tokens of its streams. Engines do not
/// tell it; this is the largest of the fleets that are served.
const PIECE_TOKENS: u64 = 4096;

/// How long it takes until a request of a full batch ends: answers take a few seconds, and a
/// batch has dozens.
const SLOT_WAIT: Duration = Duration::from_millis(100);

/// How long a steward's statement of its engine's load counts for the choice of an engine.
/// Other gateways change the load meanwhile.
const ANSWER_TTL: Duration = Duration::from_millis(250);

/// An engine that declined a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decline {
    pub endpoint: String,
    /// The expected start there.
    pub start: Duration,
}

/// What an engine can hold.
#[derive(Clone, Copy, Debug)]
struct Capacity {
    /// The requests that it runs at once.
    slots: u32,
    /// The tokens in its memory.
    tokens: u64,
    /// The tokens in one event of a stream.
    event_tokens: u32,
}

impl Gateway {
    /// Asks the steward of `endpoint` before the request is sent there, if the engine is busy.
    /// Returns whether the request waits for the answer or has got another engine.
    pub(super) fn ask_admission<S>(
        &mut self,
        now: Instant,
        number: u64,
        endpoint: &Rc<Announcement>,
        out: &mut S,
    ) -> bool
    where
        S: Sink<Command = Command>,
    {
        let Some(call) = self.calls.get(&number) else {
            return false;
        };
        let Some(capacity) = self.busy_capacity(now, call, endpoint) else {
            return false;
        };
        let suspended = self.suspended_stewards.get(&endpoint.id);
        if suspended.is_some_and(|&until| now < until) {
            return self.decide_alone(now, number, endpoint, capacity, out);
        }
        let uncached = self.uncached(now, call, &endpoint.id);
        let due = due(now, call, uncached);
        let limit = ask_limit(now, call, due);
        let Some(call) = self.calls.get_mut(&number) else {
            return false;
        };
        call.stage = Stage::Asking {
            endpoint: endpoint.id.clone(),
        };
        let tracker = self.trackers.entry(endpoint.id.clone()).or_default();
        tracker.hold(call.tokens);
        out.push(Command::AskAdmission {
            call: number,
            endpoint: Rc::clone(endpoint),
            caller: call.caller.clone(),
            priority: call.priority(),
            uncached,
            tokens: call.tokens,
            limit,
            due,
            gap: threatened_gap(call, capacity.event_tokens),
            slots: slots_for(call.priority(), capacity.slots),
        });
        true
    }

    /// Applies the answer of a steward; `None` if it did not answer in time.
    pub(super) fn admission_answered<S>(
        &mut self,
        now: Instant,
        number: u64,
        answer: Option<&Answer>,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let Stage::Asking { endpoint: id } = call.stage.clone() else {
            return;
        };
        call.stage = Stage::Idle;
        if let Some(tracker) = self.trackers.get_mut(&id) {
            tracker.release(call.tokens);
            if let Some(answer) = answer {
                let in_flight = answer.running.saturating_add(answer.waiting);
                let ahead = answer.ahead;
                tracker.record_load(now, Backlog { ahead, in_flight });
            }
        }
        let row = self.registry.row(&id);
        let row = row.filter(|row| self.takes_requests(now, row));
        let Some(endpoint) = row.map(|row| Rc::clone(&row.announcement)) else {
            return self.attempt(now, number, out);
        };
        if let Some(answer) = answer {
            if answer.admitted {
                return self.proceed(now, number, endpoint, out);
            }
            return self.decline(now, number, &endpoint, answer.start, out);
        }
        let until = now + STEWARD_SUSPENSION;
        self.suspended_stewards.insert(id, until);
        let call = self.calls.get(&number);
        let capacity = call.and_then(|call| self.busy_capacity(now, call, &endpoint));
        let declined = capacity
            .is_some_and(|capacity| self.decide_alone(now, number, &endpoint, capacity, out));
        if !declined {
            self.proceed(now, number, endpoint, out);
        }
    }

    /// Tries the requests again whose engines are expected to have room now.
    pub(super) fn retry_deferred<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        while let Some(&(at, number)) = self.deferred.first() {
            if at > now {
                return;
            }
            self.deferred.pop_first();
            let call = self.calls.get_mut(&number);
            let Some(call) = call.filter(|call| call.stage == Stage::Deferred { until: at }) else {
                continue;
            };
            call.stage = Stage::Idle;
            call.declines.clear();
            // The estimate may be that of another engine.
            call.estimate = None;
            if call.deadline <= now {
                continue;
            }
            let row = call.waits_at.as_ref().and_then(|id| self.registry.row(id));
            let row = row.filter(|row| self.takes_requests(now, row) && self.is_healthy(now, row));
            let Some(endpoint) = row.map(|row| Rc::clone(&row.announcement)) else {
                self.attempt(now, number, out);
                continue;
            };
            if !self.ask_admission(now, number, &endpoint, out) {
                self.proceed(now, number, endpoint, out);
            }
        }
    }

    /// Waits or refuses a request that engines declined, if no other engine is left for it.
    /// Returns whether engines declined it.
    pub(super) fn settle_declined<S>(&mut self, now: Instant, number: u64, out: &mut S) -> bool
    where
        S: Sink<Command = Command>,
    {
        let Some(call) = self.calls.get(&number) else {
            return false;
        };
        let Some(best) = call.declines.iter().min_by_key(|decline| decline.start) else {
            return false;
        };
        let (start, limit) = (best.start, start_limit(now, call));
        if start < limit {
            let endpoint = best.endpoint.clone();
            self.defer(now, number, endpoint, start);
            return true;
        }
        let not_run = Verdict::not_run(Reason::ExpectationMissed);
        let verdict = call.uncertain.map_or(not_run, Verdict::may_have_run);
        let halt = if call.tried.is_empty() {
            Halt::Untried
        } else {
            Halt::NoOther
        };
        // Demand includes refused requests. That of a queued request was counted before.
        if let Some(model) = call.model.clone().filter(|_| !call.queued) {
            let tokens = u64::from(call.prompt.tokens);
            self.demand.count_tokens(now, &model, tokens);
        }
        out.push(Command::RefusedEarly {
            call: number,
            start,
            limit,
        });
        self.remove_call(number);
        // Clients that were refused together don't come back together.
        let delay = start.saturating_sub(limit).max(RETRY_AFTER);
        let delay = delay + delay.mul_f64(self.rng.f64());
        refuse_until(number, verdict, halt, delay, out);
        true
    }

    /// Lets a request wait for room at an engine that is expected to start it after `start`.
    fn defer(&mut self, now: Instant, number: u64, endpoint: String, start: Duration) {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let delay = (start / 2).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        let until = (now + delay).min(call.deadline);
        call.stage = Stage::Deferred { until };
        call.waits_at = Some(endpoint);
        self.deferred.insert((until, number));
        self.return_charge(number);
    }

    /// What is known of an engine's load: the gateways' own counts, or what its steward said
    /// just now if that is more.
    pub(super) fn reported_backlog(&self, now: Instant, id: &str, counted: Backlog) -> Backlog {
        let tracker = self.trackers.get(id);
        let reported = tracker.and_then(|tracker| tracker.reported_load(now, ANSWER_TTL));
        reported.map_or(counted, |reported| Backlog {
            ahead: counted.ahead.max(reported.ahead),
            in_flight: counted.in_flight.max(reported.in_flight),
        })
    }

    /// The capacity of an engine that is so busy that its steward has to be asked; `None` if
    /// it is not, or admission is not asked for.
    fn busy_capacity(
        &self,
        now: Instant,
        call: &Call,
        endpoint: &Announcement,
    ) -> Option<Capacity> {
        if !self.setup.options.admission || call.model.is_none() {
            return None;
        }
        let pool = self.routing.as_ref()?.pool(call.service.as_str())?;
        let engine = pool.engine.as_ref()?;
        threatened_gap(call, engine.event_tokens)?;
        let load = self.reported_backlog(now, &endpoint.id, self.backlog(&endpoint.id));
        let requests = u64::from(load.in_flight);
        let tokens = engine.cache_tokens;
        let is_light = requests <= u64::from(engine.slots) / LIGHT_LOAD_DIVISOR
            && self.known_tokens(now, call, &endpoint.id) <= tokens / LIGHT_LOAD_DIVISOR
            && self.is_unasked(call, &endpoint.id, engine);
        (!is_light).then_some(Capacity {
            slots: engine.slots,
            tokens: engine.cache_tokens,
            event_tokens: engine.event_tokens,
        })
    }

    /// The tokens that are known to be held at an engine. Requests of other gateways count like
    /// this gateway's requests for the same service.
    fn known_tokens(&self, now: Instant, call: &Call, id: &str) -> u64 {
        let mean = self.held.get(&call.service).and_then(Held::mean);
        let mean = mean.unwrap_or(call.tokens);
        let tracker = self.trackers.get(id);
        let (own, own_count) = tracker.map_or((0, 0), |tracker| (tracker.held, tracker.in_flight));
        let load = self.reported_backlog(now, id, self.backlog(id));
        own + u64::from(load.in_flight.saturating_sub(own_count)) * mean
    }

    /// Whether `held` tokens are within this gateway's equal share of an engine's memory. Gossip shows
    /// what others sent 2 s late, and all of them may send their shares.
    fn is_share(&self, held: u64, memory: u64) -> bool {
        let gateways = u64::try_from(self.gossip.len() + 1).unwrap_or(u64::MAX);
        held <= memory / gateways
    }

    /// Whether a request is sent without a question to an engine with little load: within the
    /// share, or the only one of this gateway there if a whole batch of such requests fits into the
    /// memory. Otherwise a fleet of hundreds of gateways would ask for each short request.
    fn is_unasked(&self, call: &Call, id: &str, engine: &Engine) -> bool {
        let own = self.own_tokens(id);
        let is_short = call.tokens <= engine.cache_tokens / u64::from(engine.slots.max(1));
        (is_short && own == 0) || self.is_share(own + call.tokens, engine.cache_tokens)
    }

    /// The tokens of this gateway's requests at an engine.
    fn own_tokens(&self, id: &str) -> u64 {
        self.trackers.get(id).map_or(0, |tracker| tracker.held)
    }

    fn uncached(&self, now: Instant, call: &Call, id: &str) -> u64 {
        let tracker = self.trackers.get(id);
        let cached = tracker.map_or(0, |tracker| tracker.cache.cached_tokens(now, &call.prompt));
        u64::from(call.prompt.tokens - cached)
    }

    /// Decides without the steward. Beyond a light load, a gateway takes its share of the memory
    /// or one request, so all gateways without a steward exceed the memory by one request each.
    /// Returns whether the request was declined.
    fn decide_alone<S>(
        &mut self,
        now: Instant,
        number: u64,
        endpoint: &Rc<Announcement>,
        capacity: Capacity,
        out: &mut S,
    ) -> bool
    where
        S: Sink<Command = Command>,
    {
        let Some(call) = self.calls.get(&number) else {
            return false;
        };
        let id = endpoint.id.as_str();
        let load = self.reported_backlog(now, id, self.backlog(id));
        let held = self.known_tokens(now, call, id);
        let over = (held + call.tokens).saturating_sub(capacity.tokens);
        let batch_wait = if load.in_flight < capacity.slots {
            Duration::ZERO
        } else {
            SLOT_WAIT
        };
        let queue = prefill_time(load.ahead);
        let start = queue.max(release_time(over, held)).max(batch_wait);
        let fits = over == 0 && batch_wait.is_zero();
        let own = self.own_tokens(id);
        let has_share = own == 0 || self.is_share(own + call.tokens, capacity.tokens);
        if load.in_flight == 0 || (has_share && fits && start <= start_limit(now, call)) {
            return false;
        }
        let endpoint = Rc::clone(endpoint);
        self.decline(now, number, &endpoint, start, out);
        true
    }

    /// Records that an engine declined a request, and tries another one or settles it.
    fn decline<S>(
        &mut self,
        now: Instant,
        number: u64,
        endpoint: &Announcement,
        start: Duration,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let waits_here = call.waits_at.as_ref() == Some(&endpoint.id);
        call.declines.push(Decline {
            endpoint: endpoint.id.clone(),
            start,
        });
        if !waits_here {
            out.push(Command::Declined {
                call: number,
                endpoint: endpoint.id.clone(),
                start,
            });
        }
        // Its place there is kept while it waits; at two engines it would take room twice.
        if waits_here && start < start_limit(now, call) {
            return self.defer(now, number, endpoint.id.clone(), start);
        }
        if call.declines.len() < MAX_DECLINES {
            self.attempt(now, number, out);
        } else {
            self.settle_declined(now, number, out);
        }
    }
}

/// The objective for pauses of the request's answer, if prompts that an engine prefills one after the
/// other make the pauses of its streams longer. Without such pauses the engine's own queue serves
/// more requests in time than early refusals do.
fn threatened_gap(call: &Call, event_tokens: u32) -> Option<Duration> {
    let pause = prefill_time(PIECE_TOKENS * u64::from(event_tokens));
    call.route.gap_objective.filter(|&gap| gap <= pause)
}

/// The part of a batch of `slots` that requests of a priority may fill.
fn slots_for(priority: u8, slots: u32) -> u32 {
    let left = if priority > 0 {
        slots / SLOTS_LEFT_DIVISOR
    } else {
        0
    };
    slots - left
}

/// The expected start that is of use to the client at the latest, counted from now.
fn start_limit(now: Instant, call: &Call) -> Duration {
    let latest = call.arrived + call.route.objective * LIMIT_OBJECTIVES;
    let left = call.deadline.saturating_duration_since(now);
    let left = left / LIMIT_DENOMINATOR * LIMIT_NUMERATOR;
    left.min(latest.saturating_duration_since(now))
}

/// The time until a request with `uncached` tokens to prefill has to start to meet its objective.
fn due(now: Instant, call: &Call, uncached: u64) -> Duration {
    let objective = call.arrived + call.route.objective;
    let left = objective.saturating_duration_since(now);
    let prefill = prefill_time(uncached).min(call.route.objective / PREFILL_DIVISOR);
    left.saturating_sub(prefill)
}

/// The latest start that a steward is asked for: so that the request meets its objective, while that
/// is possible. A later request is admitted if it starts before it would ask again, and keeps no place
/// at the engine, so others still meet their objectives.
fn ask_limit(now: Instant, call: &Call, due: Duration) -> Duration {
    due.max(MAX_RETRY_DELAY).min(start_limit(now, call))
}

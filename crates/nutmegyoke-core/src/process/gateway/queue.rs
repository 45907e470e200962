//! Requests that wait for an endpoint, for the first routing document, or until the document is
//! confirmed to be the newest.
//!
//! After a restart the gateway knows all endpoints within a heartbeat period. A client that
//! is refused before that wastes one of its few attempts, so its request waits a little.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::refusal::{RETRY_AFTER, refuse, refuse_until};
use super::{Command, Gateway, Halt, Sink};
use crate::process::endpoint::Target;
use crate::request::passthrough::{Part, Resumption};
use crate::request::{Fingerprint, Passthrough, Reason, Verdict};

/// The longest wait: somewhat less than a heartbeat period.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// A request waits at most its timeout divided by this, so that time is left for an attempt.
const MAX_WAIT_DIVISOR: u32 = 4;

/// The delay before stewards that declined an adapter are asked again: a few times as long
/// as loading an adapter takes.
const DECLINED_RETRY_DELAY: Duration = Duration::from_millis(60);

/// The requests that wait, by number. The state of those that have a route is in
/// [`Gateway`].
#[derive(Debug, Default)]
pub struct Queue {
    /// Those that have no route in the routing document, if there is one, or whose key it does
    /// not know.
    unrouted: BTreeMap<u64, Unrouted>,
    /// Those that wait for an endpoint.
    calls: BTreeSet<u64>,
    /// When each wait ends: at its limit, or earlier to ask stewards again that declined.
    deadlines: BTreeSet<(Instant, u64)>,
    /// Whether the registry has changed since the queue was last served.
    wake_pending: bool,
}

/// A request that has no route yet.
#[derive(Debug)]
struct Unrouted {
    arrived: Instant,
    host: String,
    path: String,
    id: Option<String>,
    /// Whether it takes a stream up.
    resumes: bool,
    /// The id of the request that began that stream, if it names it.
    began: Option<String>,
    timeout: Option<Duration>,
    target: Option<(String, Option<String>)>,
    prompt: Vec<Part>,
    key: Option<String>,
    usage: Option<u64>,
    fingerprint: Fingerprint,
}

impl Unrouted {
    fn open(arrived: Instant, request: &Passthrough<'_>) -> Self {
        let target = request.target.and_then(|target| match target {
            Target::Model { model, adapter } => {
                Some((model.to_owned(), adapter.map(str::to_owned)))
            }
            Target::Service { .. } => None,
        });
        Self {
            arrived,
            host: request.host.to_owned(),
            path: request.path.to_owned(),
            id: request.id.map(str::to_owned),
            resumes: request.resumption.is_some(),
            began: request
                .resumption
                .and_then(|resumption| resumption.request.map(str::to_owned)),
            timeout: request.timeout,
            target,
            prompt: request.prompt.to_vec(),
            key: request.key.map(str::to_owned),
            usage: request.usage,
            fingerprint: request.fingerprint,
        }
    }

    /// The request as it arrived.
    fn request(&self) -> Passthrough<'_> {
        let target = self.target.as_ref();
        Passthrough {
            host: &self.host,
            path: &self.path,
            id: self.id.as_deref(),
            resumption: self.resumes.then_some(Resumption {
                request: self.began.as_deref(),
            }),
            timeout: self.timeout,
            target: target.map(|(model, adapter)| Target::Model {
                model,
                adapter: adapter.as_deref(),
            }),
            prompt: &self.prompt,
            key: self.key.as_deref(),
            usage: self.usage,
            fingerprint: self.fingerprint,
        }
    }
}

impl Queue {
    /// The number of requests that have no route yet.
    pub fn unrouted(&self) -> usize {
        self.unrouted.len()
    }

    /// Queues a request that has no route, until the routing document is confirmed or another one
    /// comes.
    pub fn push_unrouted(&mut self, arrived: Instant, number: u64, request: &Passthrough<'_>) {
        let wait = request
            .timeout
            .map_or(MAX_WAIT, |timeout| timeout / MAX_WAIT_DIVISOR);
        self.unrouted
            .insert(number, Unrouted::open(arrived, request));
        self.deadlines
            .insert((arrived + wait.min(MAX_WAIT), number));
    }

    /// Removes all requests that have no route and returns their numbers.
    pub fn take_unrouted(&mut self) -> Vec<u64> {
        let numbers: Vec<u64> = self.unrouted.keys().copied().collect();
        for &number in &numbers {
            self.remove(number);
        }
        numbers
    }

    /// Has all queued requests tried when [`Gateway::serve_queue`] runs next, at the end of
    /// the current event.
    pub fn wake(&mut self) {
        self.wake_pending = true;
    }

    /// Removes a request, if it is queued.
    pub fn remove(&mut self, number: u64) {
        let unrouted = self.unrouted.remove(&number).is_some();
        if self.calls.remove(&number) || unrouted {
            self.deadlines.retain(|&(_, other)| other != number);
        }
    }

    /// When the next wait ends.
    pub fn deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|&(deadline, _)| deadline)
    }
}

impl Gateway {
    /// Queues a request that has no endpoint. Refuses it if it has waited long enough, or if
    /// an attempt has failed.
    pub(super) fn enqueue<S>(&mut self, now: Instant, number: u64, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let call = self.calls.get(&number);
        let call = call.filter(|call| call.declined.is_empty());
        let turn = call.and_then(|call| self.next_turn(now, call));
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let total = call.deadline.saturating_duration_since(call.arrived);
        let mut deadline = call.arrived + (total / MAX_WAIT_DIVISOR).min(MAX_WAIT);
        // After a failed attempt, another endpoint is unlikely to come in time, and those that
        // deny requests would have admitted it if its turn came soon.
        if now < deadline && call.tried.is_empty() && turn.is_none() {
            if !call.declined.is_empty() {
                call.declined.clear();
                deadline = deadline.min(now + DECLINED_RETRY_DELAY);
            }
            if self.queue.calls.insert(number) {
                self.queue.deadlines.insert((deadline, number));
            }
            if !call.queued {
                call.queued = true;
                let tokens = u64::from(call.prompt.tokens);
                if let Some(model) = &call.model {
                    self.demand.count_tokens(now, model, tokens);
                }
                out.push(Command::Queued { call: number });
            }
            self.return_charge(number);
            return;
        }
        let halt = if call.tried.is_empty() {
            Halt::Untried
        } else {
            Halt::NoOther
        };
        let reason = if let Some((_, reason)) = turn {
            reason
        } else if call.declined.is_empty() {
            Reason::NoEndpoint
        } else {
            Reason::NotHeld
        };
        let not_run = Verdict::not_run(reason);
        let verdict = call.uncertain.map_or(not_run, Verdict::may_have_run);
        // Demand includes refused requests. That of a queued request was counted before.
        if let Some(model) = call.model.as_ref().filter(|_| !call.queued) {
            let tokens = u64::from(call.prompt.tokens);
            self.demand.count_tokens(now, model, tokens);
        }
        self.remove_call(number);
        let delay = turn.map_or(RETRY_AFTER, |(turn, _)| turn.saturating_duration_since(now));
        refuse_until(number, verdict, halt, delay, out);
    }

    /// Routes the requests that have no route yet.
    pub(super) fn admit_unrouted<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        for (number, unrouted) in std::mem::take(&mut self.queue.unrouted) {
            self.queue.deadlines.retain(|&(_, other)| other != number);
            self.accept(now, unrouted.arrived, number, &unrouted.request(), out);
        }
    }

    /// Tries all queued requests if the registry has changed or a wait is over. Refuses those
    /// without a route whose wait is over.
    pub(super) fn serve_queue<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let overdue = self
            .queue
            .deadline()
            .is_some_and(|deadline| deadline <= now);
        if !overdue && !std::mem::take(&mut self.queue.wake_pending) {
            return;
        }
        let expired = |queue: &Queue| {
            let first = queue.deadlines.first().copied();
            first.filter(|&(deadline, _)| deadline <= now)
        };
        while let Some((_, number)) = expired(&self.queue) {
            let unrouted = self.queue.unrouted.contains_key(&number);
            self.queue.remove(number);
            if unrouted {
                let reason = if self.routing.is_some() {
                    Reason::Unconfirmed
                } else {
                    Reason::NoConfiguration
                };
                let verdict = Verdict::not_run(reason);
                refuse(number, verdict, Halt::Untried, out);
            } else {
                self.attempt(now, number, out);
            }
        }
        for number in std::mem::take(&mut self.queue.calls) {
            self.queue.deadlines.retain(|&(_, other)| other != number);
            self.attempt(now, number, out);
        }
    }
}

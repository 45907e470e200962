//! Requests that wait for an endpoint, or for the first routing document.
//!
//! After a restart the gateway knows all endpoints within a heartbeat. A client that is
//! refused before that has wasted one of its few attempts, so its request waits a little.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::refusal::refuse;
use super::{Command, Gateway, Halt, Sink};
use crate::process::endpoint::Target;
use crate::request::passthrough::Part;
use crate::request::{Passthrough, Reason, Verdict};

/// The longest wait: somewhat less than a heartbeat period.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// A request waits at most this part of its timeout, so that time is left for an attempt.
const MAX_WAIT_DIVISOR: u32 = 4;

/// The pause before stewards that declined an adapter are asked again: a few times what
/// loading an adapter takes.
const DECLINED_RETRY_DELAY: Duration = Duration::from_millis(60);

/// The requests that wait.
#[derive(Debug, Default)]
pub struct Queue {
    /// Those that wait for routing, by number.
    unrouted: BTreeMap<u64, Unrouted>,
    /// The numbers of those that wait for an endpoint.
    calls: BTreeSet<u64>,
    /// When the wait of each request ends.
    deadlines: BTreeSet<(Instant, u64)>,
    /// Whether the registry has changed since the queue was last served.
    wake_pending: bool,
}

/// A request that arrived before any routing was known.
#[derive(Debug)]
struct Unrouted {
    arrived: Instant,
    host: String,
    path: String,
    timeout: Option<Duration>,
    target: Option<(String, Option<String>)>,
    prompt: Vec<Part>,
}

impl Unrouted {
    fn open(now: Instant, request: &Passthrough<'_>) -> Self {
        let target = request.target.and_then(|target| match target {
            Target::Model { model, adapter } => {
                Some((model.to_owned(), adapter.map(str::to_owned)))
            }
            Target::Service { .. } => None,
        });
        Self {
            arrived: now,
            host: request.host.to_owned(),
            path: request.path.to_owned(),
            timeout: request.timeout,
            target,
            prompt: request.prompt.to_vec(),
        }
    }

    /// The request as it arrived.
    fn request(&self) -> Passthrough<'_> {
        let target = self.target.as_ref();
        Passthrough {
            host: &self.host,
            path: &self.path,
            timeout: self.timeout,
            target: target.map(|(model, adapter)| Target::Model {
                model,
                adapter: adapter.as_deref(),
            }),
            prompt: &self.prompt,
        }
    }
}

impl Queue {
    /// The number of requests that wait for routing.
    pub fn unrouted(&self) -> usize {
        self.unrouted.len()
    }

    /// Queues a request until routing is known.
    pub fn push_unrouted(&mut self, now: Instant, number: u64, request: &Passthrough<'_>) {
        let wait = request
            .timeout
            .map_or(MAX_WAIT, |timeout| timeout / MAX_WAIT_DIVISOR);
        self.unrouted.insert(number, Unrouted::open(now, request));
        self.deadlines.insert((now + wait.min(MAX_WAIT), number));
    }

    /// Has the queue served on the next event.
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

    /// When the first wait ends.
    pub fn deadline(&self) -> Option<Instant> {
        self.deadlines.first().map(|&(deadline, _)| deadline)
    }
}

impl Gateway {
    /// Queues a request for an endpoint, or refuses it if it has waited long enough.
    pub(super) fn enqueue<S>(&mut self, now: Instant, number: u64, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let total = call.deadline.saturating_duration_since(call.arrived);
        let mut deadline = call.arrived + (total / MAX_WAIT_DIVISOR).min(MAX_WAIT);
        // Only first attempts wait: after a failed one no new endpoint is likely to come in time.
        if now < deadline && call.tried.is_empty() {
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
            return;
        }
        let halt = if call.tried.is_empty() {
            Halt::Untried
        } else {
            Halt::NoOther
        };
        let reason = if call.declined.is_empty() {
            Reason::NoEndpoint
        } else {
            Reason::NotHeld
        };
        let not_run = Verdict::not_run(reason);
        let verdict = call.uncertain.map_or(not_run, Verdict::may_have_run);
        if let Some(model) = call.model.as_ref().filter(|_| !call.queued) {
            let tokens = u64::from(call.prompt.tokens);
            self.demand.count_tokens(now, model, tokens);
        }
        self.give_up(number, verdict, halt, out);
    }

    /// Routes the requests that arrived before routing was known.
    pub(super) fn admit_unrouted<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        for (number, unrouted) in std::mem::take(&mut self.queue.unrouted) {
            self.queue.deadlines.retain(|&(_, other)| other != number);
            self.accept(now, unrouted.arrived, number, &unrouted.request(), out);
        }
    }

    /// Tries the queued requests if the registry has changed or a wait is over.
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
                let verdict = Verdict::not_run(Reason::NoConfiguration);
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

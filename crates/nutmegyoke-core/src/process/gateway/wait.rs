//! Requests that wait for an endpoint, or for the first routing document.
//!
//! After a restart endpoints become known within a heartbeat. A client that is
//! refused meanwhile spends one of its few tries, so its request waits a little.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::refusal::refuse;
use super::{Command, Gateway, Halt, Sink};
use crate::process::endpoint::Target;
use crate::request::passthrough::Part;
use crate::request::{Passthrough, Reason, Verdict};

/// The longest time that a request waits: somewhat less than a heartbeat.
const LONGEST: Duration = Duration::from_secs(1);

/// The part of the time left that a request waits at most.
const PART: u32 = 4;

/// The pause before stewards are asked again that had no place for an adapter: a few
/// times the load of an adapter.
const DECLINE_PAUSE: Duration = Duration::from_millis(60);

/// The requests that wait.
#[derive(Debug, Default)]
pub struct Waiting {
    early: BTreeMap<u64, Early>,
    calls: BTreeSet<u64>,
    /// Until when each of them waits.
    until: BTreeSet<(Instant, u64)>,
    /// Whether an endpoint came or changed since they were looked at.
    woken: bool,
}

/// A request that arrived before any routing was known.
#[derive(Debug)]
struct Early {
    arrived: Instant,
    host: String,
    path: String,
    patience: Option<Duration>,
    target: Option<(String, Option<String>)>,
    prompt: Vec<Part>,
}

impl Early {
    fn open(now: Instant, passage: &Passthrough<'_>) -> Self {
        let target = passage.target.and_then(|target| match target {
            Target::Model { model, adapter } => {
                Some((model.to_owned(), adapter.map(str::to_owned)))
            }
            Target::Service { .. } => None,
        });
        Self {
            arrived: now,
            host: passage.host.to_owned(),
            path: passage.path.to_owned(),
            patience: passage.timeout,
            target,
            prompt: passage.prompt.to_vec(),
        }
    }

    fn passage(&self) -> Passthrough<'_> {
        let target = self.target.as_ref();
        Passthrough {
            host: &self.host,
            path: &self.path,
            timeout: self.patience,
            target: target.map(|(model, adapter)| Target::Model {
                model,
                adapter: adapter.as_deref(),
            }),
            prompt: &self.prompt,
        }
    }
}

impl Waiting {
    /// How many requests wait for routing.
    pub fn early(&self) -> usize {
        self.early.len()
    }

    /// Keeps a request until routing is known.
    pub fn keep(&mut self, now: Instant, number: u64, passage: &Passthrough<'_>) {
        let patience = passage.timeout.map_or(LONGEST, |patience| patience / PART);
        self.early.insert(number, Early::open(now, passage));
        self.until.insert((now + patience.min(LONGEST), number));
    }

    /// Has the requests looked at again.
    pub fn wake(&mut self) {
        self.woken = true;
    }

    /// Forgets a request.
    pub fn remove(&mut self, number: u64) {
        let early = self.early.remove(&number).is_some();
        if self.calls.remove(&number) || early {
            self.until.retain(|&(_, other)| other != number);
        }
    }

    /// When the first of them has waited long enough.
    pub fn deadline(&self) -> Option<Instant> {
        self.until.first().map(|&(until, _)| until)
    }
}

impl Gateway {
    /// Lets a request wait for an endpoint, or refuses it if it has waited enough.
    pub(super) fn put_off<S>(&mut self, now: Instant, number: u64, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let whole = call.deadline.saturating_duration_since(call.arrived);
        let mut until = call.arrived + (whole / PART).min(LONGEST);
        // Another try than the first has failed elsewhere: no endpoint is about to come.
        if now < until && call.tried.is_empty() {
            if !call.declined.is_empty() {
                call.declined.clear();
                until = until.min(now + DECLINE_PAUSE);
            }
            if self.waiting.calls.insert(number) {
                self.waiting.until.insert((until, number));
            }
            if !call.put_off {
                call.put_off = true;
                let tokens = u64::from(call.prompt.tokens);
                if let Some(model) = &call.model {
                    self.demand.count(now, model, tokens);
                }
                out.push(Command::PutOff { call: number });
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
        let none = Verdict::not_run(reason);
        let verdict = call.suspect.map_or(none, Verdict::may_have_run);
        if let Some(model) = call.model.as_ref().filter(|_| !call.put_off) {
            let tokens = u64::from(call.prompt.tokens);
            self.demand.count(now, model, tokens);
        }
        self.give_up(number, verdict, halt, out);
    }

    /// Takes in the requests that arrived before routing was known.
    pub(super) fn admit_early<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        for (number, early) in std::mem::take(&mut self.waiting.early) {
            self.waiting.until.retain(|&(_, other)| other != number);
            self.arrive(now, early.arrived, number, &early.passage(), out);
        }
    }

    /// Looks at the requests that wait, where anything has changed or their time is over.
    pub(super) fn serve_waiting<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let late = self.waiting.deadline().is_some_and(|until| until <= now);
        if !late && !std::mem::take(&mut self.waiting.woken) {
            return;
        }
        let over = |waiting: &Waiting| {
            let first = waiting.until.first().copied();
            first.filter(|&(until, _)| until <= now)
        };
        while let Some((_, number)) = over(&self.waiting) {
            let early = self.waiting.early.contains_key(&number);
            self.waiting.remove(number);
            if early {
                let verdict = Verdict::not_run(Reason::NoConfiguration);
                refuse(number, verdict, Halt::Untried, out);
            } else {
                self.attempt(now, number, out);
            }
        }
        for number in std::mem::take(&mut self.waiting.calls) {
            self.waiting.until.retain(|&(_, other)| other != number);
            self.attempt(now, number, out);
        }
    }
}

//! What happened to one request, for its line in the log.

use std::time::{Duration, Instant};

use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::endpoint::Target;
use nutmegyoke_core::process::gateway::{Basis, Halt};
use nutmegyoke_core::process::registry::Announcement;
use nutmegyoke_core::request::{Passthrough, Verdict};
use nutmegyoke_wire::connection::link::milliseconds;
use serde::Serialize;

use crate::process::passing::Kind;
use crate::process::{Dialect, Event, Gateway};

/// What names a request in the log.
#[derive(Clone, Debug)]
pub struct Label {
    /// The client's name for the request.
    pub request: String,
    /// The host and path that it was for.
    pub host: String,
    pub path: String,
    /// The model with the adapter after a slash; empty if it is for none.
    pub model: String,
}

impl Label {
    /// Names the request `id`.
    pub fn open(id: &str, passage: &Passthrough<'_>) -> Self {
        Self {
            request: id.to_owned(),
            host: passage.host.to_owned(),
            path: passage.path.to_owned(),
            model: match passage.target {
                Some(Target::Model {
                    model,
                    adapter: Some(adapter),
                }) => format!("{model}/{adapter}"),
                Some(Target::Model { model, .. }) => model.to_owned(),
                _ => String::new(),
            },
        }
    }
}

/// The attempts of a request.
#[derive(Clone, Debug)]
pub struct Trail {
    started: Instant,
    objective: Option<Duration>,
    /// What it is for, once it was sent somewhere.
    kind: Option<Kind>,
    first: Option<Duration>,
    legs: Vec<Leg>,
    begun: Option<Instant>,
}

/// One attempt.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Leg {
    endpoint: String,
    /// From the arrival of the request to the beginning of the attempt, in milliseconds.
    at_ms: u64,
    /// From the beginning of the attempt to its end, in milliseconds.
    elapsed_ms: u64,
    #[serde(flatten)]
    basis: Basis,
    #[serde(flatten)]
    verdict: Option<Verdict>,
}

impl Trail {
    /// Opens the trail of a request that arrives now.
    pub fn open(now: Instant) -> Self {
        Self {
            started: now,
            objective: None,
            kind: None,
            first: None,
            legs: Vec::new(),
            begun: None,
        }
    }

    /// Notes that an attempt begins.
    pub fn attempt(
        &mut self,
        now: Instant,
        endpoint: &Announcement,
        rank: u8,
        objective: Duration,
        basis: Basis,
    ) {
        self.objective = Some(objective);
        self.kind.get_or_insert_with(|| Kind {
            service: endpoint.service.to_string(),
            rank,
        });
        self.begun = Some(now);
        self.legs.push(Leg {
            endpoint: endpoint.id.clone(),
            at_ms: milliseconds(self.elapsed(now)),
            elapsed_ms: 0,
            basis,
            verdict: None,
        });
    }

    /// Notes that the answer begins.
    pub fn begin(&mut self, now: Instant) {
        self.first = Some(self.elapsed(now));
    }

    /// Notes that an attempt ends, if one is under way. Returns how long it took.
    pub fn end(&mut self, now: Instant, verdict: Verdict) -> Duration {
        let Some(begun) = self.begun.take() else {
            return Duration::ZERO;
        };
        let took = now.saturating_duration_since(begun);
        if let Some(leg) = self.legs.last_mut() {
            leg.elapsed_ms = milliseconds(took);
            leg.verdict = Some(verdict);
        }
        took
    }

    /// Logs and counts the end of the request.
    pub fn close<C: Clock + 'static, D: Dialect>(
        &mut self,
        gateway: &Gateway<C, D>,
        label: &Label,
        verdict: Verdict,
        halt: Option<Halt>,
    ) {
        let now = gateway.driver().clock().now();
        self.end(now, verdict);
        let telling = verdict != Verdict::Ran || self.is_slow(now);
        let event = Event::Passed {
            request: &label.request,
            host: &label.host,
            path: &label.path,
            model: &label.model,
            endpoint: self.endpoint(),
            attempts: u32::try_from(self.legs.len()).unwrap_or(u32::MAX),
            verdict,
            halt,
            first_ms: self.first.map(milliseconds),
            elapsed_ms: milliseconds(self.elapsed(now)),
            trail: if telling { &self.legs } else { &[] },
        };
        gateway.report(&event, telling);
        gateway.account(verdict);
        if let Some(kind) = &self.kind {
            let passing = gateway.passing();
            passing.observe(kind, self.first, self.elapsed(now));
        }
    }

    /// The endpoint of the last attempt.
    pub fn endpoint(&self) -> &str {
        self.legs.last().map_or("", |leg| &leg.endpoint)
    }

    /// The time since the request arrived.
    fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// Whether the answer began later than aimed for.
    fn is_slow(&self, now: Instant) -> bool {
        let first = self.first.unwrap_or_else(|| self.elapsed(now));
        self.objective.is_some_and(|objective| first > objective)
    }
}

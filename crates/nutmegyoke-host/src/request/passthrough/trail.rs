//! The attempts of one request, for its log line and metrics.

use std::time::{Duration, Instant};

use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::endpoint::Target;
use nutmegyoke_core::process::gateway::{Basis, Halt};
use nutmegyoke_core::process::registry::Announcement;
use nutmegyoke_core::request::{Passthrough, Verdict};
use nutmegyoke_wire::connection::convert::milliseconds;
use serde::Serialize;

use crate::process::passthrough::Class;
use crate::process::{Codec, Event, Gateway};

/// The fields by which a request is found in the log.
#[derive(Clone, Debug)]
pub struct Label {
    /// The client's ID for the request; `-` if there is none.
    pub request: String,
    /// The host that the client addressed.
    pub host: String,
    /// The path, without the query.
    pub path: String,
    /// The model, or `MODEL/ADAPTER`; empty if the request names no model.
    pub model: String,
}

impl Label {
    /// Copies the fields of the request `id`.
    pub fn open(id: &str, passthrough: &Passthrough<'_>) -> Self {
        Self {
            request: id.to_owned(),
            host: passthrough.host.to_owned(),
            path: passthrough.path.to_owned(),
            model: match passthrough.target {
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

/// The attempts and times of a request.
#[derive(Clone, Debug)]
pub struct Trail {
    arrived: Instant,
    /// The target for the time to the answer, as of the last attempt.
    objective: Option<Duration>,
    /// The service and priority of the first attempt.
    class: Option<Class>,
    /// The time from the arrival to the start of a streamed answer; `None` before it and for
    /// a buffered answer.
    time_to_answer: Option<Duration>,
    attempts: Vec<Attempt>,
    /// When the attempt in flight began.
    attempt_started: Option<Instant>,
}

/// One attempt, as it is written to the log.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Attempt {
    endpoint: String,
    /// The time from the arrival of the request to the start of the attempt, in
    /// milliseconds.
    at_ms: u64,
    /// The duration of the attempt, in milliseconds.
    elapsed_ms: u64,
    /// Why the endpoint was chosen.
    #[serde(flatten)]
    basis: Basis,
    /// How the attempt ended; `None` while it is in flight.
    #[serde(flatten)]
    verdict: Option<Verdict>,
}

impl Trail {
    /// Opens the trail of a request that arrives at `now`.
    pub fn open(now: Instant) -> Self {
        Self {
            arrived: now,
            objective: None,
            class: None,
            time_to_answer: None,
            attempts: Vec::new(),
            attempt_started: None,
        }
    }

    /// Adds an attempt that starts at `now`.
    pub fn begin_attempt(
        &mut self,
        now: Instant,
        endpoint: &Announcement,
        priority: u8,
        objective: Duration,
        basis: Basis,
    ) {
        self.objective = Some(objective);
        self.class.get_or_insert_with(|| Class {
            service: endpoint.service.to_string(),
            priority,
        });
        self.attempt_started = Some(now);
        self.attempts.push(Attempt {
            endpoint: endpoint.id.clone(),
            at_ms: milliseconds(self.elapsed(now)),
            elapsed_ms: 0,
            basis,
            verdict: None,
        });
    }

    /// Whether an attempt was made.
    pub fn has_attempts(&self) -> bool {
        !self.attempts.is_empty()
    }

    /// Stores when the answer began.
    pub fn begin_answer(&mut self, now: Instant) {
        self.time_to_answer = Some(self.elapsed(now));
    }

    /// Ends the attempt in flight and returns its duration; zero if there is none.
    pub fn end_attempt(&mut self, now: Instant, verdict: Verdict) -> Duration {
        let Some(attempt_started) = self.attempt_started.take() else {
            return Duration::ZERO;
        };
        let took = now.saturating_duration_since(attempt_started);
        if let Some(attempt) = self.attempts.last_mut() {
            attempt.elapsed_ms = milliseconds(took);
            attempt.verdict = Some(verdict);
        }
        took
    }

    /// Logs and counts the end of the request. The log line lists the attempts if the
    /// request failed or was slow.
    pub fn close<C: Clock + 'static, D: Codec>(
        &mut self,
        gateway: &Gateway<C, D>,
        label: &Label,
        verdict: Verdict,
        halt: Option<Halt>,
    ) {
        let now = gateway.driver().clock().now();
        self.end_attempt(now, verdict);
        let detailed = verdict != Verdict::Ran || self.is_slow(now);
        let event = Event::Passed {
            request: &label.request,
            host: &label.host,
            path: &label.path,
            model: &label.model,
            endpoint: self.endpoint(),
            attempts: u32::try_from(self.attempts.len()).unwrap_or(u32::MAX),
            document: gateway.driver().machine().document(),
            verdict,
            halt,
            first_ms: self.time_to_answer.map(milliseconds),
            elapsed_ms: milliseconds(self.elapsed(now)),
            trail: if detailed { &self.attempts } else { &[] },
        };
        gateway.log_sampled(&event, detailed);
        gateway.record_verdict(verdict);
        if let Some(class) = &self.class {
            let latency = gateway.latency();
            latency.observe(class, self.time_to_answer, self.elapsed(now));
        }
    }

    /// The endpoint of the last attempt; empty if there was none.
    pub fn endpoint(&self) -> &str {
        self.attempts.last().map_or("", |attempt| &attempt.endpoint)
    }

    /// The time since the request arrived.
    fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.arrived)
    }

    /// Whether the answer began later than the objective; a buffered answer begins with its
    /// end.
    fn is_slow(&self, now: Instant) -> bool {
        let time_to_answer = self.time_to_answer.unwrap_or_else(|| self.elapsed(now));
        self.objective
            .is_some_and(|objective| time_to_answer > objective)
    }
}

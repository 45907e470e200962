//! A client's request in flight.

use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use nutmegyoke_core::process as decision;
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::gateway::{Command, Event as Input, Halt, allotment, resumption};
use nutmegyoke_core::request::{Passthrough, Reason, Verdict};
use nutmegyoke_wire::connection::convert::milliseconds;

use super::trail::{Label, Trail};
use crate::connection::upstream::Upstream;
use crate::process::driver::Mailbox;
use crate::process::event::{fingerprints, part_names};
use crate::process::{Admission, Codec, Event, Gateway};

/// The shortest time between two progress events of an answer. An endpoint without progress
/// is no longer chosen after several times this period.
const PROGRESS_PERIOD: Duration = Duration::from_millis(200);

/// A request in the gateway's state machine. Dropping the handle before the request has
/// ended means that the client disconnected.
pub struct Handle<C: Clock + 'static, D: Codec> {
    gateway: Rc<Gateway<C, D>>,
    mailbox: Mailbox<decision::Gateway, C>,
    label: Label,
    /// The tokens that the request names.
    usage: Option<u64>,
    trail: Trail,
    /// When the last progress event was fed; `None` after the head of the answer, so that the first
    /// part of the body is reported.
    last_progress: Option<Instant>,
    done: bool,
}

impl<C: Clock + 'static, D: Codec> Handle<C, D> {
    /// Feeds the arrival to the state machine and opens a mailbox for its commands.
    pub fn open(gateway: &Rc<Gateway<C, D>>, id: &str, request: Passthrough<'_>) -> Self {
        let mailbox = gateway.driver().open();
        let now = gateway.driver().clock().now();
        let handle = Self {
            gateway: Rc::clone(gateway),
            label: Label::open(id, &request),
            usage: request.usage,
            trail: Trail::open(now),
            last_progress: Some(now),
            mailbox,
            done: false,
        };
        let call = handle.number();
        handle.feed(Input::Arrived { call, request });
        handle
    }

    /// The number of the request in the state machine.
    pub fn number(&self) -> u64 {
        self.mailbox.number()
    }

    /// The gateway that handles the request.
    pub fn gateway(&self) -> &Rc<Gateway<C, D>> {
        &self.gateway
    }

    /// Waits for the state machine's next command.
    pub async fn next(&mut self) -> Option<Command> {
        self.mailbox.next().await
    }

    /// Polls for the state machine's next command.
    pub fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Command>> {
        self.mailbox.poll(context)
    }

    /// Feeds an event to the state machine.
    pub fn feed(&self, event: Input<'_>) {
        self.gateway.driver().feed(event);
    }

    /// Logs an event of the request, if the sampler allows it.
    pub fn log(&self, event: &Event<'_>) {
        self.gateway.log_sampled(event, false);
    }

    /// Logs a command to queue, decline, throttle, ration, withhold or dispatch the request. A
    /// command to dispatch it also begins an attempt in the trail; the first one counts it for its
    /// tenant.
    /// Logs a command to queue, throttle, reject, withhold or dispatch the request. A command to
    /// dispatch it also begins an attempt in the trail; the first one counts it for its tenant.
    pub fn record_command(&mut self, command: &Command) {
        let request = &self.label.request;
        match command {
            Command::Queued { .. } => self.log(&Event::PutOff { request }),
            Command::Throttled {
                endpoint,
                retry_after,
                ..
            } => self.log(&Event::Throttled {
                request,
                endpoint,
                retry_after_ms: milliseconds(*retry_after),
            }),
            Command::Allotment(allotment::Command::Rejected { rejection, .. }) => {
                let tenant = &rejection.tenant.name;
                let event = Event::QuotaExceeded {
                    request,
                    tenant,
                    units: rejection.needed,
                    balance: rejection.balance,
                    owner: rejection.owner,
                    age_ms: milliseconds(rejection.age),
                    retry_after_ms: milliseconds(rejection.retry_after),
                };
                self.gateway.log_sampled(&event, true);
                self.gateway.tenants().count_rejection(tenant);
            }
            Command::Declined {
                endpoint, start, ..
            } => self.log(&Event::AdmissionDeclined {
                request,
                endpoint,
                start_ms: milliseconds(*start),
            }),
            Command::RefusedEarly { start, limit, .. } => {
                self.gateway.count_admission(Admission::Refused);
                self.log(&Event::RefusedEarly {
                    request,
                    start_ms: milliseconds(*start),
                    limit_ms: milliseconds(*limit),
                });
            }
            Command::Withheld { culprit, .. } => {
                let age = self.now().saturating_duration_since(culprit.latest);
                self.log(&Event::Withheld {
                    request,
                    parts: &part_names(&culprit.features),
                    fingerprints: &fingerprints(&culprit.features),
                    crashes: culprit.crashes,
                    latest_ms: milliseconds(age),
                });
            }
            Command::Dispatch {
                endpoint,
                priority,
                caller,
                objective,
                basis,
                ..
            } => {
                if let Some(tenant) = caller.tenant().filter(|_| !self.trail.has_attempts()) {
                    let tokens = tenant.allotment.tokens(self.usage);
                    self.gateway.tenants().count_request(&tenant.name, tokens);
                }
                let basis = *basis;
                self.log(&Event::Attempted {
                    request,
                    endpoint: &endpoint.id,
                    basis,
                });
                self.gateway.count_choice(&basis);
                let now = self.now();
                // A command to dispatch during an attempt means that the attempt is too slow.
                let verdict = Verdict::may_have_run(Reason::ExpectationMissed);
                self.trail.end_attempt(now, verdict);
                self.trail
                    .begin_attempt(now, endpoint, *priority, *objective, basis);
            }
            _ => {}
        }
    }

    /// Logs whether an engine holds an adapter, as its steward answered the call made at
    /// `asked_at`.
    pub fn log_prepared(&self, endpoint: &str, adapter: &str, asked_at: Instant, held: bool) {
        let elapsed = self.now().saturating_duration_since(asked_at);
        self.log(&Event::Prepared {
            request: &self.label.request,
            endpoint,
            adapter,
            held,
            elapsed_ms: milliseconds(elapsed),
        });
    }

    /// Logs what other processes know of the stream that the request goes on with.
    pub fn log_recalled(&self, answers: &[resumption::Answer]) {
        self.log(&Event::StreamTakenUp {
            request: &self.label.request,
            answers: answers.len(),
            known: answers.iter().any(|answer| answer.build.is_some()),
        });
    }

    /// Reports that the answer begins, after which the request can't be retried.
    pub fn begin_answer(&mut self) {
        let call = self.number();
        self.feed(Input::AnswerStarted { call });
        self.last_progress = None;
        let now = self.now();
        self.trail.begin_answer(now);
    }

    /// Reports that the answer progresses: its first part, then at most once in [`PROGRESS_PERIOD`].
    pub fn progress(&mut self) {
        let now = self.now();
        if self
            .last_progress
            .is_none_or(|last| now >= last + PROGRESS_PERIOD)
        {
            self.last_progress = Some(now);
            let call = self.number();
            self.feed(Input::Progressed { call });
        }
    }

    /// Logs and reports that the attempt failed. The state machine decides whether to retry.
    pub fn fail_attempt(&mut self, verdict: Verdict) {
        let now = self.now();
        let elapsed = self.trail.end_attempt(now, verdict);
        self.log(&Event::AttemptFailed {
            request: &self.label.request,
            endpoint: self.trail.endpoint(),
            verdict,
            elapsed_ms: milliseconds(elapsed),
        });
        let call = self.number();
        self.feed(Input::AttemptEnded { call, verdict });
    }

    /// Reports the verdict of the last attempt to the state machine and closes the request.
    pub fn finish(&mut self, verdict: Verdict) {
        if self.done {
            return;
        }
        let call = self.number();
        self.feed(Input::AttemptEnded { call, verdict });
        self.close(verdict, None);
    }

    /// Logs and counts the end of the request; further calls have no effect. `halt` is why a
    /// failed request was not retried.
    pub fn close(&mut self, verdict: Verdict, halt: Option<Halt>) {
        if self.done {
            return;
        }
        self.done = true;
        self.trail.close(&self.gateway, &self.label, verdict, halt);
    }

    /// Returns a connection to the idle pool.
    pub fn release(&self, upstream: Upstream, keep_alive: Option<Duration>) {
        let now = self.now();
        self.gateway.upstreams().put(now, upstream, keep_alive);
    }

    fn now(&self) -> Instant {
        self.gateway.driver().clock().now()
    }
}

impl<C: Clock + 'static, D: Codec> Drop for Handle<C, D> {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let call = self.number();
        self.feed(Input::Disconnected { call });
        self.close(Verdict::may_have_run(Reason::CallerLeft), None);
    }
}

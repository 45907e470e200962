//! A request's place at the gateway's machine; dropping it gives the place up.

use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use nutmegyoke_core::process as decision;
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::gateway::{Command, Event as Input, Halt};
use nutmegyoke_core::request::{Passthrough, Reason, Verdict};
use nutmegyoke_wire::connection::link::milliseconds;

use super::trail::{Label, Trail};
use crate::connection::upstream::Upstream;
use crate::process::driver::Mailbox;
use crate::process::{Dialect, Event, Gateway};

/// How often the machine is told that an answer goes on: a few times within the time
/// after which a silent endpoint is passed over.
const PROGRESS_PERIOD: Duration = Duration::from_millis(200);

/// A request in flight.
pub struct Ticket<C: Clock + 'static, D: Dialect> {
    gateway: Rc<Gateway<C, D>>,
    mailbox: Mailbox<decision::Gateway, C>,
    label: Label,
    trail: Trail,
    /// When the machine was told last that the answer goes on.
    told: Instant,
    done: bool,
}

impl<C: Clock + 'static, D: Dialect> Ticket<C, D> {
    /// Enters a request.
    pub fn open(gateway: &Rc<Gateway<C, D>>, id: &str, passage: Passthrough<'_>) -> Self {
        let mailbox = gateway.driver().open();
        let now = gateway.driver().clock().now();
        let ticket = Self {
            gateway: Rc::clone(gateway),
            label: Label::open(id, &passage),
            trail: Trail::open(now),
            told: now,
            mailbox,
            done: false,
        };
        let call = ticket.number();
        ticket.feed(Input::Arrived { call, passage });
        ticket
    }

    /// The number of the request at the machine.
    pub fn number(&self) -> u64 {
        self.mailbox.number()
    }

    /// The gateway that the request is at.
    pub fn gateway(&self) -> &Rc<Gateway<C, D>> {
        &self.gateway
    }

    /// Waits for the next command.
    pub async fn next(&mut self) -> Option<Command> {
        self.mailbox.next().await
    }

    /// Looks for a command without waiting.
    pub fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Command>> {
        self.mailbox.poll(context)
    }

    /// Feeds the machine.
    pub fn feed(&self, event: Input<'_>) {
        self.gateway.driver().feed(event);
    }

    /// Logs a decision on the request.
    pub fn report(&self, event: &Event<'_>) {
        self.gateway.report(event, false);
    }

    /// Notes a command of the machine that decides something on the request.
    pub fn note(&mut self, command: &Command) {
        let request = &self.label.request;
        match command {
            Command::PutOff { .. } => self.report(&Event::PutOff { request }),
            Command::Dispatch {
                endpoint,
                rank,
                objective,
                basis,
                ..
            } => {
                let basis = *basis;
                self.report(&Event::Attempted {
                    request,
                    endpoint: &endpoint.id,
                    basis,
                });
                let now = self.now();
                // An attempt that is still under way has taken too long.
                let verdict = Verdict::may_have_run(Reason::ExpectationMissed);
                self.trail.end(now, verdict);
                self.trail.attempt(now, endpoint, *rank, *objective, basis);
            }
            _ => {}
        }
    }

    /// Notes how the steward of an engine answered; `since` is when it was asked.
    pub fn prepared(&self, endpoint: &str, adapter: &str, since: Instant, held: bool) {
        let took = self.now().saturating_duration_since(since);
        self.report(&Event::Prepared {
            request: &self.label.request,
            endpoint,
            adapter,
            held,
            elapsed_ms: milliseconds(took),
        });
    }

    /// Tells the machine that the endpoint's answer is passed on from now.
    pub fn begin(&mut self) {
        let call = self.number();
        self.feed(Input::Begun { call });
        let now = self.now();
        self.trail.begin(now);
    }

    /// Tells the machine now and then that more of the answer came.
    pub fn progress(&mut self) {
        let now = self.now();
        if now >= self.told + PROGRESS_PERIOD {
            self.told = now;
            let call = self.number();
            self.feed(Input::Progressed { call });
        }
    }

    /// Tells the machine that the attempt failed; what follows is up to it.
    pub fn fail(&mut self, verdict: Verdict) {
        let now = self.now();
        let took = self.trail.end(now, verdict);
        self.report(&Event::AttemptFailed {
            request: &self.label.request,
            endpoint: self.trail.endpoint(),
            verdict,
            elapsed_ms: milliseconds(took),
        });
        let call = self.number();
        self.feed(Input::Settled { call, verdict });
    }

    /// Tells the machine how the last attempt went, after which nothing follows.
    pub fn settle(&mut self, verdict: Verdict) {
        if self.done {
            return;
        }
        let call = self.number();
        self.feed(Input::Settled { call, verdict });
        self.close(verdict, None);
    }

    /// Notes that the machine has given the request up.
    pub fn close(&mut self, verdict: Verdict, halt: Option<Halt>) {
        if self.done {
            return;
        }
        self.done = true;
        self.trail.close(&self.gateway, &self.label, verdict, halt);
    }

    /// Keeps a connection to an endpoint for later requests.
    pub fn keep(&self, upstream: Upstream, keep_alive: Option<Duration>) {
        let now = self.now();
        self.gateway.upstreams().keep(now, upstream, keep_alive);
    }

    fn now(&self) -> Instant {
        self.gateway.driver().clock().now()
    }
}

impl<C: Clock + 'static, D: Dialect> Drop for Ticket<C, D> {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let call = self.number();
        self.feed(Input::Left { call });
        self.close(Verdict::may_have_run(Reason::CallerLeft), None);
    }
}

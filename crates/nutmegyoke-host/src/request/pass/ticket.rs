//! A request's place at the gateway's machine; dropping it gives the place up.

use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use nutmegyoke_core::process as decision;
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::gateway::{Command, Event as Input};
use nutmegyoke_core::request::{Passage, Reason, Verdict};
use nutmegyoke_wire::connection::link::milliseconds;

use crate::connection::upstream::Upstream;
use crate::process::driver::Mailbox;
use crate::process::{Dialect, Event, Gateway};

/// A request in flight.
pub struct Ticket<C: Clock + 'static, D: Dialect> {
    gateway: Rc<Gateway<C, D>>,
    mailbox: Mailbox<decision::Gateway, C>,
    /// The client's name for the request.
    id: String,
    started: Instant,
    done: bool,
    attempts: u32,
    endpoint: String,
}

impl<C: Clock + 'static, D: Dialect> Ticket<C, D> {
    /// Enters a request.
    pub fn open(gateway: &Rc<Gateway<C, D>>, id: &str, passage: Passage<'_>) -> Self {
        let mailbox = gateway.driver().open();
        let ticket = Self {
            gateway: Rc::clone(gateway),
            id: id.to_owned(),
            started: gateway.driver().clock().now(),
            mailbox,
            done: false,
            attempts: 0,
            endpoint: String::new(),
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

    /// Notes which endpoint the next attempt is for.
    pub fn attempt(&mut self, endpoint: &str) {
        self.attempts += 1;
        endpoint.clone_into(&mut self.endpoint);
    }

    /// Tells the machine how the last attempt went, after which nothing follows.
    pub fn settle(&mut self, verdict: Verdict) {
        if self.done {
            return;
        }
        let call = self.number();
        self.feed(Input::Settled { call, verdict });
        self.close(verdict);
    }

    /// Notes that the machine has given the request up.
    pub fn close(&mut self, verdict: Verdict) {
        if self.done {
            return;
        }
        self.done = true;
        let now = self.gateway.driver().clock().now();
        let event = Event::Passed {
            request: &self.id,
            endpoint: &self.endpoint,
            attempts: self.attempts,
            verdict,
            elapsed_ms: milliseconds(now.saturating_duration_since(self.started)),
        };
        self.gateway.account(&event, verdict);
    }

    /// Keeps a connection to an endpoint for later requests.
    pub fn keep(&self, upstream: Upstream, keep_alive: Option<Duration>) {
        let now = self.gateway.driver().clock().now();
        self.gateway.upstreams().keep(now, upstream, keep_alive);
    }
}

impl<C: Clock + 'static, D: Dialect> Drop for Ticket<C, D> {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let call = self.number();
        self.feed(Input::Left { call });
        self.close(Verdict::MayHaveRun {
            reason: Reason::CallerLeft,
        });
    }
}

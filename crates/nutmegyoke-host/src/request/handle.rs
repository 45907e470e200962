//! A caller's request in the entry's machine.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use nutmegyoke_core::process as decision;
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::entry::{Command, Event};
use nutmegyoke_core::request::arrival::Subject;
use nutmegyoke_core::request::claim::Outcome;
use nutmegyoke_core::request::{Arrival, Id, Pace, Verdict};
use nutmegyoke_wire::request::Meter;

use crate::process::Entry;
use crate::process::driver::Mailbox;

/// A request in the entry's machine; dropping it tells that the caller left.
pub struct Handle<C: Clock + 'static> {
    entry: Rc<Entry<C>>,
    mailbox: Mailbox<decision::Entry, C>,
    /// When another try may succeed, as the last agent told.
    retry_after: Cell<Duration>,
    meter: RefCell<Meter>,
    /// Tokens of the prompt, estimated.
    prompt_tokens: u64,
    /// `None` for a request that was not admitted.
    latency: RefCell<Option<Pace>>,
    answered: Cell<bool>,
}

impl<C: Clock + 'static> Handle<C> {
    /// Feeds the arrival to the machine; its commands come to the mailbox.
    pub fn open(entry: &Rc<Entry<C>>, arrival: &Arrival<'_>) -> Self {
        let mailbox = entry.driver().open();
        let number = mailbox.number();
        entry.driver().feed(Event::Arrived { number, arrival });
        let latency = entry.driver().machine().quotas().pace(number).cloned();
        let prompt_tokens = match arrival.subject {
            Subject::Completion { prompt, .. } => prompt.into(),
            Subject::Call { .. } => 0,
        };
        Self {
            entry: Rc::clone(entry),
            mailbox,
            retry_after: Cell::default(),
            meter: RefCell::default(),
            prompt_tokens,
            latency: RefCell::new(latency),
            answered: Cell::new(false),
        }
    }

    /// The request's identity across processes.
    #[must_use]
    pub fn id(&self) -> Id {
        self.entry.driver().machine().id(self.mailbox.number())
    }

    /// Remembers when another try may succeed, as an agent told.
    pub fn set_retry_after(&self, retry_after: Duration) {
        self.retry_after.set(retry_after);
    }

    /// When another try may succeed, if anyone told.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        let retry_after = self.retry_after.get();
        (!retry_after.is_zero()).then_some(retry_after)
    }

    /// Takes in a part of the answer, to count its tokens and to compare its pace
    /// with the plan's expectations.
    pub fn record_part(&self, data: &[u8]) {
        let mut meter = self.meter.borrow_mut();
        let events = meter.add(data);
        let now = self.entry.driver().clock().now();
        if let Some(latency) = self.latency.borrow_mut().as_mut() {
            for _ in 0..events {
                self.entry.metrics().attainment.token(latency, now);
            }
        }
    }

    /// Takes in the whole of an answer that is not streamed.
    pub fn record_body(&self, body: &[u8]) {
        self.meter.borrow_mut().whole(body);
    }

    /// The entry that has the request.
    #[must_use]
    pub fn entry(&self) -> &Entry<C> {
        &self.entry
    }

    /// Waits for the machine's next command.
    pub async fn next(&mut self) -> Option<Command> {
        self.mailbox.next().await
    }

    /// Tells how control answered the wish for a claim.
    pub fn claim_decided(&self, outcome: Option<&Outcome>) {
        let number = self.mailbox.number();
        self.entry.driver().feed(match outcome {
            Some(outcome) => Event::Judged { number, outcome },
            None => Event::Unclaimed { number },
        });
    }

    /// Tells that the agent no longer keeps the answer that was recalled.
    pub fn answer_gone(&self) {
        let number = self.mailbox.number();
        self.entry.driver().feed(Event::Forgotten { number });
    }

    /// Tells that the first part of the answer is about to reach the caller.
    pub fn started(&self) {
        let number = self.mailbox.number();
        self.entry.driver().feed(Event::Started { number });
    }

    /// Tells the load that the agent reported with the end of an attempt.
    pub fn load_reported(&self, load: Option<u32>) {
        if let Some(load) = load {
            let number = self.mailbox.number();
            self.entry.driver().feed(Event::Reported { number, load });
        }
    }

    /// Tells how the attempt in flight ended.
    pub fn end_attempt(&self, verdict: Verdict) {
        let number = self.mailbox.number();
        self.answered.set(verdict == Verdict::Ran);
        self.entry.driver().feed(Event::Settled { number, verdict });
    }
}

impl<C: Clock + 'static> Drop for Handle<C> {
    fn drop(&mut self) {
        let number = self.mailbox.number();
        let driver = self.entry.driver();
        if let Some(latency) = self.latency.take() {
            let now = driver.clock().now();
            let attainment = &self.entry.metrics().attainment;
            attainment.end(&latency, now, self.answered.get());
        }
        if let Some(tokens) = self.meter.borrow().tokens(self.prompt_tokens) {
            driver.feed(Event::Metered { number, tokens });
        }
        self.entry.driver().feed(Event::Left { number });
    }
}

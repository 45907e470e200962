//! A caller's request in flight.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use nutmegyoke_core::process as decision;
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::entry::{Command, Event};
use nutmegyoke_core::request::arrival::Subject;
use nutmegyoke_core::request::claim::Outcome;
use nutmegyoke_core::request::{Arrival, Id, Latency, Verdict};
use nutmegyoke_wire::request::Meter;

use crate::process::Entry;
use crate::process::driver::Mailbox;

/// A request in the entry's state machine. Dropping the handle removes it: the request was
/// answered, or its caller disconnected.
pub struct Handle<C: Clock + 'static> {
    entry: Rc<Entry<C>>,
    mailbox: Mailbox<decision::Entry, C>,
    /// The time after which a retry may succeed, as the last agent reported it; zero if
    /// unknown.
    retry_after: Cell<Duration>,
    meter: RefCell<Meter>,
    /// The estimated tokens of the prompt; 0 for a call of a service.
    prompt_tokens: u64,
    /// Compares the answer with the plan's expectations; `None` if the request was not
    /// admitted.
    latency: RefCell<Option<Latency>>,
    answered: Cell<bool>,
}

impl<C: Clock + 'static> Handle<C> {
    /// Feeds the arrival to the state machine and opens a mailbox for its commands.
    pub fn open(entry: &Rc<Entry<C>>, arrival: &Arrival<'_>) -> Self {
        let mailbox = entry.driver().open();
        let number = mailbox.number();
        entry.driver().feed(Event::Arrived { number, arrival });
        let latency = entry.driver().machine().quotas().latency(number).cloned();
        let prompt_tokens = match arrival.subject {
            Subject::Completion { prompt_tokens, .. } => prompt_tokens.into(),
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

    /// The request's ID, which is unique across processes.
    #[must_use]
    pub fn id(&self) -> Id {
        self.entry.driver().machine().id(self.mailbox.number())
    }

    /// Stores how long to wait before a retry, as an agent reported it.
    pub fn set_retry_after(&self, retry_after: Duration) {
        self.retry_after.set(retry_after);
    }

    /// How long to wait before a retry, if an agent reported it.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        let retry_after = self.retry_after.get();
        (!retry_after.is_zero()).then_some(retry_after)
    }

    /// Counts the tokens of a part of a streamed answer and compares their latency with
    /// the plan's expectations.
    pub fn record_part(&self, data: &[u8]) {
        let mut meter = self.meter.borrow_mut();
        let events = meter.add_part(data);
        let now = self.entry.driver().clock().now();
        if let Some(latency) = self.latency.borrow_mut().as_mut() {
            for _ in 0..events {
                self.entry.metrics().attainment.observe_token(latency, now);
            }
        }
    }

    /// Counts the tokens of a complete answer.
    pub fn record_body(&self, body: &[u8]) {
        self.meter.borrow_mut().read_usage(body);
    }

    /// The entry that handles the request.
    #[must_use]
    pub fn entry(&self) -> &Entry<C> {
        &self.entry
    }

    /// Waits for the state machine's next command.
    pub async fn next(&mut self) -> Option<Command> {
        self.mailbox.next().await
    }

    /// Reports the outcome of a claim request to the state machine; `None` if no control
    /// process answered.
    pub fn report_claim(&self, outcome: Option<&Outcome>) {
        let number = self.mailbox.number();
        self.entry.driver().feed(match outcome {
            Some(outcome) => Event::ClaimDecided { number, outcome },
            None => Event::ClaimUnanswered { number },
        });
    }

    /// Reports that the agent no longer has the cached answer.
    pub fn report_answer_gone(&self) {
        let number = self.mailbox.number();
        self.entry.driver().feed(Event::AnswerGone { number });
    }

    /// Reports that the answer begins, after which the request can't be retried.
    pub fn begin_answer(&self) {
        let number = self.mailbox.number();
        self.entry.driver().feed(Event::AnswerStarted { number });
    }

    /// Reports the endpoint's load, if the agent returned it with the attempt's result.
    pub fn report_load(&self, load: Option<u32>) {
        if let Some(load) = load {
            let number = self.mailbox.number();
            self.entry
                .driver()
                .feed(Event::LoadReported { number, load });
        }
    }

    /// Reports the verdict of the attempt in flight.
    pub fn end_attempt(&self, verdict: Verdict) {
        let number = self.mailbox.number();
        self.answered.set(verdict == Verdict::Ran);
        self.entry
            .driver()
            .feed(Event::AttemptEnded { number, verdict });
    }
}

impl<C: Clock + 'static> Drop for Handle<C> {
    fn drop(&mut self) {
        let number = self.mailbox.number();
        let driver = self.entry.driver();
        if let Some(latency) = self.latency.take() {
            let now = driver.clock().now();
            let attainment = &self.entry.metrics().attainment;
            attainment.observe_end(&latency, now, self.answered.get());
        }
        if let Some(tokens) = self.meter.borrow().tokens(self.prompt_tokens) {
            driver.feed(Event::Metered { number, tokens });
        }
        self.entry.driver().feed(Event::Disconnected { number });
    }
}

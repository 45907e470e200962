//! A caller's request in the entry's machine.

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

/// A request in the entry's machine; dropping it tells that the caller left.
pub struct Ticket<C: Clock + 'static> {
    entry: Rc<Entry<C>>,
    mailbox: Mailbox<decision::Entry, C>,
    /// When another try may succeed, as the last agent told.
    hint: Cell<Duration>,
    meter: RefCell<Meter>,
    /// Tokens of the prompt, estimated.
    prompt: u64,
    /// `None` for a request that was not admitted.
    pace: RefCell<Option<Latency>>,
    answered: Cell<bool>,
}

impl<C: Clock + 'static> Ticket<C> {
    /// Feeds the arrival to the machine; its commands come to the mailbox.
    pub fn open(entry: &Rc<Entry<C>>, arrival: &Arrival<'_>) -> Self {
        let mailbox = entry.driver().open();
        let number = mailbox.number();
        entry.driver().feed(Event::Arrived { number, arrival });
        let pace = entry.driver().machine().quotas().latency(number).cloned();
        let prompt = match arrival.subject {
            Subject::Completion { prompt_tokens, .. } => prompt_tokens.into(),
            Subject::Call { .. } => 0,
        };
        Self {
            entry: Rc::clone(entry),
            mailbox,
            hint: Cell::default(),
            meter: RefCell::default(),
            prompt,
            pace: RefCell::new(pace),
            answered: Cell::new(false),
        }
    }

    /// The request's identity across processes.
    #[must_use]
    pub fn id(&self) -> Id {
        self.entry.driver().machine().id(self.mailbox.number())
    }

    /// Remembers when another try may succeed, as an agent told.
    pub fn hint(&self, after: Duration) {
        self.hint.set(after);
    }

    /// When another try may succeed, if anyone told.
    #[must_use]
    pub fn after(&self) -> Option<Duration> {
        let hint = self.hint.get();
        (!hint.is_zero()).then_some(hint)
    }

    /// Takes in a part of the answer, to count its tokens and to compare its pace
    /// with the plan's expectations.
    pub fn part(&self, data: &[u8]) {
        let mut meter = self.meter.borrow_mut();
        let events = meter.add(data);
        let now = self.entry.driver().clock().now();
        if let Some(pace) = self.pace.borrow_mut().as_mut() {
            for _ in 0..events {
                self.entry.metrics().attainment.token(pace, now);
            }
        }
    }

    /// Takes in the whole of an answer that is not streamed.
    pub fn whole(&self, body: &[u8]) {
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
    pub fn judged(&self, outcome: Option<&Outcome>) {
        let number = self.mailbox.number();
        self.entry.driver().feed(match outcome {
            Some(outcome) => Event::ClaimDecided { number, outcome },
            None => Event::ClaimUnanswered { number },
        });
    }

    /// Tells that the agent no longer keeps the answer that was recalled.
    pub fn forgotten(&self) {
        let number = self.mailbox.number();
        self.entry.driver().feed(Event::AnswerGone { number });
    }

    /// Tells that the first part of the answer is about to reach the caller.
    pub fn started(&self) {
        let number = self.mailbox.number();
        self.entry.driver().feed(Event::Started { number });
    }

    /// Tells the load that the agent reported with the end of an attempt.
    pub fn reported(&self, load: Option<u32>) {
        if let Some(load) = load {
            let number = self.mailbox.number();
            self.entry
                .driver()
                .feed(Event::LoadReported { number, load });
        }
    }

    /// Tells how the attempt in flight ended.
    pub fn settle(&self, verdict: Verdict) {
        let number = self.mailbox.number();
        self.answered.set(verdict == Verdict::Ran);
        self.entry
            .driver()
            .feed(Event::AttemptEnded { number, verdict });
    }
}

impl<C: Clock + 'static> Drop for Ticket<C> {
    fn drop(&mut self) {
        let number = self.mailbox.number();
        let driver = self.entry.driver();
        if let Some(pace) = self.pace.take() {
            let now = driver.clock().now();
            let attainment = &self.entry.metrics().attainment;
            attainment.end(&pace, now, self.answered.get());
        }
        if let Some(tokens) = self.meter.borrow().tokens(self.prompt) {
            driver.feed(Event::Metered { number, tokens });
        }
        self.entry.driver().feed(Event::Dropped { number });
    }
}

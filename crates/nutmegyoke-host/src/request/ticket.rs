//! A caller's request in the entry's machine.

use std::rc::Rc;

use nutmegyoke_core::process as decision;
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::entry::{Command, Event};
use nutmegyoke_core::request::claim::Outcome;
use nutmegyoke_core::request::{Arrival, Verdict};

use crate::process::Entry;
use crate::process::driver::Mailbox;

/// A request in the entry's machine; dropping it tells that the caller left.
pub struct Ticket<C: Clock + 'static> {
    entry: Rc<Entry<C>>,
    mailbox: Mailbox<decision::Entry, C>,
}

impl<C: Clock + 'static> Ticket<C> {
    /// Feeds the arrival to the machine; its commands come to the mailbox.
    pub fn open(entry: &Rc<Entry<C>>, arrival: &Arrival<'_>) -> Self {
        let mailbox = entry.driver().open();
        let number = mailbox.number();
        entry.driver().feed(Event::Arrived { number, arrival });
        Self {
            entry: Rc::clone(entry),
            mailbox,
        }
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
            Some(outcome) => Event::Judged { number, outcome },
            None => Event::Unclaimed { number },
        });
    }

    /// Tells that the agent no longer keeps the answer that was recalled.
    pub fn forgotten(&self) {
        let number = self.mailbox.number();
        self.entry.driver().feed(Event::Forgotten { number });
    }

    /// Tells that the first part of the answer is about to reach the caller.
    pub fn started(&self) {
        let number = self.mailbox.number();
        self.entry.driver().feed(Event::Started { number });
    }

    /// Tells how the attempt in flight ended.
    pub fn settle(&self, verdict: Verdict) {
        let number = self.mailbox.number();
        self.entry.driver().feed(Event::Settled { number, verdict });
    }
}

impl<C: Clock + 'static> Drop for Ticket<C> {
    fn drop(&mut self) {
        let number = self.mailbox.number();
        self.entry.driver().feed(Event::Left { number });
    }
}

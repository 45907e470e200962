//! Finds out whether a newer routing document is in force.
//!
//! Documents usually come through the replicated log. A gateway that can't receive the log, because
//! its leader or the connections to it are gone, still hears of newer documents by gossip, and
//! fetches them.
//!
//! An old document may lack a route that has been added. So before a request is refused for lack
//! of a route, the leader confirms that the document is the newest.
//! For routes, keys and quotas that were changed since, see [`super::lease`].

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::refusal::refuse_until;
use super::{Command, Gateway, Halt, Sink};
use crate::request::{Reason, Verdict};

/// How long the log may take to bring a document that another gateway has. Usually all gateways
/// have it within one round trip.
const LOG_GRACE: Duration = Duration::from_millis(250);

/// For each other gateway, the longest time that a fetch is put off at random: all gateways hear
/// of a document at once, most of them from the leader, whose link must not be busy for long.
const FETCH_SPREAD: Duration = Duration::from_millis(30);

/// The longest time that a fetch is put off, however many gateways there are.
const MAX_FETCH_SPREAD: Duration = Duration::from_secs(1);

/// The delay before a document is fetched again.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(600);

/// The shortest time between two confirmations. It bounds their number, whatever clients request;
/// those that ask for an unknown path meanwhile wait.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(200);

/// How long a client should wait if no leader confirms the document: an election takes about as
/// long.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The leader's confirmation that the routing document is the newest.
#[derive(Clone, Copy, Debug, Default)]
pub struct Confirmation {
    /// When the leader was last asked.
    asked_at: Option<Instant>,
    /// Whether its answer is still to come.
    pending: bool,
    /// When the leader was asked for the latest that it gave. It says nothing of documents that
    /// were published later.
    confirmed_at: Option<Instant>,
}

impl Confirmation {
    /// When the leader may be asked again; `None` if it never was.
    fn due(&self) -> Option<Instant> {
        self.asked_at.map(|at| at + CONFIRMATION_INTERVAL)
    }
}

/// A newer routing document that another gateway has in force.
#[derive(Clone, Copy, Debug)]
pub struct Newer {
    number: u64,
    /// Where the gateway that has it receives gossip.
    gateway: SocketAddr,
    /// When it is fetched.
    due: Instant,
}

impl Newer {
    pub fn number(&self) -> u64 {
        self.number
    }

    pub fn due(&self) -> Instant {
        self.due
    }
}

impl Gateway {
    /// The number of the routing document in force; 0 if there is none.
    #[must_use]
    pub fn document(&self) -> u64 {
        self.routing.as_ref().map_or(0, |routing| routing.number())
    }

    /// Records the number of the document that another gateway has in force.
    pub(super) fn hear_document(&mut self, now: Instant, gateway: SocketAddr, number: u64) {
        if self.gossip.is_empty() {
            self.allotments.heard.insert(gateway);
        }
        if number <= self.document().max(self.undecodable) {
            return;
        }
        let due = match self.newer {
            Some(newer) => newer.due,
            None => now + LOG_GRACE + self.fetch_spread(),
        };
        if self.newer.is_none_or(|newer| newer.number <= number) {
            self.newer = Some(Newer {
                number,
                gateway,
                due,
            });
        }
    }

    /// Fetches a newer document that the log did not bring in time.
    pub(super) fn fetch_document<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let document = self.document();
        self.newer = self.newer.filter(|newer| document < newer.number);
        if self.newer.is_none_or(|newer| now < newer.due) {
            return;
        }
        let spread = self.fetch_spread();
        let Some(newer) = self.newer.as_mut() else {
            return;
        };
        newer.due = now + FETCH_RETRY_DELAY + spread;
        out.push(Command::Fetch {
            gateway: newer.gateway,
            above: document,
        });
    }

    /// A random time that a fetch is put off.
    fn fetch_spread(&mut self) -> Duration {
        let gateways = u32::try_from(self.gossip.len()).unwrap_or(u32::MAX);
        let longest = FETCH_SPREAD.saturating_mul(gateways).min(MAX_FETCH_SPREAD);
        longest.mul_f64(self.rng.f64())
    }

    /// Whether the document was the newest when a request had arrived.
    pub(super) fn is_document_confirmed(&self, arrived: Instant) -> bool {
        let confirmed_at = self.confirmation.confirmed_at;
        self.newer.is_none() && confirmed_at.is_some_and(|at| arrived <= at)
    }

    /// Asks the leader to confirm the document if requests wait for that and it is due.
    pub(super) fn confirm_document<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let awaited = self.is_confirmation_awaited();
        if awaited && self.confirmation.due().is_none_or(|due| due <= now) {
            self.confirmation.asked_at = Some(now);
            self.confirmation.pending = true;
            out.push(Command::Confirm);
        }
    }

    /// When the leader is asked again, if requests wait for that.
    pub(super) fn confirmation_due(&self) -> Option<Instant> {
        let due = self.confirmation.due();
        due.filter(|_| self.is_confirmation_awaited())
    }

    fn is_confirmation_awaited(&self) -> bool {
        self.routing.is_some() && self.queue.unrouted() > 0 && !self.confirmation.pending
    }

    /// Routes the requests that waited for the confirmation. `newest` is the number of the
    /// newest document; if it is not known, or not in force here, they are refused.
    pub(super) fn document_confirmed<S>(&mut self, now: Instant, newest: Option<u64>, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        self.confirmation.pending = false;
        let document = self.document();
        if newest.is_some_and(|newest| newest <= document) {
            self.confirmation.confirmed_at = self.confirmation.asked_at;
            self.lease.renew(self.confirmation.asked_at);
            self.newer = self.newer.filter(|newer| document < newer.number);
            return self.admit_unrouted(now, out);
        }
        for number in self.queue.take_unrouted() {
            let verdict = Verdict::not_run(Reason::Unconfirmed);
            refuse_until(number, verdict, Halt::Untried, UNCONFIRMED_RETRY_AFTER, out);
        }
    }
}

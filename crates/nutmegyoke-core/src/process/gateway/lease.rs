//! The time for which a routing document is obeyed after a newer one has replaced it.
//!
//! Routes, keys and quotas may have been changed since a document was published. A gateway keeps track of
//! when its document was last known to be the newest, by the replica beside it or by the leader. Once
//! that is longer ago than a document may take to be in force, and while it knows of a newer one,
//! requests wait for that. A gateway that knows of none goes on: without control, the document that
//! it has is the best there is.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::{Command, Gateway, Sink};

/// The part of a lease after which it is renewed.
const RENEWAL_DIVISOR: u32 = 2;

/// The part of a lease that is left for the way of the message that renewed it.
const TRANSIT_DIVISOR: u32 = 8;

/// The shortest time between two attempts to renew a lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);

/// How many newer documents are remembered for [`Lease::ahead`]. One comes with each renewal, so
/// these are of more time than a lease has.
const MAX_AHEAD: usize = 16;

/// How long the routing document may be obeyed without knowing that it is the newest.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    /// The time in which a document has to be in force everywhere; without it there is no lease.
    length: Option<Duration>,
    /// The latest time at which the document is known to have been the newest.
    current_at: Option<Instant>,
    /// The documents that are not in force here yet, each with a time at which it was the newest.
    ahead: VecDeque<(u64, Instant)>,
    /// When the last attempt to renew the lease began.
    asked_at: Option<Instant>,
    /// Whether that attempt has not ended.
    pending: bool,
    /// Whether it was reported that the lease ran out.
    reported: bool,
}

impl Lease {
    pub fn open(length: Option<Duration>) -> Self {
        Self {
            length,
            ..Self::default()
        }
    }

    /// Counts the lease from `at`, if the document was the newest then and not known to be so later.
    pub(super) fn renew(&mut self, at: Option<Instant>) {
        self.current_at = self.current_at.max(at);
    }

    /// Whether the document may be obeyed even if there is a newer one.
    fn is_valid(&self, now: Instant) -> bool {
        let Some(length) = self.length else {
            return true;
        };
        let transit = length / TRANSIT_DIVISOR;
        self.current_at
            .is_some_and(|at| now + transit < at + length)
    }

    /// When the lease is renewed; `None` if there is none, or an attempt is under way.
    fn renewal_due(&self) -> Option<Instant> {
        let length = self.length.filter(|_| !self.pending)?;
        let due = self.current_at.map(|at| at + length / RENEWAL_DIVISOR);
        let retry = self.asked_at.map(|at| at + RENEWAL_INTERVAL);
        due.max(retry)
    }
}

impl Gateway {
    /// Whether a newer document is known, and this one may no longer be obeyed.
    pub(super) fn is_document_outdated(&self, now: Instant) -> bool {
        let is_replaced = self.newer.is_some() || !self.lease.ahead.is_empty();
        is_replaced && !self.lease.is_valid(now)
    }

    /// Records that the document with this number can't be decoded, so that there is no use in waiting
    /// for it.
    pub(super) fn skip_document(&mut self, number: u64) {
        self.undecodable = self.undecodable.max(number);
        self.extend_lease();
    }

    /// Renews the lease on the document if that is due, and reports when it runs out.
    pub(super) fn renew_lease<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        if self.routing.is_none() || self.lease.length.is_none() {
            return;
        }
        let outdated = self.is_document_outdated(now);
        if outdated && !self.lease.reported {
            let current_at = self.lease.current_at;
            let heard = self.newer.map(|newer| newer.number());
            let told = self.lease.ahead.iter().map(|&(number, _)| number);
            out.push(Command::ReportOutdated {
                number: self.document(),
                newer: told.chain(heard).max().unwrap_or_default(),
                age: current_at.map(|at| now.saturating_duration_since(at)),
            });
        }
        self.lease.reported = outdated;
        let due = self.lease.renewal_due();
        if !self.lease.pending && due.is_none_or(|due| due <= now) {
            self.lease.asked_at = Some(now);
            self.lease.pending = true;
            let longest = self.lease.length.unwrap_or_default() / RENEWAL_DIVISOR;
            out.push(Command::RenewLease {
                since: now.checked_sub(longest).unwrap_or(now),
            });
        }
    }

    /// When the lease on the document is renewed, if there is one.
    pub(super) fn lease_due(&self) -> Option<Instant> {
        self.routing.as_ref().and(self.lease.renewal_due())
    }

    /// Records which document was the newest at a time; `None` if no leader answered.
    pub(super) fn lease_answered(&mut self, newest: Option<(u64, Instant)>) {
        self.lease.pending = false;
        if let Some((number, at)) = newest {
            if self.lease.ahead.len() >= MAX_AHEAD {
                self.lease.ahead.pop_front();
            }
            self.lease.ahead.push_back((number, at));
            self.extend_lease();
        }
    }

    /// Counts the lease from the latest time at which the document in force was the newest, and forgets
    /// of newer ones what is in force now.
    pub(super) fn extend_lease(&mut self) {
        let document = self.document().max(self.undecodable);
        self.newer = self.newer.filter(|newer| document < newer.number());
        let ahead = std::mem::take(&mut self.lease.ahead);
        let (reached, ahead): (VecDeque<_>, VecDeque<_>) = ahead
            .into_iter()
            .partition(|&(number, _)| number <= document);
        self.lease.ahead = ahead;
        self.lease
            .renew(reached.into_iter().map(|(_, at)| at).max());
    }
}

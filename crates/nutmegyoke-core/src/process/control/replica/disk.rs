//! What of a replica's log and vote is synced, on the way, or not written yet.

use super::event::Vote;
use super::log::{Log, Position};

/// How far the journal has got. One batch is in flight at a time, and all
/// that comes up meanwhile goes into the next one.
#[derive(Clone, Debug)]
pub struct Disk {
    /// The vote on the disk.
    pub vote: Vote,
    /// The last index on the disk that still agrees with the log.
    pub synced: u64,
    /// The first index that no batch has carried.
    pub next: u64,
    /// Whether the next batch replaces the whole journal.
    pub replace_journal: bool,
    /// Whether the disk is full.
    pub full: bool,
    ticket: u64,
    in_flight: Option<Write>,
}

#[derive(Clone, Copy, Debug)]
struct Write {
    ticket: u64,
    vote: Vote,
    last: Position,
}

impl Disk {
    /// Opens with what was recovered.
    #[must_use]
    pub fn open(vote: Vote, last: u64) -> Self {
        Self {
            vote,
            synced: last,
            next: last + 1,
            replace_journal: false,
            full: false,
            ticket: 0,
            in_flight: None,
        }
    }

    /// The entries from `index` on were replaced.
    pub fn truncate(&mut self, index: u64) {
        self.synced = self.synced.min(index - 1);
        self.next = self.next.min(index);
    }

    /// The next batch carries a snapshot and the entries from `index` on.
    pub fn rewrite(&mut self, index: u64) {
        self.replace_journal = true;
        self.next = index;
    }

    /// Whether a batch has to be, and can be, started.
    #[must_use]
    pub fn needs_batch(&self, vote: Vote, last: Position) -> bool {
        let behind = vote != self.vote || self.next <= last.index || self.replace_journal;
        self.in_flight.is_none() && behind
    }

    /// Starts a batch and returns its ticket.
    pub fn start(&mut self, vote: Vote, last: Position) -> u64 {
        self.ticket += 1;
        self.next = last.index + 1;
        self.replace_journal = false;
        self.in_flight = Some(Write {
            ticket: self.ticket,
            vote,
            last,
        });
        self.ticket
    }

    /// Ends the batch in flight; what was replaced meanwhile doesn't count.
    pub fn finish<T: Clone>(&mut self, ticket: u64, log: &Log<T>) {
        let Some(in_flight) = self
            .in_flight
            .take_if(|in_flight| in_flight.ticket == ticket)
        else {
            return;
        };
        self.full = false;
        self.vote = in_flight.vote;
        if log.term(in_flight.last.index) == Some(in_flight.last.term) {
            self.synced = self.synced.max(in_flight.last.index);
        }
    }
}

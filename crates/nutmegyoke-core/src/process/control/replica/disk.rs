//! Tracks which part of a replica's log and vote is synced, in flight or unwritten.

use super::event::Vote;
use super::log::{Log, Position};

/// The progress of the journal on the disk. One batch is in flight at a time;
/// changes made meanwhile go into the next one.
#[derive(Clone, Debug)]
pub struct Disk {
    /// The last synced vote.
    pub vote: Vote,
    /// The last synced index whose entry still matches the log.
    pub synced: u64,
    /// The first index that is in no batch yet.
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
    /// Opens with the vote and the last index recovered from the disk.
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

    /// Records that the entries from `index` on were replaced.
    pub fn truncate(&mut self, index: u64) {
        self.synced = self.synced.min(index - 1);
        self.next = self.next.min(index);
    }

    /// Makes the next batch replace the journal by a snapshot and the entries from
    /// `index` on.
    pub fn rewrite(&mut self, index: u64) {
        self.replace_journal = true;
        self.next = index;
    }

    /// Whether there is something to write and no batch is in flight.
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

    /// Records that the batch in flight is synced. Entries that were replaced in the
    /// log meanwhile don't count as synced.
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

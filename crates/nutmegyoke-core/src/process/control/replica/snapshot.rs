//! Snapshots, which replace a long log by the state built from it.

use std::rc::Rc;

use super::log::{Content, Log};
use super::{Membership, Position, Replica, State};

/// The maximum number of entries kept in the log after a snapshot that covers them,
/// so that a replica which is a little behind doesn't need the snapshot.
const MAX_RETAINED_ENTRIES: usize = 1024;

/// The maximum total size of these entries, in bytes.
const MAX_RETAINED_BYTES: usize = 4 * 1024 * 1024;

/// The minimum size of the changes, in bytes, that a snapshot replaces.
const MIN_SNAPSHOT_LOG_BYTES: usize = 4 * 1024 * 1024;

/// The state after an entry of the log.
#[derive(Clone, Debug)]
pub struct Snapshot<S> {
    /// The position of the last entry that the state includes.
    pub position: Position,
    /// The membership at that position.
    pub membership: Membership,
    /// The state.
    pub state: S,
}

impl<S: State> Replica<S> {
    /// Takes a snapshot once the changes since the last one are as large as the state.
    pub(super) fn compact(&mut self) {
        if self.bytes_since_snapshot < MIN_SNAPSHOT_LOG_BYTES.max(self.state.snapshot_size()) {
            return;
        }
        self.force_snapshot();
    }

    /// Takes a snapshot of the applied state, regardless of the size of the log.
    pub fn force_snapshot(&mut self) {
        let Some(snapshot) = self.applied_snapshot() else {
            return;
        };
        self.bytes_since_snapshot = 0;
        self.snapshot = Some(Rc::new(snapshot));
        self.log.compact(self.first_retained() - 1);
        self.disk.rewrite(self.log.base().index + 1);
    }

    /// A snapshot of the applied state, which leaves the log as it is.
    pub(super) fn applied_snapshot(&self) -> Option<Snapshot<S>> {
        let index = self.applied_index;
        let term = self.log.term(index)?;
        Some(Snapshot {
            position: Position { term, index },
            membership: self.applied_membership.clone(),
            state: self.state.clone(),
        })
    }

    /// The index of the first entry to keep after a snapshot of the applied state.
    fn first_retained(&self) -> u64 {
        let mut bytes = 0;
        let applied = self.log.entries_from(0).rev();
        let applied = applied.skip_while(|entry| entry.position.index > self.applied_index);
        let kept = applied.take(MAX_RETAINED_ENTRIES).take_while(|entry| {
            if let Content::Change(change) = &entry.content {
                bytes += S::change_size(change);
            }
            bytes <= MAX_RETAINED_BYTES
        });
        let first = kept.last().map(|entry| entry.position.index);
        first.unwrap_or(self.applied_index + 1)
    }

    /// Replaces log and state by the leader's snapshot, unless they already include it.
    pub(super) fn install_snapshot(&mut self, snapshot: &Rc<Snapshot<S>>) {
        if snapshot.position.index <= self.commit_index {
            return;
        }
        let index = snapshot.position.index;
        if self.log.term(index) == Some(snapshot.position.term) {
            self.log.compact(index);
        } else {
            self.log = Log::open(snapshot.position);
            // Uncommitted entries on the disk may differ from the leader's.
            self.disk.truncate(self.commit_index + 1);
        }
        self.state = snapshot.state.clone();
        self.applied_membership = snapshot.membership.clone();
        self.snapshot = Some(Rc::clone(snapshot));
        self.commit_index = index;
        self.applied_index = index;
        self.bytes_since_snapshot = 0;
        self.disk.rewrite(index + 1);
        self.reload_membership();
    }

    /// Adopts the latest membership in the log, committed or not.
    pub(super) fn reload_membership(&mut self) {
        let latest = self
            .log
            .entries_from(0)
            .rev()
            .find_map(|entry| match &entry.content {
                Content::Membership(membership) => Some((entry.position.index, membership.clone())),
                _ => None,
            });
        let (index, membership) =
            latest.unwrap_or_else(|| (self.applied_index, self.applied_membership.clone()));
        self.adopt_membership(membership, index);
    }

    /// Puts the membership at `index` in force, which is the latest in the log.
    pub(super) fn adopt_membership(&mut self, membership: Membership, index: u64) {
        self.membership = membership;
        self.membership_index = index;
        self.refresh_quorum();
        // The settings may name other contacts later.
        self.founded = self.is_founded();
    }
}

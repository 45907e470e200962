//! The part of the log that is held in memory, after the compacted part.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::Membership;

/// A place in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Position {
    /// The term in which the entry was made; compared first.
    pub term: u64,
    /// Counts the entries from 1.
    pub index: u64,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry<T> {
    /// Its place.
    pub position: Position,
    /// What it does once committed.
    pub content: Content<T>,
}

/// What an entry does.
#[derive(Clone, Debug, PartialEq)]
pub enum Content<T> {
    /// Nothing; a leader's first entry, by which earlier ones get committed.
    Blank,
    /// Replaces the membership, in force as soon as it is in the log.
    Membership(Membership),
    /// Changes the replicated state.
    Change(T),
}

/// The entries after `base`.
#[derive(Clone, Debug)]
pub struct Log<T> {
    base: Position,
    entries: VecDeque<Entry<T>>,
}

impl<T: Clone> Log<T> {
    /// Opens a log whose entries up to `base` are compacted away.
    #[must_use]
    pub fn open(base: Position) -> Self {
        Self {
            base,
            entries: VecDeque::new(),
        }
    }

    /// The last compacted place.
    #[must_use]
    pub fn base(&self) -> Position {
        self.base
    }

    /// The last place.
    #[must_use]
    pub fn last(&self) -> Position {
        self.entries
            .back()
            .map_or(self.base, |entry| entry.position)
    }

    /// The term of the entry at `index`, unless compacted away or not there.
    #[must_use]
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.position.term)
    }

    /// The entry at `index`.
    #[must_use]
    pub fn entry(&self, index: u64) -> Option<&Entry<T>> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The entries from `index` on.
    #[must_use]
    pub fn entries_from(&self, index: u64) -> impl DoubleEndedIterator<Item = &Entry<T>> {
        let offset = index.saturating_sub(self.base.index + 1);
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        self.entries.range(offset.min(self.entries.len())..)
    }

    /// Appends an entry, which has the next index.
    pub fn push(&mut self, entry: Entry<T>) {
        debug_assert_eq!(entry.position.index, self.last().index + 1);
        self.entries.push_back(entry);
    }

    /// Drops the entries from `index` on.
    pub fn truncate(&mut self, index: u64) {
        let kept = index.saturating_sub(self.base.index + 1);
        self.entries
            .truncate(usize::try_from(kept).unwrap_or(usize::MAX));
    }

    /// Drops the entries up to and with `index`.
    pub fn compact(&mut self, index: u64) {
        while let Some(entry) = self.entries.front() {
            if entry.position.index > index {
                return;
            }
            self.base = entry.position;
            self.entries.pop_front();
        }
    }
}

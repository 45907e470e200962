//! The part of the log that is held in memory, after the compacted entries.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::Membership;

/// A position in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Position {
    /// The term in which the entry was created; compared first.
    pub term: u64,
    /// The number of the entry, counted from 1.
    pub index: u64,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry<T> {
    /// Its position in the log.
    pub position: Position,
    /// Its effect.
    pub content: Content<T>,
}

/// The effect of an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Content<T> {
    /// No effect: a leader's first entry, which commits the entries of earlier terms.
    Blank,
    /// Replaces the membership; in force as soon as it is appended.
    Membership(Membership),
    /// Changes the replicated state once it is committed.
    Change(T),
}

/// The entries after `base`.
#[derive(Clone, Debug)]
pub struct Log<T> {
    base: Position,
    entries: VecDeque<Entry<T>>,
}

impl<T: Clone> Log<T> {
    /// Opens an empty log after the compacted entries, the last of which is at `base`.
    #[must_use]
    pub fn open(base: Position) -> Self {
        Self {
            base,
            entries: VecDeque::new(),
        }
    }

    /// The position of the last compacted entry.
    #[must_use]
    pub fn base(&self) -> Position {
        self.base
    }

    /// The position of the last entry.
    #[must_use]
    pub fn last(&self) -> Position {
        self.entries
            .back()
            .map_or(self.base, |entry| entry.position)
    }

    /// The term of the entry at `index`; `None` if it is compacted or doesn't exist.
    #[must_use]
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.position.term)
    }

    /// The entry at `index`, if it is held in memory.
    #[must_use]
    pub fn entry(&self, index: u64) -> Option<&Entry<T>> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The entries from `index` on that are held in memory.
    #[must_use]
    pub fn entries_from(&self, index: u64) -> impl DoubleEndedIterator<Item = &Entry<T>> {
        let offset = index.saturating_sub(self.base.index + 1);
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        self.entries.range(offset.min(self.entries.len())..)
    }

    /// Appends an entry, which must have the next index.
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

    /// Drops the entries up to and including `index`.
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

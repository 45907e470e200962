//! The wakeups of requests that wait for a time.

use std::collections::BTreeSet;
use std::time::Instant;

/// The waiting requests, ordered by wakeup time.
#[derive(Debug, Default)]
pub struct Timer {
    wakeups: BTreeSet<(Instant, u64)>,
}

impl Timer {
    /// Sets a wakeup of request `number` at `at`.
    pub fn set(&mut self, at: Instant, number: u64) {
        self.wakeups.insert((at, number));
    }

    /// Cancels a wakeup set by [`set`](Self::set).
    pub fn cancel(&mut self, at: Instant, number: u64) {
        self.wakeups.remove(&(at, number));
    }

    /// The time of the earliest wakeup.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        self.wakeups.first().map(|&(at, _)| at)
    }

    /// Removes the earliest wakeup that is due and returns its request.
    pub fn pop_due(&mut self, now: Instant) -> Option<u64> {
        let &(at, number) = self.wakeups.first()?;
        if at > now {
            return None;
        }
        self.wakeups.remove(&(at, number));
        Some(number)
    }
}

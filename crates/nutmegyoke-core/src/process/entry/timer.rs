//! When to look at a waiting request again.

use std::collections::BTreeSet;
use std::time::Instant;

/// The requests that wait for a time, the earliest first.
#[derive(Debug, Default)]
pub struct Timer {
    wakes: BTreeSet<(Instant, u64)>,
}

impl Timer {
    /// Wakes request `number` at `at`.
    pub fn set(&mut self, at: Instant, number: u64) {
        self.wakes.insert((at, number));
    }

    /// Forgets a wake that was set.
    pub fn cancel(&mut self, at: Instant, number: u64) {
        self.wakes.remove(&(at, number));
    }

    /// The earliest wake.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        self.wakes.first().map(|&(at, _)| at)
    }

    /// Takes the earliest request whose time has come.
    pub fn due(&mut self, now: Instant) -> Option<u64> {
        let &(at, number) = self.wakes.first()?;
        if at > now {
            return None;
        }
        self.wakes.remove(&(at, number));
        Some(number)
    }
}

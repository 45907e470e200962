//! A count of what is in progress.

use std::cell::Cell;
use std::rc::Rc;

/// Counts the guards that exist.
#[derive(Clone, Debug, Default)]
pub struct Tally(Rc<Cell<usize>>);

/// One of the things counted, until it is dropped.
#[derive(Debug)]
pub struct Guard(Tally);

impl Tally {
    /// The number of guards.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.get()
    }

    /// Opens another guard.
    #[must_use]
    pub fn open(&self) -> Guard {
        self.0.set(self.0.get() + 1);
        Guard(self.clone())
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let Guard(Tally(count)) = self;
        count.set(count.get() - 1);
    }
}

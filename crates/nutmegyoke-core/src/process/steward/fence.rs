//! The number by which an engine tells the orders for its current start from those for earlier ones.
//!
//! An order that got no answer may be carried out seconds later. The count of accepted orders
//! bars it within one start, but a new start under the same id counts anew. An engine that checks fences
//! refuses an order with a lower number than one it has seen, so the first order to a new start bars
//! those to the starts before.

/// How much the number rises when the engine has seen a higher one, which takes a clock that was set
/// back while the steward restarted: first this, and twice as much each time.
const FIRST_STEP: u64 = 1000;

/// The fencing number of a steward's orders.
#[derive(Clone, Copy, Debug)]
pub struct Fence {
    number: u64,
    step: u64,
    /// The orders that the engine had accepted when it was last seen.
    accepted: u64,
    /// Whether the engine checks the number, which is constant otherwise: it must not go back at
    /// an engine that doesn't check.
    checked: bool,
}

impl Default for Fence {
    fn default() -> Self {
        Self {
            number: 1,
            step: FIRST_STEP,
            accepted: 0,
            checked: false,
        }
    }
}

impl Fence {
    /// Opens the fence of an engine that checks it. `first` is higher than the numbers of the
    /// steward's earlier runs.
    #[must_use]
    pub fn open(first: u64) -> Self {
        Self {
            number: first,
            checked: true,
            ..Self::default()
        }
    }

    /// The number for orders to the engine, which has accepted so many. If they are fewer than
    /// before, it has started again.
    pub fn next(&mut self, accepted: u64) -> u64 {
        if self.checked && accepted < self.accepted {
            self.number += 1;
        }
        self.accepted = accepted;
        self.number
    }

    /// Raises the number, because the engine has seen a higher one. That was an order of an earlier run
    /// of this steward, since no other process orders the engine.
    pub fn raise(&mut self) {
        if self.checked {
            self.number = self.number.saturating_add(self.step);
            self.step = self.step.saturating_mul(2);
        }
    }
}

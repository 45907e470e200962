//! Limits retries to a fraction of the successful requests.
//!
//! While most requests succeed, the budget allows every retry. In an overload few
//! requests succeed, so the budget is exhausted and failures are returned to the
//! callers, instead of retries multiplying the load.

/// The number of successful requests that add one retry to the budget.
const SUCCESSES_PER_RETRY: u32 = 10;

/// The maximum number of retries in a budget, and the number in a new one.
const MAX_SAVED_RETRIES: u32 = 100;

/// The retries left, in units of `1 / SUCCESSES_PER_RETRY`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    parts: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            parts: MAX_SAVED_RETRIES * SUCCESSES_PER_RETRY,
        }
    }
}

impl Budget {
    /// Credits one successful request.
    pub fn deposit(&mut self) {
        self.parts = (self.parts + 1).min(MAX_SAVED_RETRIES * SUCCESSES_PER_RETRY);
    }

    /// Withdraws one retry; returns false if less than one is left.
    pub fn try_withdraw(&mut self) -> bool {
        let remaining = self.parts.checked_sub(SUCCESSES_PER_RETRY);
        self.parts = remaining.unwrap_or(self.parts);
        remaining.is_some()
    }
}

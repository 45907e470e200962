//! Bounds retries to a share of recent successes.
//!
//! While most requests succeed, every retry is paid for. In an overload
//! successes become rare, the budget runs dry and failures go back to their
//! callers in place of multiplying the load.

/// Successes that pay for one retry.
const SUCCESSES: u32 = 10;

/// Retries that can be saved up, and that a new process starts with.
const SAVED: u32 = 100;

/// Retries that may still be made, in parts of `1 / SUCCESSES`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    parts: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            parts: SAVED * SUCCESSES,
        }
    }
}

impl Budget {
    /// Counts a request that succeeded.
    pub fn earn(&mut self) {
        self.parts = (self.parts + 1).min(SAVED * SUCCESSES);
    }

    /// Takes one retry out, or returns false when none is left.
    pub fn spend(&mut self) -> bool {
        let rest = self.parts.checked_sub(SUCCESSES);
        self.parts = rest.unwrap_or(self.parts);
        rest.is_some()
    }
}

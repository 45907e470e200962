//! Bounds how many lines on requests that went well are logged.
//!
//! Requests that failed or were slow are always logged whole, see
//! [`crate::request::pass`].

use std::time::{Duration, Instant};

/// Lines a second. At the target of 13 requests a second and gateway, every
/// request has its lines; at ten times that, about half of them do.
const RATE: f64 = 200.0;

/// Lines that may come at once, after a calm second or two.
const BURST: f64 = 400.0;

/// A bucket of lines that may be written.
#[derive(Debug)]
pub struct Sampler {
    left: f64,
    at: Instant,
    withheld: u64,
}

impl Sampler {
    /// Opens a full bucket.
    #[must_use]
    pub fn open(now: Instant) -> Self {
        Self {
            left: BURST,
            at: now,
            withheld: 0,
        }
    }

    /// Whether another line may be written.
    pub fn take(&mut self, now: Instant) -> bool {
        let since: Duration = now.saturating_duration_since(self.at);
        self.at = now;
        self.left = (self.left + since.as_secs_f64() * RATE).min(BURST);
        if self.left < 1.0 {
            self.withheld += 1;
            return false;
        }
        self.left -= 1.0;
        true
    }

    /// The lines withheld since this was asked last, once lines are written again.
    pub fn withheld(&mut self) -> u64 {
        if self.left < 1.0 {
            return 0;
        }
        std::mem::take(&mut self.withheld)
    }
}

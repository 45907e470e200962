//! The retry budget of a service at one gateway.
//!
//! The bound on retries holds for all gateways together and in every window. So each
//! gateway allows itself an equal part of the slack, and the ratio of its own requests.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The bound on retries, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Retries allowed per request of a client.
    pub ratio: f64,
    /// Retries allowed on top of the ratio per window, over all gateways together.
    pub slack: f64,
    /// The length of the sliding window in which requests and retries are counted.
    pub window: Duration,
}

impl Default for Bound {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 50.0,
            window: Duration::from_secs(10),
        }
    }
}

/// The requests and retries of one service in the current window.
#[derive(Debug, Default)]
pub struct Budget {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl Budget {
    /// Counts a request of a client.
    pub fn count_request(&mut self, now: Instant, bound: &Bound) {
        self.requests.push_back(now);
        self.expire(now, bound);
    }

    /// Counts a retry and returns true if the bound allows it; `gateways` share the slack.
    pub fn spend(&mut self, now: Instant, bound: &Bound, gateways: usize) -> bool {
        let allowed = self.allows(now, bound, gateways);
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    /// Whether the bound allows one more retry; `gateways` share the slack.
    pub fn allows(&mut self, now: Instant, bound: &Bound, gateways: usize) -> bool {
        self.expire(now, bound);
        let float = |length: usize| f64::from(u32::try_from(length).unwrap_or(u32::MAX));
        let allowed =
            bound.ratio * float(self.requests.len()) + bound.slack / float(gateways.max(1));
        float(self.retries.len()) + 1.0 <= allowed
    }

    /// Drops the requests and retries that have left the window.
    fn expire(&mut self, now: Instant, bound: &Bound) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|&at| at + bound.window < now) {
                times.pop_front();
            }
        }
    }
}

//! How often requests of a service may be sent to a second endpoint.
//!
//! The bound holds over all gateways and in every window, so each takes its
//! part of the fixed allowance and a share of its own requests only.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The bound on repeated requests, as the settings give it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Repeats allowed per request.
    pub ratio: f64,
    /// Repeats allowed on top, over all gateways.
    pub slack: f64,
    /// The length of the window in which both are counted.
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

/// The requests of one service in the present window.
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

    /// Takes a repeat, if the bound allows one more; `gateways` share its slack.
    pub fn spend(&mut self, now: Instant, bound: &Bound, gateways: usize) -> bool {
        let allowed = self.allows(now, bound, gateways);
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    /// Whether the bound allows one more repeat; `gateways` share its slack.
    pub fn allows(&mut self, now: Instant, bound: &Bound, gateways: usize) -> bool {
        self.expire(now, bound);
        let number = |length: usize| f64::from(u32::try_from(length).unwrap_or(u32::MAX));
        let allowed =
            bound.ratio * number(self.requests.len()) + bound.slack / number(gateways.max(1));
        number(self.retries.len()) + 1.0 <= allowed
    }

    fn expire(&mut self, now: Instant, bound: &Bound) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|&at| at + bound.window < now) {
                times.pop_front();
            }
        }
    }
}

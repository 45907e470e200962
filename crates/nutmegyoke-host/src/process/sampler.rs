//! Limits the rate of log lines on requests that succeeded.
//!
//! Requests that failed or were slow are always logged in full, see
//! [`crate::request::passthrough`].

use std::time::{Duration, Instant};

use nutmegyoke_core::process::entry::bucket::Bucket;

/// The sustained interval between lines. At the target of 13 requests per second and
/// gateway, all requests are logged; at ten times that, about half of them.
const LINE_INTERVAL: Duration = Duration::from_millis(5);

/// The largest burst of lines, as the time that they take at the sustained rate: 400 lines.
const BURST: Duration = Duration::from_secs(2);

/// A rate limiter of log lines.
#[derive(Debug, Default)]
pub struct Sampler {
    bucket: Bucket,
    /// Lines withheld since the last line within the limit.
    withheld: u64,
}

impl Sampler {
    /// Decides whether to write a line; `None` withholds it. An `important` line is
    /// always written.
    ///
    /// Within the limit, returns the number of lines withheld since the last line within the
    /// limit. An `important` line above the limit returns 0.
    pub fn admit(&mut self, now: Instant, important: bool) -> Option<u64> {
        if self.bucket.check(now, LINE_INTERVAL, BURST).is_ok() {
            self.bucket.charge(now, LINE_INTERVAL);
            return Some(std::mem::take(&mut self.withheld));
        }
        if important {
            return Some(0);
        }
        self.withheld += 1;
        None
    }
}

//! Bounds how many lines on requests that went well are logged.
//!
//! Requests that failed or were slow are always logged whole, see
//! [`crate::request::pass`].

use std::time::{Duration, Instant};

use nutmegyoke_core::process::entry::bucket::Bucket;

/// The time between lines. At the target of 13 requests a second and gateway, every
/// request has its lines; at ten times that, about half of them do.
const LINE: Duration = Duration::from_millis(5);

/// The time whose lines may come at once.
const BURST: Duration = Duration::from_secs(2);

/// Says which lines may be written.
#[derive(Debug, Default)]
pub struct Sampler {
    bucket: Bucket,
    withheld: u64,
}

impl Sampler {
    /// Whether another line may be written; one that is `telling` always may. Returns
    /// how many were withheld before, once there is room again.
    pub fn admit(&mut self, now: Instant, telling: bool) -> Option<u64> {
        if self.bucket.check(now, LINE, BURST).is_ok() {
            self.bucket.charge(now, LINE);
            return Some(std::mem::take(&mut self.withheld));
        }
        if telling {
            return Some(0);
        }
        self.withheld += 1;
        None
    }
}

//! The source of time, passed in wherever time is read.

use std::time::{Instant, SystemTime};

/// Reads the time. Decisions never do; they are told the time with each event.
pub trait Clock {
    /// Monotonic time, for timeouts and leases.
    fn now(&self) -> Instant;

    /// Wall-clock time, for logs and keys that carry a time. It may step.
    fn wall(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

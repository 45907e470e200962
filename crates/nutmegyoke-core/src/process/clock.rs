//! The source of time. It is passed to all code that reads the time.

use std::time::{Instant, SystemTime};

/// Reads the time. State machines do not use it; they get the time with each event.
pub trait Clock {
    /// The monotonic time, for timeouts and leases. It also counts the time that the machine
    /// was suspended.
    fn now(&self) -> Instant;

    /// The wall-clock time, for logs and for timestamps in keys. It may jump.
    fn wall(&self) -> SystemTime;
}

//! The clock of the operating system.

use std::time::{Duration, Instant, SystemTime};

use nutmegyoke_core::process::Clock;
use rustix::time::{ClockId, clock_gettime};

/// Tells the time since the machine was booted, including the time that it was suspended.
pub trait Uptime {
    /// The time since the machine was booted.
    fn uptime(&self) -> Duration;
}

/// The kernel's boot clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Kernel;

/// A clock whose monotonic time goes on while the machine is suspended.
///
/// [`Instant::now`] does not count that time, so a process would take a lease or a deadline
/// that ended meanwhile for valid.
#[derive(Clone, Copy, Debug)]
pub struct System<U = Kernel> {
    source: U,
    /// The monotonic time and the uptime when the clock was opened.
    opened: (Instant, Duration),
}

impl Uptime for Kernel {
    fn uptime(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
        Duration::new(seconds, nanoseconds)
    }
}

impl<U: Uptime> System<U> {
    /// Opens a clock that reads the uptime from `source`.
    pub fn open(source: U) -> Self {
        let opened = (Instant::now(), source.uptime());
        Self { source, opened }
    }
}

impl<U: Uptime> Clock for System<U> {
    fn now(&self) -> Instant {
        let (instant, uptime) = self.opened;
        instant + self.source.uptime().saturating_sub(uptime)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

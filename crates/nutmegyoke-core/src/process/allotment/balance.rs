//! The units of a tenant that a gateway may use without asking the owner.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How long borrowed units may be used, whether they lie in a balance or a request that waits has
/// taken them. They are lost with a gateway that stops, and count in whichever window they are used:
/// a window sees what was lent within it and for this long before. So the time is short.
pub const LEASE: Duration = Duration::from_millis(500);

/// For how long a gateway borrows ahead: half a lease, so that few of the units expire.
const HORIZON: Duration = Duration::from_millis(250);

/// The time over which use is averaged, so that the horizon follows a change of load within a
/// second.
const AVERAGING_TIME: Duration = Duration::from_secs(1);

/// The borrowed units of a tenant, and how fast its requests use units here.
#[derive(Debug)]
pub struct Balance {
    /// The unused units, in ascending order of their ends.
    leases: VecDeque<Lease>,
    /// The averaged use, in units a second.
    units_per_second: f64,
    /// The averaged number of requests a second.
    requests_per_second: f64,
    /// When the averages were updated.
    updated_at: Instant,
    /// Whether units for later requests have been asked for, and the answer is still to come.
    pub borrows_ahead: bool,
}

/// Units that may be used for a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The end of that time.
    pub until: Instant,
    /// The units.
    pub units: u64,
}

impl Lease {
    /// Opens the lease of units that were asked for at `since`.
    #[must_use]
    pub fn open(since: Instant, units: u64) -> Self {
        let until = since + LEASE;
        Self { until, units }
    }
}

impl Balance {
    /// Opens an empty balance.
    #[must_use]
    pub fn open(now: Instant) -> Self {
        Self {
            leases: VecDeque::new(),
            units_per_second: 0.0,
            requests_per_second: 0.0,
            updated_at: now,
            borrows_ahead: false,
        }
    }

    /// The units that may be used now.
    #[must_use]
    pub fn units(&self, now: Instant) -> u64 {
        let leases = self.leases.iter().filter(|lease| now < lease.until);
        leases.fold(0, |units, lease| units.saturating_add(lease.units))
    }

    /// Counts a request that needs `units` among those that are expected to come.
    pub fn count(&mut self, now: Instant, units: u64) {
        self.average(now);
        let period = AVERAGING_TIME.as_secs_f64();
        self.units_per_second += to_f64(units) / period;
        self.requests_per_second += 1.0 / period;
    }

    /// Takes `units`, or as many as there are, those first whose leases end first.
    pub fn take(&mut self, now: Instant, units: u64) -> Vec<Lease> {
        self.expire(now);
        let mut missing = units;
        let mut leases = Vec::new();
        while let Some(lease) = self.leases.front_mut().filter(|_| missing > 0) {
            let until = lease.until;
            let units = lease.units.min(missing);
            leases.push(Lease { until, units });
            lease.units -= units;
            missing -= units;
            if lease.units == 0 {
                self.leases.pop_front();
            }
        }
        leases
    }

    /// Adds units that were borrowed, or returned by a request that did not run. A request returns
    /// them with the end that they had, so that requests which do not run cannot hand them on to
    /// each other for longer than a lease.
    pub fn add(&mut self, lease: Lease) {
        if lease.units == 0 {
            return;
        }
        let place = self
            .leases
            .partition_point(|other| other.until <= lease.until);
        self.leases.insert(place, lease);
    }

    /// The units to borrow for later requests; 0 if no request is expected soon.
    pub fn expected_need(&mut self, now: Instant) -> u64 {
        self.average(now);
        let horizon = HORIZON.as_secs_f64();
        if self.requests_per_second * horizon < 1.0 {
            return 0;
        }
        to_u64(self.units_per_second * horizon)
    }

    /// Drops the units that have expired.
    pub fn expire(&mut self, now: Instant) {
        while self.leases.front().is_some_and(|lease| lease.until <= now) {
            self.leases.pop_front();
        }
    }

    /// When there is nothing left to remember.
    #[must_use]
    pub fn end(&self) -> Instant {
        let averaged = self.updated_at + AVERAGING_TIME * 10;
        let last = self.leases.back().map(|lease| lease.until);
        last.map_or(averaged, |until| until.max(averaged))
    }

    fn average(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let remaining = (-elapsed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        self.units_per_second *= remaining;
        self.requests_per_second *= remaining;
        self.updated_at = now;
    }
}

/// The number as a float, which is exact below 2^53 units.
#[expect(clippy::cast_precision_loss, reason = "no request has 2^53 units")]
pub(super) fn to_f64(units: u64) -> f64 {
    units as f64
}

/// The whole units of `units`; 0 for a negative number.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates"
)]
pub(super) fn to_u64(units: f64) -> u64 {
    units as u64
}

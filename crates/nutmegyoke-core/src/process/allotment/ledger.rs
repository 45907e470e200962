//! The owner's side of allotments: a token bucket for each tenant.
//!
//! The bound on the use in a window leaves a tolerance beyond the allotment. A sixteenth of it is
//! added to the rate over a window, as much may be lent ahead, and the rest is for failures: a gateway that
//! begins to lend begins with a quarter, and it may take a while until the owner finds out that
//! it no longer speaks for all. A lender that speaks for about half of the gateways adds more to its
//! rate, because those that it does not reach are more often gone than serving requests.
//!
//! A bucket never forgets that its burst was lent, so it alone would refuse a tenant that uses a little
//! more than its rate all the time, though no window has more than the rate and the burst allow. The
//! owner therefore lends the burst of each window once more as a surplus that is spread over the
//! window. It looks back at what it lent, so that it lends no more in any part of a window than a bucket
//! which was full before: whoever lends after it in the window relies on that.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::Tolerance;
use super::askers::{self, Askers};
use super::balance::{LEASE, to_f64, to_u64};
use super::expiry::Expiry;
use super::history::History;
use crate::version::routing::Allotment;

/// The part of the tolerance that a bucket is opened with.
const RESERVE: f64 = 0.25;

/// The part of the tolerance that is added to the rate over a window.
const ADDITION: f64 = 0.0625;

/// The part that a lender adds more if it speaks for half of the gateways. With this, half of the
/// gateways serve what all did if that was 0.55 of the allotment. With more or fewer it declines
/// fast, so that the parts of a fleet that splits into four stay below the bound together.
const ADDITION_OF_HALF: f64 = 0.4;

/// The part of the tolerance that may be lent ahead in the time of a lease, and once again after
/// a pause.
const AHEAD: f64 = 0.03125;

/// The part of the gateways that an owner must speak for to lend the surplus. With fewer, others are likely
/// to lend the rest of the rate.
const SURPLUS_SHARE: f64 = 0.75;

/// The part of a window in which the surplus may collect: it serves the gaps between requests, not bursts.
const SURPLUS_PERIOD: f64 = 0.125;

/// After a pause of the process that is longer than this, others have lent what the buckets held.
const LONG_PAUSE: Duration = Duration::from_millis(1500);

/// During a pause that is longer than this, the buckets are not filled: borrowers wait for 150 ms
/// before they ask another gateway.
const SHORT_PAUSE: Duration = Duration::from_millis(250);

/// How often the time is checked for a pause while there are buckets.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// How long the bucket of a tenant without requests is kept. It is long, because a bucket
/// that is opened again holds less than the burst.
const RETENTION: Duration = Duration::from_mins(10);

/// What a gateway asks the owner of a tenant's allotment for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ask<'a> {
    /// The name of the tenant.
    pub tenant: &'a str,
    /// The allotment.
    pub allotment: Allotment,
    /// The units that a request needs.
    pub units: u64,
    /// The units that later requests are expected to need.
    pub extra: u64,
    /// The gateway, by the address where it receives gossip.
    pub from: SocketAddr,
}

/// Which gateways a lender speaks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is the owner in its own view, and speaks for this many gateways, itself included.
    Owner { gateways: usize },
    /// Another gateway is the owner in its view, and is unreachable for those that ask.
    Substitute,
}

/// The answer to an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loan {
    /// The borrower may use these units: all that the request needs, and perhaps more.
    Granted { units: u64 },
    /// The allotment is used up. It will have room after `retry_after`.
    Denied { retry_after: Duration },
}

/// The buckets of the tenants that this gateway lends units of.
#[derive(Debug)]
pub struct Ledger {
    tolerance: Tolerance,
    buckets: HashMap<String, Bucket>,
    /// When each may be dropped.
    expiry: Expiry,
    /// The time of the latest event.
    seen_at: Option<Instant>,
    /// When the time is checked next.
    check_at: Option<Instant>,
}

/// The token bucket of a tenant.
#[derive(Debug)]
struct Bucket {
    /// The units that may be lent; negative after a request that overdrew it.
    level: f64,
    /// The time of `level`.
    updated_at: Instant,
    /// The part of the allotment that the lender has, as of `updated_at`.
    share: f64,
    /// The part of the reserve that the bucket was opened with.
    opened: f64,
    /// The most that is in the bucket after a pause of the process.
    reserve: f64,
    /// The units that were lent ahead, which decline within the time of a lease.
    ahead: f64,
    /// The units of refused requests, which decline as the bucket is filled.
    refused: f64,
    /// The units of the surplus that may be lent; negative after a request that overdrew it.
    surplus: f64,
    /// When the surplus may be lent: a window after the bucket was opened, and after a pause of the
    /// process, because others lent before.
    surplus_at: Instant,
    /// What was lent within the last window, since the allotment was last lowered.
    history: History,
    /// The allotment that was lent of last.
    allotment: Option<Allotment>,
    /// The gateways that ask.
    askers: Askers,
}

/// The numbers by which a bucket is filled and used, for the gateways that its lender speaks for.
#[derive(Clone, Copy, Debug)]
struct Terms {
    /// The part of the allotment that the lender has.
    share: f64,
    /// The units a second.
    rate: f64,
    /// The most units in the bucket.
    capacity: f64,
    /// The part of the reserve that the bucket has.
    opened: f64,
    /// The whole reserve.
    reserve: f64,
    /// The most units that may be lent ahead at once.
    ahead: f64,
    /// The units of surplus a second.
    surplus_rate: f64,
    /// The most units of surplus that may collect.
    surplus_capacity: f64,
}

impl Ledger {
    /// Opens a ledger without buckets.
    #[must_use]
    pub fn open(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            buckets: HashMap::new(),
            expiry: Expiry::default(),
            seen_at: None,
            check_at: None,
        }
    }

    /// Notes the time of an event. If the process was paused since the one before, others have
    /// lent units meanwhile.
    pub fn observe(&mut self, now: Instant) {
        let seen_at = self.seen_at.replace(now).unwrap_or(now);
        if self.check_at.is_none_or(|at| at <= now) {
            self.check_at = Some(now + CHECK_PERIOD);
        }
        let pause = now.saturating_duration_since(seen_at);
        if pause <= SHORT_PAUSE {
            return;
        }
        let window = self.tolerance.window;
        for bucket in self.buckets.values_mut() {
            bucket.updated_at = (bucket.updated_at + pause).min(now);
            bucket.surplus_at = now + window;
            if pause > LONG_PAUSE {
                bucket.level = bucket.level.min(bucket.reserve);
            }
        }
    }

    /// When [`Ledger::observe`] is due; `None` if there are no buckets.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        self.check_at.filter(|_| !self.buckets.is_empty())
    }

    /// Lends units of a tenant's allotment, as long as its bucket is not empty. A request may
    /// overdraw it, so that large requests are refused no more often than small ones.
    ///
    /// `listed` is the number of all gateways. `random` is uniform between 0 and 1, and spreads
    /// the times at which refused requests come again.
    pub fn lend(
        &mut self,
        now: Instant,
        ask: &Ask<'_>,
        standing: Standing,
        listed: usize,
        random: f64,
    ) -> Loan {
        let tolerance = self.tolerance;
        let window = tolerance.window;
        let allotment = ask.allotment.bounded();
        let is_valid = ask.allotment.rate.is_finite() && ask.allotment.burst.is_finite();
        if !is_valid || allotment.rate <= 0.0 {
            // Another gateway may send any numbers.
            return Loan::Denied {
                retry_after: window,
            };
        }
        let stale = self.buckets.get(ask.tenant).is_some_and(|bucket| {
            standing == Standing::Substitute && bucket.updated_at + window < now
        });
        if stale {
            self.buckets.remove(ask.tenant);
        }
        let bucket = self.buckets.entry(ask.tenant.to_owned());
        let bucket = bucket.or_insert_with(|| {
            self.expiry.enter(now + RETENTION, ask.tenant);
            Bucket::open(now, window)
        });
        bucket.askers.record(now, ask.from);
        let askers = bucket.askers.count();
        let gateways = match standing {
            Standing::Owner { gateways } => gateways.max(askers) - bucket.askers.silent(now),
            Standing::Substitute => askers,
        };
        let terms = Terms::open(&tolerance, &allotment, standing, gateways, listed);
        bucket.fill(now, &terms, standing);
        bucket.follow(now, window, &allotment);
        let needed = to_f64(ask.units);
        let bound = allotment.rate * window.as_secs_f64() + allotment.burst;
        let fits = needed <= bound + tolerance.units(&allotment);
        let past = bucket.history.room(now, terms.rate, terms.capacity);
        let room = if bucket.history.has_surplus() {
            bucket.level.min(past)
        } else {
            bucket.level
        };
        if fits && room > 0.0 {
            // What is left over of units lent ahead serves small requests only, so nothing is lent
            // ahead when units are scarce.
            let left = (room - needed - terms.capacity / 2.0).max(0.0);
            let ahead = (terms.ahead - bucket.ahead).max(0.0);
            let extra = to_u64(to_f64(ask.extra).min(left).min(ahead));
            let granted = needed + to_f64(extra);
            bucket.level -= granted;
            bucket.ahead += to_f64(extra);
            bucket.history.record(now, window, granted, false);
            return Loan::Granted {
                units: ask.units.saturating_add(extra),
            };
        }
        if fits && past > 0.0 && bucket.lends_surplus(now, &terms, standing) {
            bucket.surplus -= needed;
            bucket.history.record(now, window, needed, true);
            return Loan::Granted { units: ask.units };
        }
        if !fits {
            return Loan::Denied {
                retry_after: window,
            };
        }
        let wait = (-room).max(0.0) + random * bucket.refused;
        bucket.refused = (bucket.refused + needed).min(terms.rate * window.as_secs_f64());
        let retry_after = Duration::try_from_secs_f64(wait / terms.rate);
        Loan::Denied {
            retry_after: retry_after.map_or(window, |wait| wait.min(window)),
        }
    }

    /// Records that a gateway was reached.
    pub fn reach(&mut self, now: Instant, gateway: SocketAddr) {
        for bucket in self.buckets.values_mut() {
            bucket.askers.reach(now, gateway);
        }
    }

    /// Forgets the tenants that had no requests for long.
    pub fn expire(&mut self, now: Instant) {
        while let Some(tenant) = self.expiry.next(now) {
            let end = self
                .buckets
                .get(&tenant)
                .map(|bucket| bucket.updated_at + RETENTION);
            match end {
                Some(end) if now < end => self.expiry.enter(end, &tenant),
                _ => drop(self.buckets.remove(&tenant)),
            }
        }
    }
}

impl Bucket {
    fn open(now: Instant, window: Duration) -> Self {
        Self {
            level: 0.0,
            updated_at: now,
            share: 1.0,
            opened: 0.0,
            reserve: 0.0,
            ahead: 0.0,
            refused: 0.0,
            surplus: 0.0,
            surplus_at: now + window,
            history: History::default(),
            allotment: None,
            askers: Askers::default(),
        }
    }

    /// Fills the bucket for the time since it was last used.
    fn fill(&mut self, now: Instant, terms: &Terms, standing: Standing) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let (rate, filled) = match standing {
            // It spoke for fewer gateways during some of the time if it does now or did then.
            Standing::Owner { .. } => (terms.rate * (self.share / terms.share).min(1.0), elapsed),
            // The gateways that it speaks for have all asked within the retention.
            Standing::Substitute => (terms.rate, elapsed.min(askers::RETENTION)),
        };
        let seconds = filled.as_secs_f64();
        self.level += rate * seconds;
        if terms.opened > self.opened {
            // A lender that speaks for more gateways than before opens their part.
            self.level += (terms.opened - self.opened) * terms.reserve;
            self.opened = terms.opened;
        }
        self.level = self.level.min(terms.capacity);
        self.surplus = (self.surplus + terms.surplus_rate * seconds).min(terms.surplus_capacity);
        self.reserve = terms.opened * terms.reserve;
        self.share = terms.share;
        self.updated_at = now;
        self.refused = (self.refused - rate * seconds).max(0.0);
        let decline = terms.ahead * elapsed.as_secs_f64() / LEASE.as_secs_f64();
        self.ahead = (self.ahead - decline).max(0.0);
    }

    /// Follows the allotment.
    fn follow(&mut self, now: Instant, window: Duration, allotment: &Allotment) {
        self.history.expire(now, window);
        let before = self.allotment.replace(*allotment);
        let is_lower = before.is_some_and(|before| {
            allotment.rate < before.rate
                || allotment.burst < before.burst
                || allotment.unit != before.unit
        });
        if is_lower {
            // A lower limit binds a window later, so what was lent before it does not count.
            self.history = History::default();
            self.surplus = 0.0;
        }
    }

    /// Whether units may be lent of the surplus.
    fn lends_surplus(&self, now: Instant, terms: &Terms, standing: Standing) -> bool {
        matches!(standing, Standing::Owner { .. })
            && terms.share >= SURPLUS_SHARE
            && self.surplus_at <= now
            && self.surplus > 0.0
    }
}

impl Terms {
    /// The terms of a lender that speaks for some of the `listed` gateways.
    fn open(
        tolerance: &Tolerance,
        allotment: &Allotment,
        standing: Standing,
        gateways: usize,
        listed: usize,
    ) -> Self {
        let share = (count(gateways) / count(listed)).clamp(0.0, 1.0);
        let (opened, burst) = match standing {
            // The use of a few gateways varies more in proportion, by the square root of their
            // part.
            Standing::Owner { .. } => (share.sqrt(), share * allotment.burst),
            // It has not heard yet from most of those that it speaks for, and the owner may be
            // lending the burst.
            Standing::Substitute => (1.0, 0.0),
        };
        let units = tolerance.units(allotment);
        // One unit lets the first request pass if there is no tolerance.
        let reserve = (units * RESERVE).max(1.0);
        let addition =
            units * (ADDITION + ADDITION_OF_HALF * (4.0 * share * (1.0 - share)).powi(6));
        let window = tolerance.window.max(LEASE).as_secs_f64();
        Self {
            share,
            rate: share * (allotment.rate + addition / window),
            capacity: burst.max(opened * reserve),
            opened,
            reserve,
            ahead: share * units * AHEAD,
            surplus_rate: share * allotment.burst / window,
            surplus_capacity: share * allotment.burst * SURPLUS_PERIOD,
        }
    }
}

/// A number of gateways, at least one, as a float.
fn count(gateways: usize) -> f64 {
    u32::try_from(gateways.max(1)).map_or(f64::from(u32::MAX), f64::from)
}

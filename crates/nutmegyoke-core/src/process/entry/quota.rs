//! What each plan has used of its limits, at one entry.
//!
//! The state lives as long as the process: a new configuration changes the limits
//! and keeps what was used. Several entries share a plan's limits without asking
//! each other: each takes one part in as many as there are live entries in its
//! directory.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::bucket::Bucket;
use crate::request::{Pace, Reason};
use crate::version::{Configuration, Plan};

/// Requests that may pass at once, as the time in which the rate renews them.
pub const RATE_BURST: Duration = Duration::from_secs(1);

/// Tokens that may pass at once, as the time in which the budget renews them.
pub const TOKENS_BURST: Duration = Duration::from_mins(1);

/// The longest time that one charge takes to renew.
const LONGEST: Duration = Duration::from_hours(24);

/// When a plan at its concurrency is asked to try again, while nothing is known
/// of how long its requests take.
const RETRY: Duration = Duration::from_secs(1);

/// The share of the newest request in the mean time is 1 in this many.
const SAMPLES: u32 = 8;

/// What the plans have used.
#[derive(Debug, Default)]
pub struct Quotas {
    plans: BTreeMap<String, Quota>,
    charges: HashMap<u64, Charge>,
}

/// What one plan has used.
#[derive(Clone, Copy, Debug, Default)]
struct Quota {
    rate: Bucket,
    tokens: Bucket,
    in_flight: u32,
    /// The mean time that a request is in flight.
    took: Duration,
}

/// What a request in flight has taken from its plan.
#[derive(Clone, Debug)]
struct Charge {
    pace: Pace,
    /// Tokens taken: the prompt and the most that may be generated.
    tokens: u64,
    /// Tokens used, once they are known.
    used: Option<u64>,
    since: Instant,
}

/// Why a plan's limits refuse a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The limit that is used up.
    pub reason: Reason,
    /// When the limit allows the request, if nothing else comes.
    pub after: Duration,
}

impl Quotas {
    /// Takes request `number` with `tokens` out of the plan's limits; `entries` is
    /// the number of live entries.
    ///
    /// # Errors
    ///
    /// The limit that is used up; nothing is taken then.
    pub fn charge(
        &mut self,
        now: Instant,
        number: u64,
        plan: &Plan,
        tokens: u64,
        entries: u32,
    ) -> Result<(), Refusal> {
        let quota = self.plans.entry(plan.name.clone()).or_default();
        quota.charge(now, plan, tokens, entries)?;
        let charge = Charge {
            pace: Pace::open(plan, now),
            tokens,
            used: None,
            since: now,
        };
        self.charges.insert(number, charge);
        Ok(())
    }

    /// Takes in how many tokens a request has used.
    pub fn meter(&mut self, number: u64, used: u64) {
        if let Some(charge) = self.charges.get_mut(&number) {
            charge.used = Some(used);
        }
    }

    /// The expectations of a request in flight, with its arrival as their start.
    #[must_use]
    pub fn pace(&self, number: u64) -> Option<&Pace> {
        Some(&self.charges.get(&number)?.pace)
    }

    /// Ends a request and puts back what it had taken too much; `configuration`
    /// tells the limits.
    ///
    /// A request whose use is not known is charged in full.
    pub fn settle(
        &mut self,
        now: Instant,
        number: u64,
        configuration: &Configuration,
        entries: u32,
    ) {
        let Some(charge) = self.charges.remove(&number) else {
            return;
        };
        let name = charge.pace.plan();
        let Some(quota) = self.plans.get_mut(name) else {
            return;
        };
        quota.in_flight -= 1;
        quota.sample(now.saturating_duration_since(charge.since));
        match configuration.plan(name) {
            Some(plan) => quota.correct(now, &charge, plan, entries),
            // The plan was removed; its last request takes its state along.
            None if quota.in_flight == 0 => {
                self.plans.remove(name);
            }
            None => {}
        }
    }

    /// Forgets the plans that are not in the configuration and have nothing in flight.
    pub fn retain(&mut self, configuration: &Configuration) {
        self.plans
            .retain(|name, quota| quota.in_flight > 0 || configuration.plan(name).is_some());
    }

    /// Requests of a plan in flight.
    #[must_use]
    pub fn in_flight(&self, plan: &str) -> u32 {
        self.plans.get(plan).map_or(0, |quota| quota.in_flight)
    }

    /// The number of plans that something is known of.
    #[must_use]
    pub fn plans(&self) -> usize {
        self.plans.len()
    }
}

impl Quota {
    fn charge(
        &mut self,
        now: Instant,
        plan: &Plan,
        tokens: u64,
        entries: u32,
    ) -> Result<(), Refusal> {
        let refuse = |reason| move |after| Refusal { reason, after };
        if self.in_flight >= share(plan.concurrency, entries) {
            return Err(refuse(Reason::ConcurrencyLimited)(self.vacancy()));
        }
        let request = renewal(1, u64::from(plan.requests_per_second), RATE_BURST, entries);
        let checked = self.rate.check(now, request, RATE_BURST);
        checked.map_err(refuse(Reason::RateLimited))?;
        let work = renewal(tokens, plan.tokens_per_minute, TOKENS_BURST, entries);
        let checked = self.tokens.check(now, work, TOKENS_BURST);
        checked.map_err(refuse(Reason::TokensLimited))?;
        self.rate.charge(now, request);
        self.tokens.charge(now, work);
        self.in_flight += 1;
        Ok(())
    }

    /// Charges the tokens used in place of those taken at the start.
    fn correct(&mut self, now: Instant, charge: &Charge, plan: &Plan, entries: u32) {
        let used = charge.used.unwrap_or(charge.tokens);
        let difference = used.abs_diff(charge.tokens);
        let time = renewal(difference, plan.tokens_per_minute, TOKENS_BURST, entries);
        if used < charge.tokens {
            self.tokens.refund(now, time);
        } else {
            self.tokens.charge(now, time);
        }
    }

    /// The mean time until one of the requests in flight ends.
    fn vacancy(&self) -> Duration {
        match self.took.checked_div(self.in_flight) {
            None | Some(Duration::ZERO) => RETRY,
            Some(time) => time,
        }
    }

    fn sample(&mut self, took: Duration) {
        self.took = if self.took.is_zero() {
            took
        } else {
            (self.took * (SAMPLES - 1) + took) / SAMPLES
        };
    }
}

/// One entry's part of a whole number, at least 1 so that each entry can serve;
/// 0 stays 0.
fn share(limit: u32, entries: u32) -> u32 {
    limit.div_ceil(entries.max(1))
}

/// The time in which one entry's part of `limit` per `period` renews `amount`.
fn renewal(amount: u64, limit: u64, period: Duration, entries: u32) -> Duration {
    if amount == 0 {
        return Duration::ZERO;
    }
    let whole = period
        .as_nanos()
        .saturating_mul(u128::from(amount))
        .saturating_mul(u128::from(entries.max(1)));
    let Some(time) = whole.checked_div(u128::from(limit)) else {
        return LONGEST;
    };
    Duration::from_nanos(u64::try_from(time).unwrap_or(u64::MAX)).min(LONGEST)
}

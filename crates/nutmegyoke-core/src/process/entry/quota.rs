//! The usage of each plan's limits at one entry.
//!
//! The usage lives as long as the process: a new configuration changes only the
//! limits. A request is charged on arrival with the most that it may use, which is
//! corrected to its actual usage when it ends.
//!
//! Entries split a plan's limits without communicating: each allows `1 / n` of a
//! limit, where `n` is the number of live entries in its directory.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::bucket::Bucket;
use crate::request::{Latency, Reason};
use crate::version::{Configuration, Plan};

/// The burst of requests, as the time in which the rate limit refills it.
pub const RATE_BURST: Duration = Duration::from_secs(1);

/// The burst of tokens, as the time in which the token limit refills it.
pub const TOKENS_BURST: Duration = Duration::from_mins(1);

/// The longest refill time of one charge, also used for a limit of 0.
const MAX_REFILL_TIME: Duration = Duration::from_hours(24);

/// The retry time for a plan at its concurrency limit while the mean duration of
/// its requests is unknown.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The newest request has the weight `1 / SMOOTHING_DIVISOR` in the moving average.
const SMOOTHING_DIVISOR: u32 = 8;

/// The usage of all plans.
#[derive(Debug, Default)]
pub struct Quotas {
    plans: BTreeMap<String, Quota>,
    charges: HashMap<u64, Charge>,
}

/// The usage of one plan.
#[derive(Clone, Copy, Debug, Default)]
struct Quota {
    requests: Bucket,
    tokens: Bucket,
    in_flight: u32,
    /// The moving average of the time that a request is in flight; 0 if unknown.
    mean_duration: Duration,
}

/// What a request in flight is charged to its plan.
#[derive(Clone, Debug)]
struct Charge {
    latency: Latency,
    /// Tokens charged on arrival: the prompt and the maximum that may be generated.
    tokens: u64,
    /// Tokens used, once counted.
    used: Option<u64>,
    charged_at: Instant,
}

/// A request that a plan's limits refuse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The limit that is exhausted.
    pub reason: Reason,
    /// The time until the limit allows the request, if no other arrives.
    pub retry_after: Duration,
}

impl Quotas {
    /// Charges request `number` with `tokens` to its plan; `entries` is the number
    /// of live entries.
    ///
    /// # Errors
    ///
    /// The limit that is exhausted. Nothing is charged in this case.
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
            latency: Latency::open(plan, now),
            tokens,
            used: None,
            charged_at: now,
        };
        self.charges.insert(number, charge);
        Ok(())
    }

    /// Records how many tokens a request used.
    pub fn meter(&mut self, number: u64, used: u64) {
        if let Some(charge) = self.charges.get_mut(&number) {
            charge.used = Some(used);
        }
    }

    /// The latency of a request in flight, measured from its arrival.
    #[must_use]
    pub fn latency(&self, number: u64) -> Option<&Latency> {
        Some(&self.charges.get(&number)?.latency)
    }

    /// Ends a request and corrects its charge to the tokens that it used.
    ///
    /// The limits are those of `configuration`. A request whose usage is unknown
    /// stays charged in full.
    pub fn finish(
        &mut self,
        now: Instant,
        number: u64,
        configuration: &Configuration,
        entries: u32,
    ) {
        let Some(charge) = self.charges.remove(&number) else {
            return;
        };
        let name = charge.latency.plan();
        let Some(quota) = self.plans.get_mut(name) else {
            return;
        };
        quota.in_flight -= 1;
        quota.record_duration(now.saturating_duration_since(charge.charged_at));
        match configuration.plan(name) {
            Some(plan) => quota.reconcile(now, &charge, plan, entries),
            // The plan was removed, and this was its last request in flight.
            None if quota.in_flight == 0 => {
                self.plans.remove(name);
            }
            None => {}
        }
    }

    /// Drops the usage of plans that were removed and have no request in flight.
    pub fn retain(&mut self, configuration: &Configuration) {
        self.plans
            .retain(|name, quota| quota.in_flight > 0 || configuration.plan(name).is_some());
    }

    /// The number of requests in flight of a plan.
    #[must_use]
    pub fn in_flight(&self, plan: &str) -> u32 {
        self.plans.get(plan).map_or(0, |quota| quota.in_flight)
    }

    /// The number of plans whose usage is tracked.
    #[must_use]
    pub fn tracked_plans(&self) -> usize {
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
        let refuse = |reason| {
            move |retry_after| Refusal {
                reason,
                retry_after,
            }
        };
        if self.in_flight >= local_limit(plan.concurrency, entries) {
            return Err(refuse(Reason::ConcurrencyLimited)(self.time_to_free_slot()));
        }
        let request_cost = refill_time(1, u64::from(plan.requests_per_second), RATE_BURST, entries);
        let checked = self.requests.check(now, request_cost, RATE_BURST);
        checked.map_err(refuse(Reason::RateLimited))?;
        let token_cost = refill_time(tokens, plan.tokens_per_minute, TOKENS_BURST, entries);
        let checked = self.tokens.check(now, token_cost, TOKENS_BURST);
        checked.map_err(refuse(Reason::TokensLimited))?;
        self.requests.charge(now, request_cost);
        self.tokens.charge(now, token_cost);
        self.in_flight += 1;
        Ok(())
    }

    /// Replaces the tokens charged on arrival by the tokens used.
    fn reconcile(&mut self, now: Instant, charge: &Charge, plan: &Plan, entries: u32) {
        let used = charge.used.unwrap_or(charge.tokens);
        let difference = used.abs_diff(charge.tokens);
        let cost = refill_time(difference, plan.tokens_per_minute, TOKENS_BURST, entries);
        if used < charge.tokens {
            self.tokens.refund(now, cost);
        } else {
            self.tokens.charge(now, cost);
        }
    }

    /// The expected time until one of the requests in flight ends.
    fn time_to_free_slot(&self) -> Duration {
        match self.mean_duration.checked_div(self.in_flight) {
            None | Some(Duration::ZERO) => DEFAULT_RETRY_AFTER,
            Some(wait) => wait,
        }
    }

    fn record_duration(&mut self, duration: Duration) {
        self.mean_duration = if self.mean_duration.is_zero() {
            duration
        } else {
            (self.mean_duration * (SMOOTHING_DIVISOR - 1) + duration) / SMOOTHING_DIVISOR
        };
    }
}

/// One entry's part of `limit`, rounded up so that every entry can serve; 0 stays 0.
fn local_limit(limit: u32, entries: u32) -> u32 {
    limit.div_ceil(entries.max(1))
}

/// The time in which one entry's part of `limit` per `period` refills `amount`.
fn refill_time(amount: u64, limit: u64, period: Duration, entries: u32) -> Duration {
    if amount == 0 {
        return Duration::ZERO;
    }
    let whole = period
        .as_nanos()
        .saturating_mul(u128::from(amount))
        .saturating_mul(u128::from(entries.max(1)));
    let Some(time) = whole.checked_div(u128::from(limit)) else {
        return MAX_REFILL_TIME;
    };
    Duration::from_nanos(u64::try_from(time).unwrap_or(u64::MAX)).min(MAX_REFILL_TIME)
}

//! Limits the rate and the concurrency of loads from the weight store.
//!
//! Only the leader orders loads, and each order is its agent's lease on one load. A
//! new leader starts with an empty token bucket. It permits no load until every agent
//! has reported under the new term and thus refuses the orders of older ones, or until
//! all leases of older terms have expired.

use std::time::{Duration, Instant};

use super::policy::Limits;
use crate::process::agent::ledger::ORDER_TTL;
use crate::process::order::Kind;

/// How long an order permits its agent to load from the store.
pub const LOAD_LEASE: Duration = ORDER_TTL;

/// A token bucket for the rate of model loads, and the loads in flight; for one term.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    limits: Limits,
    opened: Instant,
    refilled: Instant,
    /// The model loads that may be started now.
    tokens: f64,
    /// Model loads in flight.
    model_loads: u32,
    /// Adapter loads in flight.
    adapter_loads: u32,
}

impl Limiter {
    /// Opens the limiter of a term that begins now, with an empty bucket and all its
    /// concurrency in use.
    #[must_use]
    pub fn open(now: Instant, limits: Limits) -> Self {
        Self {
            limits,
            opened: now,
            refilled: now,
            tokens: 0.0,
            model_loads: limits.concurrent_loads,
            adapter_loads: limits.concurrent_adapters,
        }
    }

    /// Refills the token bucket and sets the numbers of loads in flight.
    ///
    /// While an agent may still act on an order of an older term, both numbers are set
    /// to their limits.
    pub fn update(&mut self, now: Instant, models: u32, adapters: u32, all_agents_fenced: bool) {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        let burst = f64::from(self.limits.concurrent_loads).max(1.0);
        self.tokens = (self.tokens + elapsed * self.limits.loads_per_second).min(burst);
        self.refilled = now;
        let older_terms_expired = all_agents_fenced || now >= self.opened + LOAD_LEASE;
        (self.model_loads, self.adapter_loads) = if older_terms_expired {
            (models, adapters)
        } else {
            (
                self.limits.concurrent_loads,
                self.limits.concurrent_adapters,
            )
        };
    }

    /// Takes the permit for one load if the limits allow it; returns whether they do.
    pub fn try_acquire(&mut self, kind: Kind) -> bool {
        match kind {
            Kind::Model
                if self.model_loads < self.limits.concurrent_loads && self.tokens >= 1.0 =>
            {
                self.model_loads += 1;
                self.tokens -= 1.0;
                true
            }
            Kind::Adapter if self.adapter_loads < self.limits.concurrent_adapters => {
                self.adapter_loads += 1;
                true
            }
            _ => false,
        }
    }
}

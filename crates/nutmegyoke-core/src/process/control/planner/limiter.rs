//! The one account of what the store bears.
//!
//! Only the leader spends from it; an order to load is the lease that an agent
//! receives. A new leader begins with an empty rate bucket and grants nothing
//! until every agent has refused the older terms by reporting under the new
//! one, or until every lease of an older term has run out.

use std::time::{Duration, Instant};

use super::policy::Limits;
use crate::process::agent::ledger::ORDER_LIFE;
use crate::process::order::Kind;

/// How long a load order entitles its agent to a place at the store.
pub const LOAD_LEASE: Duration = ORDER_LIFE;

/// The account of one term.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    limits: Limits,
    opened: Instant,
    refilled: Instant,
    tokens: f64,
    model_loads: u32,
    adapter_loads: u32,
}

impl Limiter {
    /// Opens the account of a term that begins now.
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

    /// Counts the leases that are out: loads under way by kind.
    ///
    /// While an agent may still act on an older term, all places count as taken.
    pub fn update(&mut self, now: Instant, models: u32, adapters: u32, every_agent_known: bool) {
        let waited = now.saturating_duration_since(self.refilled).as_secs_f64();
        let burst = f64::from(self.limits.concurrent_loads).max(1.0);
        self.tokens = (self.tokens + waited * self.limits.loads_per_second).min(burst);
        self.refilled = now;
        let clear = every_agent_known || now >= self.opened + LOAD_LEASE;
        (self.model_loads, self.adapter_loads) = if clear {
            (models, adapters)
        } else {
            (
                self.limits.concurrent_loads,
                self.limits.concurrent_adapters,
            )
        };
    }

    /// Spends a place at the store, if there is one.
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

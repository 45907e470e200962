//! The one account of what the store bears.
//!
//! Only the leader spends from it; an order to load is the lease that an agent
//! receives. A new leader begins with an empty rate bucket and grants nothing
//! until every agent has refused the older terms by reporting under the new
//! one, or until every lease of an older term has run out.

use std::time::{Duration, Instant};

use super::policy::Store;
use crate::process::agent::ledger::ORDER_TTL;
use crate::process::order::Kind;

/// How long a load order entitles its agent to a place at the store.
pub const LEASE: Duration = ORDER_TTL;

/// The account of one term.
#[derive(Clone, Copy, Debug)]
pub struct Account {
    store: Store,
    opened: Instant,
    refilled: Instant,
    tokens: f64,
    models: u32,
    adapters: u32,
}

impl Account {
    /// Opens the account of a term that begins now.
    #[must_use]
    pub fn open(now: Instant, store: Store) -> Self {
        Self {
            store,
            opened: now,
            refilled: now,
            tokens: 0.0,
            models: store.at_once,
            adapters: store.adapters,
        }
    }

    /// Counts the leases that are out: loads under way by kind.
    ///
    /// While an agent may still act on an older term, all places count as taken.
    pub fn count(&mut self, now: Instant, models: u32, adapters: u32, every_agent_known: bool) {
        let waited = now.saturating_duration_since(self.refilled).as_secs_f64();
        let burst = f64::from(self.store.at_once).max(1.0);
        self.tokens = (self.tokens + waited * self.store.loads_per_second).min(burst);
        self.refilled = now;
        let clear = every_agent_known || now >= self.opened + LEASE;
        (self.models, self.adapters) = if clear {
            (models, adapters)
        } else {
            (self.store.at_once, self.store.adapters)
        };
    }

    /// Spends a place at the store, if there is one.
    pub fn spend(&mut self, kind: Kind) -> bool {
        match kind {
            Kind::Model if self.models < self.store.at_once && self.tokens >= 1.0 => {
                self.models += 1;
                self.tokens -= 1.0;
                true
            }
            Kind::Adapter if self.adapters < self.store.adapters => {
                self.adapters += 1;
                true
            }
            _ => false,
        }
    }
}

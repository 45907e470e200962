//! The claims within their retention.
//!
//! Time is what the leader stamps into the log, so that every replica drops
//! the same claim at the same entry.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use crate::request::claim::{self, Key, Outcome};
use crate::request::{Claim, Id, Verdict};

pub use crate::request::claim::RETENTION;

/// How far a key's time may be ahead of the leader's clock.
pub const SKEW: Duration = Duration::from_secs(10);

/// The most claims held; beyond it, wishes are refused rather than claims dropped early.
pub const CAPACITY: usize = 600_000;

/// What is held of one claim.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Milliseconds since the Unix epoch by the leader's clock, at the grant.
    pub at: u64,
    /// The request that obtained the claim.
    pub holder: Id,
    /// A digest of that request's body.
    pub digest: u64,
    /// How it ended.
    pub verdict: Option<Verdict>,
    /// The VM of the agent that ran it.
    pub vm: Option<Rc<str>>,
}

/// A wish for a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wish {
    /// What the claim is for.
    pub key: Key,
    /// The request that wishes.
    pub holder: Id,
    /// A digest of its body.
    pub digest: u64,
    /// Milliseconds since the Unix epoch by the leader's clock.
    pub at: u64,
}

/// The claims, by key and in the order of their grants.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    time: u64,
    rows: BTreeMap<Key, Row>,
    order: VecDeque<(u64, Key)>,
    /// Names of VMs, each held once.
    names: BTreeSet<Rc<str>>,
}

impl Claims {
    /// How many claims are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no claim is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The latest time that a leader stamped, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn time(&self) -> u64 {
        self.time
    }

    /// The claims in the order of their keys.
    #[must_use]
    pub fn rows(&self) -> impl ExactSizeIterator<Item = (Key, &Row)> {
        self.rows.iter().map(|(key, row)| (*key, row))
    }

    /// Rebuilds the claims from [`Claims::time`] and [`Claims::rows`].
    #[must_use]
    pub fn open(time: u64, rows: impl IntoIterator<Item = (Key, Row)>) -> Self {
        let mut claims = Self {
            time,
            ..Self::default()
        };
        let rows = rows.into_iter().map(|(key, mut row)| {
            row.vm = row.vm.map(|name| claims.intern(&name));
            (key, row)
        });
        let rows: BTreeMap<Key, Row> = rows.collect();
        let mut order: Vec<(u64, Key)> = rows.iter().map(|(key, row)| (row.at, *key)).collect();
        order.sort_unstable();
        claims.rows = rows;
        claims.order = order.into();
        claims
    }

    /// Grants the claim or tells why not.
    pub fn grant(&mut self, wish: Wish) -> Outcome {
        self.advance(wish.at);
        if let Some(row) = self.rows.get(&wish.key) {
            return claim::decide(Some(&row.claim()), wish.holder, wish.digest);
        }
        if self.is_expired(wish.key) {
            return Outcome::Expired;
        }
        if self.rows.len() >= CAPACITY {
            return Outcome::Full;
        }
        let row = Row {
            at: self.time,
            holder: wish.holder,
            digest: wish.digest,
            verdict: None,
            vm: None,
        };
        self.order.push_back((row.at, wish.key));
        self.rows.insert(wish.key, row);
        Outcome::Granted
    }

    /// Records how a claimed request ended, if `holder` holds the claim.
    pub fn conclude(&mut self, key: Key, holder: Id, verdict: Verdict, vm: &str) {
        let held = self.rows.get(&key);
        if held.is_none_or(|row| row.holder != holder) {
            return;
        }
        if let Verdict::NotRun { .. } = verdict {
            // Nothing ran, so the next request with this key may.
            self.rows.remove(&key);
            return;
        }
        let vm = (!vm.is_empty()).then(|| self.intern(vm));
        if let Some(row) = self.rows.get_mut(&key) {
            row.verdict = Some(verdict);
            row.vm = vm;
        }
    }

    /// A key older than the retention may have been used by a claim that is
    /// dropped by now; one ahead of the clock could outlive its claim.
    fn is_expired(&self, key: Key) -> bool {
        key.born.is_some_and(|born| {
            born.saturating_add(milliseconds(RETENTION)) <= self.time
                || born > self.time.saturating_add(milliseconds(SKEW))
        })
    }

    fn advance(&mut self, at: u64) {
        self.time = self.time.max(at);
        let kept = milliseconds(RETENTION + SKEW);
        while let Some(&(at, key)) = self.order.front() {
            if at.saturating_add(kept) > self.time {
                return;
            }
            self.order.pop_front();
            // A key that was given back and granted again has a later row.
            if self.rows.get(&key).is_some_and(|row| row.at == at) {
                self.rows.remove(&key);
            }
        }
    }

    fn intern(&mut self, name: &str) -> Rc<str> {
        if let Some(known) = self.names.get(name) {
            return Rc::clone(known);
        }
        let name: Rc<str> = name.into();
        self.names.insert(Rc::clone(&name));
        name
    }
}

impl Row {
    fn claim(&self) -> Claim {
        Claim {
            holder: self.holder,
            digest: self.digest,
            verdict: self.verdict,
            vm: self.vm.as_deref().unwrap_or_default().to_owned(),
        }
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

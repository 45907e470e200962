//! Claims: each is the right of one request to run under its idempotency key.
//!
//! Claims are kept for their retention period. Time advances only by the timestamps
//! that leaders write into the log, so every replica drops a claim at the same log entry.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use crate::request::claim::{self, Key, Outcome};
use crate::request::{Claim, Id, Verdict};

pub use crate::request::claim::RETENTION;

/// How far the time in a key may be ahead of the leader's clock.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(10);

/// The most claims that are kept. Beyond it, new ones are refused rather than old ones
/// dropped early, which could let a request run twice.
pub const MAX_CLAIMS: usize = 600_000;

/// A granted claim.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// When it was granted, in milliseconds since the Unix epoch by the leader's clock.
    pub granted_at: u64,
    /// The request that obtained the claim.
    pub holder: Id,
    /// The digest of the request, see [`Arrival::digest`](crate::request::Arrival::digest).
    pub digest: u64,
    /// How the request ended, once reported.
    pub verdict: Option<Verdict>,
    /// The VM of the agent that ran the request.
    pub vm: Option<Rc<str>>,
}

/// A request for a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// The key to claim.
    pub key: Key,
    /// The request that asks for the claim.
    pub holder: Id,
    /// The digest of the request, see [`Arrival::digest`](crate::request::Arrival::digest).
    pub digest: u64,
    /// When it was proposed, in milliseconds since the Unix epoch by the leader's clock.
    pub requested_at: u64,
}

/// All claims, by key and in the order of their grants.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    /// See [`Claims::time`].
    time: u64,
    rows: BTreeMap<Key, Row>,
    /// When each key was granted. An entry may outlive its row in `rows`.
    grant_order: VecDeque<(u64, Key)>,
    /// Interned VM names, shared by the rows.
    vm_names: BTreeSet<Rc<str>>,
}

impl Claims {
    /// The number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no claims.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The latest timestamp written by a leader, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn time(&self) -> u64 {
        self.time
    }

    /// The claims, ordered by key.
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
        let mut order: Vec<(u64, Key)> = rows
            .iter()
            .map(|(key, row)| (row.granted_at, *key))
            .collect();
        order.sort_unstable();
        claims.rows = rows;
        claims.grant_order = order.into();
        claims
    }

    /// Grants a claim or returns the reason for refusing it.
    pub fn grant(&mut self, request: Request) -> Outcome {
        self.advance_clock(request.requested_at);
        if let Some(row) = self.rows.get(&request.key) {
            return claim::decide(Some(&row.to_claim()), request.holder, request.digest);
        }
        if self.is_outside_window(request.key) {
            return Outcome::Expired;
        }
        if self.rows.len() >= MAX_CLAIMS {
            return Outcome::Full;
        }
        let row = Row {
            granted_at: self.time,
            holder: request.holder,
            digest: request.digest,
            verdict: None,
            vm: None,
        };
        self.grant_order.push_back((row.granted_at, request.key));
        self.rows.insert(request.key, row);
        Outcome::Granted
    }

    /// Records how a claimed request ended, if `holder` holds the claim.
    pub fn conclude(&mut self, key: Key, holder: Id, verdict: Verdict, vm: &str) {
        let row = self.rows.get(&key);
        if row.is_none_or(|row| row.holder != holder) {
            return;
        }
        if let Verdict::NotRun { .. } = verdict {
            // The request did not run, so another one with this key may.
            self.rows.remove(&key);
            return;
        }
        let vm = (!vm.is_empty()).then(|| self.intern(vm));
        if let Some(row) = self.rows.get_mut(&key) {
            row.verdict = Some(verdict);
            row.vm = vm;
        }
    }

    /// Whether the time in a key is outside the accepted window.
    ///
    /// The claim of a key older than the retention may already have been dropped,
    /// and a key too far ahead of the leader's clock could outlive its claim.
    fn is_outside_window(&self, key: Key) -> bool {
        key.born.is_some_and(|born| {
            born.saturating_add(milliseconds(RETENTION)) <= self.time
                || born > self.time.saturating_add(milliseconds(MAX_CLOCK_SKEW))
        })
    }

    /// Advances the time and drops the claims whose retention has passed.
    fn advance_clock(&mut self, at: u64) {
        self.time = self.time.max(at);
        // A key may be ahead of the clock, and its claim must not be dropped before it expires.
        let lifetime = milliseconds(RETENTION + MAX_CLOCK_SKEW);
        while let Some(&(at, key)) = self.grant_order.front() {
            if at.saturating_add(lifetime) > self.time {
                return;
            }
            self.grant_order.pop_front();
            // A key that was released and granted again has a newer row.
            if self.rows.get(&key).is_some_and(|row| row.granted_at == at) {
                self.rows.remove(&key);
            }
        }
    }

    /// Returns the shared copy of a VM's name.
    fn intern(&mut self, name: &str) -> Rc<str> {
        if let Some(known) = self.vm_names.get(name) {
            return Rc::clone(known);
        }
        let name: Rc<str> = name.into();
        self.vm_names.insert(Rc::clone(&name));
        name
    }
}

impl Row {
    fn to_claim(&self) -> Claim {
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

//! Finds the prompt parts that crash endpoints, from the crashes that all gateways saw.
//!
//! A gateway sees few of the crashes that a part causes, and each of them with sound requests
//! that ran beside it. So gateways exchange their [`evidence`]: the suspects of each
//! [`crash`], and the parts that a later success cleared. From the same evidence all reach
//! the same conclusion, a [`culprit`].

pub mod crash;
pub mod culprit;
pub mod evidence;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use crash::add_suspect;
pub use crash::{Crash, Origin};
pub use culprit::Culprit;
pub use evidence::{Clearance, Evidence, Report};

/// How long a part is quarantined after the latest crash with it.
const QUARANTINE_TIME: Duration = Duration::from_mins(10);

/// How long a crash counts. Longer than [`QUARANTINE_TIME`], so that one more crash suffices
/// if a quarantine ended too early.
const EVIDENCE_TTL: Duration = Duration::from_hours(1);

/// The most crashes that are kept; the oldest are dropped.
const MAX_CRASHES: usize = culprit::MAX_CRASHES;

/// The most parts whose latest success is remembered.
const MAX_SUCCESSES: usize = 8192;

/// The most clearances that are kept: as many as the suspects of eight crashes
/// can have parts.
const MAX_CLEARANCES: usize = 8192;

/// How long a success is remembered at least. A gateway that was cut off for longer may bring
/// old evidence against sound parts.
const SUCCESS_TTL: Duration = Duration::from_mins(1);

/// The crashes that this gateway knows of, and its conclusions.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashes: BTreeMap<Origin, Record>,
    /// When this gateway last saw a request with each part succeed.
    successes: HashMap<u64, Instant>,
    /// The parts that were suspects before they were cleared.
    clearances: HashMap<u64, Cleared>,
    /// The parts of all suspects, and some that were cleared since.
    suspected: HashSet<u64>,
    culprits: Vec<Culprit>,
    /// How often this gateway collected evidence.
    collected: u64,
}

/// A crash in the records.
#[derive(Debug)]
struct Record {
    crash: Crash,
    /// The suspects that this gateway saw itself, which it sends to the others.
    own_suspects: Vec<Vec<u64>>,
    /// The revision of the latest suspect that this gateway saw itself.
    revision: u64,
    /// Whether the endpoint turned out not to have crashed.
    refuted: bool,
}

/// When a part was cleared.
#[derive(Clone, Copy, Debug)]
struct Cleared {
    at: Instant,
    /// The revision, if this gateway saw the success itself; 0 otherwise.
    revision: u64,
}

impl Quarantine {
    /// The revision of the latest evidence that this gateway collected itself; 1 if there is
    /// none.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.collected + 1
    }

    /// The parts that crash endpoints.
    #[must_use]
    pub fn culprits(&self) -> &[Culprit] {
        &self.culprits
    }

    /// The reason to refuse a request with these shared parts, if there is one.
    #[must_use]
    pub fn culprit(&self, now: Instant, parts: &[u64]) -> Option<&Culprit> {
        let mut culprits = self.culprits.iter();
        culprits.find(|culprit| now < culprit.until() && culprit.matches(parts))
    }

    /// Records a crash that this gateway saw.
    pub fn record(&mut self, now: Instant, crash: &Crash) {
        self.collected += 1;
        let revision = self.revision();
        let record = self.insert(&crash.origin, crash.at, &crash.suspects);
        record.revision = revision;
        let suspects = crash.suspects.iter().filter(|_| !record.refuted);
        for suspect in suspects {
            add_suspect(&mut record.own_suspects, suspect);
        }
        self.conclude(now);
    }

    /// Records that this gateway saw a request with these shared parts succeed. Returns whether
    /// that cleared a part that is a culprit, or would be after another crash, so that other
    /// gateways should know of it soon.
    pub fn record_success(&mut self, now: Instant, parts: &[u64]) -> bool {
        if self.successes.len() >= MAX_SUCCESSES {
            self.successes.retain(|_, &mut at| now < at + SUCCESS_TTL);
            if self.successes.len() >= MAX_SUCCESSES {
                self.successes.clear();
            }
        }
        let mut urgent = false;
        for &part in parts {
            self.successes.insert(part, now);
            if !self.suspected.contains(&part) {
                continue;
            }
            let pending = self.crashes_with(part) + 1 >= culprit::MIN_MOMENTS;
            if self.clear(part, now) {
                self.collected += 1;
                let revision = self.revision();
                self.add_clearance(part, Cleared { at: now, revision });
                urgent |= pending;
            }
        }
        if urgent {
            self.conclude(now);
        }
        urgent
    }

    /// Applies the evidence of another gateway.
    pub fn apply(&mut self, now: Instant, evidence: &Evidence) {
        if evidence.is_empty() {
            return;
        }
        for report in &evidence.crashes {
            let at = now.checked_sub(report.age).unwrap_or(now);
            self.insert(&report.origin, at, &report.suspects);
        }
        for clearance in &evidence.clearances {
            let at = now.checked_sub(clearance.age).unwrap_or(now);
            self.clear(clearance.part, at);
            let known = self.clearances.get(&clearance.part);
            if known.is_none_or(|known| known.at < at) {
                self.add_clearance(clearance.part, Cleared { at, revision: 0 });
            }
        }
        self.conclude(now);
    }

    /// Drops the suspects of the crashes that turned out to be none. The crashes stay in the
    /// records, so that other gateways' reports of them are ignored.
    pub fn refute(&mut self, now: Instant, is_none: impl Fn(&Crash) -> bool) {
        let mut refuted = false;
        for record in self.crashes.values_mut() {
            if !record.refuted && is_none(&record.crash) {
                record.refuted = true;
                record.crash.suspects.clear();
                record.own_suspects.clear();
                refuted = true;
            }
        }
        if refuted {
            self.conclude(now);
        }
    }

    /// The evidence for a gateway that acknowledged `revision`: what this gateway saw itself
    /// since then. At revision 0 it is all that this gateway knows, since whoever saw it may
    /// be gone.
    #[must_use]
    pub fn since(&self, now: Instant, revision: u64) -> Evidence {
        let everything = revision == 0;
        let records = self.crashes.values().filter(|record| !record.refuted);
        let records = records.filter(|record| everything || record.revision > revision);
        let crashes = records.map(|record| Report {
            origin: record.crash.origin.clone(),
            age: now.saturating_duration_since(record.crash.at),
            suspects: if everything {
                record.crash.suspects.clone()
            } else {
                record.own_suspects.clone()
            },
        });
        let clearances = self.clearances.iter();
        let clearances =
            clearances.filter(|(_, cleared)| everything || cleared.revision > revision);
        Evidence {
            crashes: crashes.collect(),
            clearances: clearances
                .map(|(&part, cleared)| Clearance {
                    part,
                    age: now.saturating_duration_since(cleared.at),
                })
                .collect(),
        }
    }

    /// Drops what is too old to count.
    pub fn expire(&mut self, now: Instant) {
        let before = self.crashes.len();
        self.crashes
            .retain(|_, record| now < record.crash.at + EVIDENCE_TTL);
        let oldest = self.crashes.values().map(|record| record.crash.at).min();
        self.clearances
            .retain(|_, cleared| oldest.is_some_and(|oldest| oldest <= cleared.at));
        if self.crashes.len() != before {
            self.conclude(now);
        }
    }

    /// Adds suspects to a crash, except the parts that were cleared since.
    fn insert(&mut self, origin: &Origin, at: Instant, suspects: &[Vec<u64>]) -> &mut Record {
        if !self.crashes.contains_key(origin) && self.crashes.len() >= MAX_CRASHES {
            let records = self.crashes.iter();
            let oldest = records.min_by_key(|(_, record)| record.crash.at);
            if let Some(oldest) = oldest.map(|(origin, _)| origin.clone()) {
                self.crashes.remove(&oldest);
            }
        }
        let record = self
            .crashes
            .entry(origin.clone())
            .or_insert_with(|| Record {
                crash: Crash {
                    origin: origin.clone(),
                    at,
                    suspects: Vec::new(),
                },
                own_suspects: Vec::new(),
                revision: 0,
                refuted: false,
            });
        record.crash.at = record.crash.at.min(at);
        let suspects = if record.refuted { &[] } else { suspects };
        for suspect in suspects {
            let parts = suspect.iter().copied().filter(|part| {
                let success = self.successes.get(part).copied();
                let clearance = self.clearances.get(part).map(|cleared| cleared.at);
                success.max(clearance).is_none_or(|cleared| cleared < at)
            });
            let parts: Vec<u64> = parts.collect();
            self.suspected.extend(&parts);
            add_suspect(&mut record.crash.suspects, &parts);
        }
        record
    }

    /// Adds a clearance. If there are too many, all others are dropped; then other gateways
    /// learn of them only from their own successes.
    fn add_clearance(&mut self, part: u64, cleared: Cleared) {
        if self.clearances.len() >= MAX_CLEARANCES {
            self.clearances.clear();
        }
        self.clearances.insert(part, cleared);
    }

    /// The number of crashes with `part` among the suspects.
    fn crashes_with(&self, part: u64) -> usize {
        let records = self.crashes.values();
        records
            .filter(|record| record.crash.suspects.iter().flatten().any(|&id| id == part))
            .count()
    }

    /// Removes `part` from the suspects of the crashes until `at`. Returns whether it was one.
    fn clear(&mut self, part: u64, at: Instant) -> bool {
        let mut cleared = false;
        let records = self.crashes.values_mut();
        for record in records.filter(|record| record.crash.at <= at) {
            for suspect in &mut record.crash.suspects {
                let length = suspect.len();
                suspect.retain(|&id| id != part);
                cleared |= suspect.len() < length;
            }
            record.crash.suspects.retain(|suspect| !suspect.is_empty());
            for suspect in &mut record.own_suspects {
                suspect.retain(|&id| id != part);
            }
            record.own_suspects.retain(|suspect| !suspect.is_empty());
        }
        cleared
    }

    fn conclude(&mut self, now: Instant) {
        let records = self.crashes.values().filter(|record| !record.refuted);
        let crashes = records.map(|record| &record.crash);
        let suspects = crashes.clone().flat_map(|crash| &crash.suspects);
        self.suspected = suspects.flatten().copied().collect();
        self.culprits = culprit::find(crashes, QUARANTINE_TIME);
        self.culprits.retain(|culprit| now < culprit.until());
    }
}

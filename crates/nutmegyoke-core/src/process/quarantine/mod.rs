//! Finds what requests that crash endpoints have in common, from the crashes that all gateways saw:
//! a prompt part, or that it is one and the same request.
//!
//! A gateway sees few of the crashes that a [`feature`] causes, and each of them with sound
//! requests that ran beside it. So gateways exchange their [`evidence`]: the suspects of each
//! [`crash`], and the features that a later success cleared. From the same evidence all reach
//! the same conclusion, a [`culprit`].

pub mod crash;
pub mod culprit;
pub mod evidence;
pub mod feature;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use crash::add_suspect;
pub use crash::{Crash, Origin};
pub use culprit::Culprit;
pub use evidence::{Clearance, Evidence, Report};
pub use feature::Feature;

use crate::request::Fingerprint;

/// How long a culprit is quarantined after the latest crash with it.
const QUARANTINE_TIME: Duration = Duration::from_mins(10);

/// How long a crash counts. Longer than [`QUARANTINE_TIME`], so that one more crash suffices
/// if a quarantine ended too early.
const EVIDENCE_TTL: Duration = Duration::from_hours(1);

/// The most crashes that are kept; the oldest are dropped.
const MAX_CRASHES: usize = culprit::MAX_CRASHES;

/// The most features whose latest success is remembered.
const MAX_SUCCESSES: usize = 8192;

/// The most clearances that are kept: about as many as the suspects of eight crashes can have
/// features.
const MAX_CLEARANCES: usize = 8192;

/// How long a success is remembered at least. A gateway that was cut off for longer may bring
/// old evidence against sound requests.
const SUCCESS_TTL: Duration = Duration::from_mins(1);

/// The crashes that this gateway knows of, and its conclusions.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashes: BTreeMap<Origin, Record>,
    /// When this gateway last saw a request with each feature succeed. Of sound requests only the
    /// parts, which are fewer, are remembered.
    successes: HashMap<Feature, Instant>,
    /// The features that were suspect before they were cleared.
    clearances: HashMap<Feature, Cleared>,
    /// The features of all suspects, and some that were cleared since.
    suspected: HashSet<Feature>,
    culprits: Vec<Culprit>,
    /// How often this gateway collected evidence.
    collected: u64,
}

/// A crash in the records.
#[derive(Debug)]
struct Record {
    crash: Crash,
    /// The suspects that this gateway saw itself, which it sends to the others.
    own_suspects: Vec<Vec<Feature>>,
    /// The revision of the latest suspect that this gateway saw itself.
    revision: u64,
    /// Whether the endpoint turned out not to have crashed.
    refuted: bool,
}

/// When a feature was cleared.
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

    /// What crashes endpoints.
    #[must_use]
    pub fn culprits(&self) -> &[Culprit] {
        &self.culprits
    }

    /// The reason to refuse a request with these features, if there is one.
    #[must_use]
    pub fn culprit(&self, now: Instant, features: &[Feature]) -> Option<&Culprit> {
        let mut culprits = self.culprits.iter();
        culprits.find(|culprit| now < culprit.until() && culprit.matches(features))
    }

    /// Whether a request was being run when an endpoint crashed, and has not succeeded since.
    #[must_use]
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.suspected.contains(&Feature::Request(fingerprint))
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

    /// Records that this gateway saw a request with these features succeed. Returns whether that
    /// cleared one that is a culprit, or would be after another crash, so that other gateways
    /// should know of it soon.
    pub fn record_success(&mut self, now: Instant, features: &[Feature]) -> bool {
        if self.successes.len() >= MAX_SUCCESSES {
            self.successes.retain(|_, &mut at| now < at + SUCCESS_TTL);
            if self.successes.len() >= MAX_SUCCESSES {
                self.successes.clear();
            }
        }
        let mut urgent = false;
        for &feature in features {
            let suspected = self.suspected.contains(&feature);
            if suspected || matches!(feature, Feature::Part(_)) {
                self.successes.insert(feature, now);
            }
            if !suspected {
                continue;
            }
            let pending = self.crashes_with(feature) + 1 >= culprit::MIN_MOMENTS;
            if self.clear(feature, now) {
                self.collected += 1;
                let revision = self.revision();
                self.add_clearance(feature, Cleared { at: now, revision });
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
            self.clear(clearance.feature, at);
            let known = self.clearances.get(&clearance.feature);
            if known.is_none_or(|known| known.at < at) {
                self.add_clearance(clearance.feature, Cleared { at, revision: 0 });
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
                .map(|(&feature, cleared)| Clearance {
                    feature,
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

    /// Adds suspects to a crash, except the features that were cleared since.
    fn insert(&mut self, origin: &Origin, at: Instant, suspects: &[Vec<Feature>]) -> &mut Record {
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
            let features = suspect.iter().copied().filter(|feature| {
                let success = self.successes.get(feature).copied();
                let clearance = self.clearances.get(feature).map(|cleared| cleared.at);
                success.max(clearance).is_none_or(|cleared| cleared < at)
            });
            let features: Vec<Feature> = features.collect();
            self.suspected.extend(&features);
            add_suspect(&mut record.crash.suspects, &features);
        }
        record
    }

    /// Adds a clearance. If there are too many, all others are dropped; then other gateways
    /// learn of them only from their own successes.
    fn add_clearance(&mut self, feature: Feature, cleared: Cleared) {
        if self.clearances.len() >= MAX_CLEARANCES {
            self.clearances.clear();
        }
        self.clearances.insert(feature, cleared);
    }

    /// The number of crashes with `feature` among the suspects.
    fn crashes_with(&self, feature: Feature) -> usize {
        let records = self.crashes.values();
        records
            .filter(|record| {
                record
                    .crash
                    .suspects
                    .iter()
                    .flatten()
                    .any(|&other| other == feature)
            })
            .count()
    }

    /// Removes `feature` from the suspects of the crashes until `at`. Returns whether one had it.
    fn clear(&mut self, feature: Feature, at: Instant) -> bool {
        let mut cleared = false;
        let records = self.crashes.values_mut();
        for record in records.filter(|record| record.crash.at <= at) {
            for suspect in &mut record.crash.suspects {
                let length = suspect.len();
                suspect.retain(|&other| other != feature);
                cleared |= suspect.len() < length;
            }
            record.crash.suspects.retain(|suspect| !suspect.is_empty());
            for suspect in &mut record.own_suspects {
                suspect.retain(|&other| other != feature);
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

//! Who is in the fleet, with a revision per change.
//!
//! The control process keeps the one that counts; every other process holds a
//! copy that it brings up to date with [`Directory::since`] and
//! [`Directory::learn`]. A lost process is kept as a tombstone so that a copy
//! learns of the loss.
//!
//! A change is counted when it matters to those who route: a member's
//! configuration number alone is not. A loss counts at once; a member that was
//! lost repeatedly comes back only after a pause, see [`Damping`].

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::damping::Damping;
use super::endpoint::Target;
use super::{Endpoint, Member};

/// How long a process stays listed without a heartbeat.
pub const LEASE_DURATION: Duration = Duration::from_secs(4);

/// Tombstones kept; a copy that is further behind gets a snapshot.
const TOMBSTONES: usize = 1024;

/// The members of the fleet by VM name.
#[derive(Debug, Default)]
pub struct Directory {
    epoch: u64,
    revision: u64,
    /// Copies at an earlier revision can't be brought up to date by changes.
    oldest: u64,
    rows: BTreeMap<String, Row>,
}

#[derive(Debug, Default)]
struct Row {
    /// The last change of any kind.
    revision: u64,
    /// The last change that has to be told as a whole member.
    whole: u64,
    /// The last changes of single endpoints since then.
    endpoints: BTreeMap<String, u64>,
    member: Option<Member>,
    expires: Option<Instant>,
    damping: Damping,
}

/// Up to which change a copy is complete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Cursor {
    /// Identifies the run of the process that counts the revisions.
    pub epoch: u64,
    /// Counts the changes of that run.
    pub revision: u64,
}

impl Cursor {
    /// Sent by a process that keeps no copy; it is told nothing of the directory.
    pub const UNSUBSCRIBED: Self = Self {
        epoch: u64::MAX,
        revision: u64::MAX,
    };
}

/// What brings a copy up to date.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Delta {
    /// The revision that the copy must have reached before; unused in a snapshot.
    pub base: u64,
    /// The mark of the copy after it learned this.
    #[serde(rename = "mark")]
    pub cursor: Cursor,
    /// Whether the copy has to forget all it held before.
    pub snapshot: bool,
    /// Members that are new or changed as a whole.
    pub members: Vec<Member>,
    /// Members of which only endpoints changed; [`Directory::expand`] makes whole ones of them.
    pub changes: Vec<Change>,
    /// Names of VMs that left.
    pub gone: Vec<String>,
}

/// The changed endpoints of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Change {
    /// The name of the VM.
    pub vm: String,
    /// The endpoints that are new or changed.
    pub endpoints: Vec<Endpoint>,
}

impl Directory {
    /// Opens an empty directory that counts its own revisions under `epoch`.
    #[must_use]
    pub fn open(epoch: u64) -> Self {
        Self {
            epoch,
            ..Self::default()
        }
    }

    /// Up to which change this copy is complete.
    #[must_use]
    pub fn cursor(&self) -> Cursor {
        Cursor {
            epoch: self.epoch,
            revision: self.revision,
        }
    }

    /// The members listed now, in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.rows.values().filter_map(|row| row.member.as_ref())
    }

    /// One member by the name of its VM.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.rows.get(name)?.member.as_ref()
    }

    /// Whether an endpoint that serves `target` is listed.
    #[must_use]
    pub fn serves(&self, target: Target<'_>) -> bool {
        let mut members = self.members();
        members.any(|member| member.endpoints.iter().any(|row| row.serves(target)))
    }

    /// Takes a heartbeat in and renews the member's lease.
    ///
    /// A heartbeat of an earlier incarnation is ignored. A member that is held
    /// back keeps its lease and is listed with a later heartbeat.
    pub fn renew(&mut self, now: Instant, member: &Member) {
        let row = self.rows.entry(member.vm.name.clone()).or_default();
        let known = row.member.as_mut();
        let before = known
            .as_ref()
            .map_or(member.vm.incarnation, |known| known.vm.incarnation);
        if before > member.vm.incarnation {
            return;
        }
        row.expires = Some(now + LEASE_DURATION);
        if before < member.vm.incarnation {
            row.damping.record_loss(now);
        }
        let held = row.damping.is_suppressed(now);
        let listed = match known {
            Some(known) if !held && same(known, member) => {
                known.configuration = member.configuration;
                return;
            }
            None if held => return,
            _ => (!held).then(|| member.clone()),
        };
        self.revision += 1;
        row.revise(self.revision, listed);
    }

    /// Drops the members whose lease ran out.
    pub fn expire(&mut self, now: Instant) {
        for row in self.rows.values_mut() {
            if row.expires.is_some_and(|expires| expires <= now) {
                row.expires = None;
                row.damping.record_loss(now);
                if row.member.is_some() {
                    self.revision += 1;
                    row.revise(self.revision, None);
                }
            }
        }
        self.trim();
    }

    /// When the next lease runs out.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        self.rows.values().filter_map(|row| row.expires).min()
    }

    /// What a copy at `mark` has not learned yet.
    #[must_use]
    pub fn since(&self, mark: Cursor) -> Delta {
        if mark == Cursor::UNSUBSCRIBED {
            return Delta::default();
        }
        let snapshot = mark.epoch != self.epoch
            || mark.revision < self.oldest
            || mark.revision > self.revision;
        let known = if snapshot { 0 } else { mark.revision };
        let mut delta = Delta {
            base: known,
            cursor: self.cursor(),
            snapshot,
            ..Delta::default()
        };
        for (name, row) in self.rows.iter().filter(|(_, row)| row.revision > known) {
            match &row.member {
                Some(member) if row.whole > known => delta.members.push(member.clone()),
                Some(member) => delta.changes.push(row.change(member, known)),
                None if snapshot => {}
                None => delta.gone.push(name.clone()),
            }
        }
        delta
    }

    /// Brings this copy up to date; says whether it took the delta.
    ///
    /// A delta that would leave a gap, or lead back, is ignored.
    pub fn apply(&mut self, delta: &Delta) -> bool {
        if !self.follows(delta) {
            return false;
        }
        if delta.snapshot {
            self.rows.clear();
        }
        for member in &delta.members {
            let row = Row {
                revision: delta.cursor.revision,
                whole: delta.cursor.revision,
                member: Some(member.clone()),
                ..Row::default()
            };
            self.rows.insert(member.vm.name.clone(), row);
        }
        for change in &delta.changes {
            let row = self.rows.get_mut(&change.vm);
            if let Some(member) = row.and_then(|row| row.member.as_mut()) {
                change.apply(member);
            }
        }
        for name in &delta.gone {
            self.rows.remove(name);
        }
        self.epoch = delta.cursor.epoch;
        self.revision = delta.cursor.revision;
        true
    }

    /// Makes whole members of the changed endpoints, with the help of this copy.
    ///
    /// Those who follow a delta then see members only.
    #[must_use]
    pub fn expand<'a>(&self, delta: &'a Delta) -> Cow<'a, Delta> {
        if delta.changes.is_empty() || !self.follows(delta) {
            return Cow::Borrowed(delta);
        }
        let mut whole = delta.clone();
        for change in whole.changes.drain(..) {
            if let Some(known) = self.member(&change.vm) {
                let mut member = known.clone();
                change.apply(&mut member);
                whole.members.push(member);
            }
        }
        Cow::Owned(whole)
    }

    fn follows(&self, delta: &Delta) -> bool {
        let forward = self.revision <= delta.cursor.revision;
        if delta.cursor.epoch != self.epoch {
            return delta.snapshot;
        }
        forward && (delta.snapshot || delta.base <= self.revision)
    }

    fn trim(&mut self) {
        let mut lost: Vec<u64> = self
            .rows
            .values()
            .filter(|row| row.member.is_none() && row.expires.is_none())
            .map(|row| row.revision)
            .collect();
        if lost.len() <= TOMBSTONES {
            return;
        }
        lost.sort_unstable();
        self.oldest = lost[lost.len() - TOMBSTONES - 1];
        let oldest = self.oldest;
        self.rows.retain(|_, row| {
            row.member.is_some() || row.expires.is_some() || row.revision > oldest
        });
    }
}

impl Row {
    /// Sets what is listed from now on, and notes which endpoints changed.
    fn revise(&mut self, revision: u64, listed: Option<Member>) {
        self.revision = revision;
        match (&self.member, &listed) {
            (Some(before), Some(after)) if only_endpoints(before, after) => {
                let changed = after.endpoints.iter();
                let changed = changed.filter(|endpoint| !before.endpoints.contains(endpoint));
                let changed = changed.map(|endpoint| (endpoint.name.clone(), revision));
                self.endpoints.extend(changed);
            }
            _ => {
                self.whole = revision;
                self.endpoints.clear();
            }
        }
        self.member = listed;
    }

    fn change(&self, member: &Member, known: u64) -> Change {
        let endpoints = member.endpoints.iter();
        let changed = endpoints.filter(|endpoint| {
            let revision = self.endpoints.get(&endpoint.name);
            revision.is_some_and(|&revision| revision > known)
        });
        Change {
            vm: member.vm.name.clone(),
            endpoints: changed.cloned().collect(),
        }
    }
}

impl Change {
    fn apply(&self, member: &mut Member) {
        for changed in &self.endpoints {
            let mut rows = member.endpoints.iter_mut();
            match rows.find(|endpoint| endpoint.name == changed.name) {
                Some(endpoint) => endpoint.clone_from(changed),
                None => member.endpoints.push(changed.clone()),
            }
        }
        // The order of an agent's own list.
        member
            .endpoints
            .sort_by(|one, other| one.name.cmp(&other.name));
    }
}

/// Whether `after` has every endpoint of `before` and differs in nothing but endpoints.
fn only_endpoints(before: &Member, after: &Member) -> bool {
    let alike = before.vm == after.vm
        && before.role == after.role
        && before.data_centre == after.data_centre
        && before.address == after.address;
    alike
        && before.endpoints.iter().all(|endpoint| {
            let mut names = after.endpoints.iter().map(|endpoint| &endpoint.name);
            names.any(|name| *name == endpoint.name)
        })
}

/// Whether two states of a member are the same to those who route.
fn same(one: &Member, other: &Member) -> bool {
    only_endpoints(one, other) && one.endpoints == other.endpoints
}

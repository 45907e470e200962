//! The members of the fleet, with a revision for each change.
//!
//! The control process keeps the authoritative directory. The other processes keep
//! copies, which are updated by [`Directory::since`] on the control process and
//! [`Directory::apply`] on the copy. A lost process is kept as a tombstone, so that
//! the copies remove it too.
//!
//! A change gets a revision only if routing depends on it, which excludes a change of
//! a member's configuration number alone. A loss is published at once. A member that
//! was lost repeatedly is listed again only after a delay, see [`Damping`].

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::damping::Damping;
use super::endpoint::Target;
use super::{Endpoint, Member};

/// How long a process stays listed after its last heartbeat.
pub const LEASE_DURATION: Duration = Duration::from_secs(4);

/// The maximum number of tombstones. A copy that misses a dropped one gets a snapshot.
const MAX_TOMBSTONES: usize = 1024;

/// The members of the fleet by VM name.
#[derive(Debug, Default)]
pub struct Directory {
    epoch: u64,
    revision: u64,
    /// The oldest revision from which a copy can be updated by changes: the highest one of a
    /// dropped tombstone. A copy at an earlier revision needs a snapshot.
    oldest_revision: u64,
    rows: BTreeMap<String, Row>,
}

#[derive(Debug, Default)]
struct Row {
    /// The revision of the last change of any kind.
    revision: u64,
    /// The revision of the last change that copies need the complete member for.
    member_revision: u64,
    /// The revisions of the last changes of single endpoints since then, by name.
    endpoint_revisions: BTreeMap<String, u64>,
    member: Option<Member>,
    expires: Option<Instant>,
    damping: Damping,
}

/// The last change that a copy of the directory includes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Cursor {
    /// The run of the process that assigned the revisions.
    pub epoch: u64,
    /// The revision of the change, counted in that run.
    pub revision: u64,
}

impl Cursor {
    /// Sent by a process that keeps no copy. It receives no changes.
    pub const UNSUBSCRIBED: Self = Self {
        epoch: u64::MAX,
        revision: u64::MAX,
    };
}

/// The changes that update a copy, or a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Delta {
    /// The revision that the copy must include already; unused in a snapshot.
    pub base: u64,
    /// The cursor of the copy after the delta is applied.
    #[serde(rename = "mark")]
    pub cursor: Cursor,
    /// Whether the delta replaces the content of the copy.
    pub snapshot: bool,
    /// Members that are new or changed in more than their endpoints.
    pub members: Vec<Member>,
    /// Members of which only endpoints changed. [`Directory::expand`] converts them to
    /// complete members.
    pub changes: Vec<Change>,
    /// The names of VMs that are no longer listed.
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
    /// Creates an empty directory that assigns revisions in `epoch`.
    #[must_use]
    pub fn open(epoch: u64) -> Self {
        Self {
            epoch,
            ..Self::default()
        }
    }

    /// The last change that this copy includes.
    #[must_use]
    pub fn cursor(&self) -> Cursor {
        Cursor {
            epoch: self.epoch,
            revision: self.revision,
        }
    }

    /// The listed members in the order of their VM names.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.rows.values().filter_map(|row| row.member.as_ref())
    }

    /// The member on the VM called `name`.
    #[must_use]
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.rows.get(name)?.member.as_ref()
    }

    /// Whether a listed endpoint serves `target`.
    #[must_use]
    pub fn serves(&self, target: Target<'_>) -> bool {
        let mut members = self.members();
        members.any(|member| member.endpoints.iter().any(|row| row.serves(target)))
    }

    /// Processes a heartbeat and renews the member's lease.
    ///
    /// A heartbeat of an earlier incarnation than the listed one is ignored. A higher
    /// incarnation counts as a loss of the earlier one. A member that is suppressed by
    /// damping keeps its lease and is listed on a later heartbeat.
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
        let suppressed = row.damping.is_suppressed(now);
        let listed = match known {
            Some(known) if !suppressed && is_equivalent(known, member) => {
                known.configuration = member.configuration;
                return;
            }
            None if suppressed => return,
            _ => (!suppressed).then(|| member.clone()),
        };
        self.revision += 1;
        row.update(self.revision, listed);
    }

    /// Removes the members whose lease has expired.
    pub fn expire(&mut self, now: Instant) {
        for row in self.rows.values_mut() {
            if row.expires.is_some_and(|expires| expires <= now) {
                row.expires = None;
                row.damping.record_loss(now);
                if row.member.is_some() {
                    self.revision += 1;
                    row.update(self.revision, None);
                }
            }
        }
        self.drop_old_tombstones();
    }

    /// When the next lease expires.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        self.rows.values().filter_map(|row| row.expires).min()
    }

    /// The changes that a copy at `cursor` does not include.
    #[must_use]
    pub fn since(&self, cursor: Cursor) -> Delta {
        if cursor == Cursor::UNSUBSCRIBED {
            return Delta::default();
        }
        let snapshot = cursor.epoch != self.epoch
            || cursor.revision < self.oldest_revision
            || cursor.revision > self.revision;
        let known = if snapshot { 0 } else { cursor.revision };
        let mut delta = Delta {
            base: known,
            cursor: self.cursor(),
            snapshot,
            ..Delta::default()
        };
        for (name, row) in self.rows.iter().filter(|(_, row)| row.revision > known) {
            match &row.member {
                Some(member) if row.member_revision > known => delta.members.push(member.clone()),
                Some(member) => delta.changes.push(row.change(member, known)),
                None if snapshot => {}
                None => delta.gone.push(name.clone()),
            }
        }
        delta
    }

    /// Applies a delta to this copy and returns whether it did.
    ///
    /// A delta that is older than this copy, or that requires a later base revision than
    /// this copy has, is ignored.
    pub fn apply(&mut self, delta: &Delta) -> bool {
        if !self.is_applicable(delta) {
            return false;
        }
        if delta.snapshot {
            self.rows.clear();
        }
        for member in &delta.members {
            let row = Row {
                revision: delta.cursor.revision,
                member_revision: delta.cursor.revision,
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

    /// Replaces each change of single endpoints by the complete member, using this copy.
    ///
    /// Users of the delta then handle complete members only.
    #[must_use]
    pub fn expand<'a>(&self, delta: &'a Delta) -> Cow<'a, Delta> {
        if delta.changes.is_empty() || !self.is_applicable(delta) {
            return Cow::Borrowed(delta);
        }
        let mut expanded = delta.clone();
        for change in expanded.changes.drain(..) {
            if let Some(known) = self.member(&change.vm) {
                let mut member = known.clone();
                change.apply(&mut member);
                expanded.members.push(member);
            }
        }
        Cow::Owned(expanded)
    }

    fn is_applicable(&self, delta: &Delta) -> bool {
        let forward = self.revision <= delta.cursor.revision;
        if delta.cursor.epoch != self.epoch {
            return delta.snapshot;
        }
        forward && (delta.snapshot || delta.base <= self.revision)
    }

    fn drop_old_tombstones(&mut self) {
        let mut tombstones: Vec<u64> = self
            .rows
            .values()
            .filter(|row| row.member.is_none() && row.expires.is_none())
            .map(|row| row.revision)
            .collect();
        if tombstones.len() <= MAX_TOMBSTONES {
            return;
        }
        tombstones.sort_unstable();
        self.oldest_revision = tombstones[tombstones.len() - MAX_TOMBSTONES - 1];
        let oldest_revision = self.oldest_revision;
        self.rows.retain(|_, row| {
            row.member.is_some() || row.expires.is_some() || row.revision > oldest_revision
        });
    }
}

impl Row {
    /// Sets the listed member and records which endpoints changed.
    fn update(&mut self, revision: u64, listed: Option<Member>) {
        self.revision = revision;
        match (&self.member, &listed) {
            (Some(before), Some(after)) if differ_in_endpoints_only(before, after) => {
                let changed = after.endpoints.iter();
                let changed = changed.filter(|endpoint| !before.endpoints.contains(endpoint));
                let changed = changed.map(|endpoint| (endpoint.name.clone(), revision));
                self.endpoint_revisions.extend(changed);
            }
            _ => {
                self.member_revision = revision;
                self.endpoint_revisions.clear();
            }
        }
        self.member = listed;
    }

    /// The endpoints of `member` that changed after the revision `known`.
    fn change(&self, member: &Member, known: u64) -> Change {
        let endpoints = member.endpoints.iter();
        let changed = endpoints.filter(|endpoint| {
            let revision = self.endpoint_revisions.get(&endpoint.name);
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
        // Agents list their endpoints in the order of their names.
        member
            .endpoints
            .sort_by(|one, other| one.name.cmp(&other.name));
    }
}

/// Whether `after` has all endpoints of `before` and differs only in their state or in new ones.
fn differ_in_endpoints_only(before: &Member, after: &Member) -> bool {
    let others_equal = before.vm == after.vm
        && before.role == after.role
        && before.data_centre == after.data_centre
        && before.address == after.address;
    others_equal
        && before.endpoints.iter().all(|endpoint| {
            let mut names = after.endpoints.iter().map(|endpoint| &endpoint.name);
            names.any(|name| *name == endpoint.name)
        })
}

/// Whether two states of a member are the same for routing.
fn is_equivalent(one: &Member, other: &Member) -> bool {
    differ_in_endpoints_only(one, other) && one.endpoints == other.endpoints
}

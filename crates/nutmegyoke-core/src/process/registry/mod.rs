//! The endpoints that a gateway knows from heartbeats and from the gossip of other gateways.
//!
//! Each change gets a revision, so that another gateway is sent only the changes that
//! it has not acknowledged, see [`gossip`]. The row of an endpoint that signed off stays
//! for a while, so that a late heartbeat does not list the endpoint again.
//!
//! An endpoint replaces those with an earlier start at its address. The heartbeats of endpoints
//! whose service is not known don't get here, see [`pending`].

pub mod announcement;
pub mod gossip;
pub mod key;
pub mod pending;
pub mod renewal;
pub mod row;
pub mod rumor;

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

pub use announcement::{Announcement, Stamp};
pub use gossip::{Gossip, Revision};
pub use key::{Key, Sequence};
pub use pending::{Heartbeat, Pending};
pub use renewal::{RENEWAL_INTERVAL, Renewal, Scope, Source};
pub use row::Row;
pub use rumor::{Content, Rumor};

use self::gossip::GOSSIP_INTERVAL;
use super::endpoint::Phase;
use super::origin::Build;
use crate::version::Service;

/// How long a row stays after the endpoint's last heartbeat or sign-off. Longer than any
/// heartbeat can be delayed.
const RETENTION: Duration = Duration::from_mins(1);

/// The age at which the latest heartbeat of an endpoint counts as missed: twice the interval
/// between messages. Then it is asked for, so that it comes before the lease of the endpoint ends.
const MISSED_AGE: Duration = GOSSIP_INTERVAL.saturating_mul(2);

/// The age at which an endpoint counts as silent: no gateway has heard it for its whole lease.
const SILENT_AGE: Duration = MISSED_AGE.saturating_mul(4);

/// The known endpoints by identifier.
#[derive(Debug, Default)]
pub struct Registry {
    rows: BTreeMap<String, Row>,
    /// The identifier of each known start.
    starts: HashMap<Key, String>,
    revision: u64,
    /// The revision of the latest change of an endpoint's state.
    changed_revision: u64,
    /// No row may be dropped earlier; `None` if there are none.
    expire_at: Option<Instant>,
    /// The builds that endpoints had before they started again with another one under the same id, with
    /// the time of that.
    replaced_builds: Vec<(Service, Build, Instant)>,
}

impl Registry {
    /// The revision of the latest change or heartbeat.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The revision of the latest change of an endpoint's state.
    #[must_use]
    pub fn changed_revision(&self) -> u64 {
        self.changed_revision
    }

    /// A digest of the states of all endpoints. Gateways that know the same have the same one.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let digests = self.rows.values().map(|row| row.digest);
        digests.fold(0, u64::wrapping_add)
    }

    /// The starts of the endpoints whose latest heartbeat is missed here, unless they are silent for
    /// so long that no gateway is likely to know a later one.
    #[must_use]
    pub fn missed(&self, now: Instant) -> Vec<Key> {
        let rows = self.rows.values().filter(|row| {
            let age = now.saturating_duration_since(row.last_heard);
            !row.signed_off && (MISSED_AGE..SILENT_AGE).contains(&age)
        });
        rows.map(|row| row.start).collect()
    }

    /// The renewals of those of the `missed` starts whose heartbeats are not missed here.
    #[must_use]
    pub fn renewals(&self, now: Instant, missed: &[Key]) -> Vec<Rumor> {
        let ids = missed.iter().filter_map(|&start| self.id(start));
        let rows = ids.filter_map(|id| self.rows.get(id));
        let rumors = rows.map(|row| Rumor {
            age: now.saturating_duration_since(row.last_heard),
            content: Content::Renewed {
                start: row.start,
                sequence: Sequence::of(row.stamp),
            },
        });
        rumors.filter(|rumor| rumor.age < MISSED_AGE).collect()
    }

    /// The states that this gateway learned after `revision`, whoever told it of them.
    #[must_use]
    pub fn learned_since(&self, now: Instant, revision: u64) -> Vec<Rumor> {
        let rows = self.rows.values();
        let rows = rows.filter(|row| row.learned_revision > revision);
        rows.map(|row| row.rumor(now)).collect()
    }

    /// The endpoints, including those that signed off.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// The endpoint called `id`.
    #[must_use]
    pub fn row(&self, id: &str) -> Option<&Row> {
        self.rows.get(id)
    }

    /// Records a heartbeat that the endpoint sent to this gateway. Returns whether its state
    /// has changed.
    pub fn record_heartbeat(&mut self, now: Instant, announcement: &Announcement) -> bool {
        let changed = self.update(now, announcement, Source::Endpoint);
        self.gossip_renewal(now, &announcement.id, announcement.stamp, Source::Endpoint);
        changed
    }

    /// Has a heartbeat gossiped if it is the latest one and no other was for a while.
    fn gossip_renewal(&mut self, now: Instant, id: &str, stamp: Stamp, source: Source) {
        if let Some(row) = self.rows.get_mut(id)
            && row.stamp == stamp
        {
            let renewal = &mut row.renewals[source as usize];
            if renewal.is_due(now, source) {
                self.revision += 1;
                renewal.assign(now, self.revision);
            }
        }
    }

    /// The identifier of the endpoint with a start.
    #[must_use]
    pub fn id(&self, start: Key) -> Option<&str> {
        self.starts.get(&start).map(String::as_str)
    }

    /// Lists an endpoint whose heartbeat was held back. Returns whether its state has changed.
    pub fn list(&mut self, heartbeat: &Heartbeat) -> bool {
        if heartbeat.direct {
            return self.record_heartbeat(heartbeat.received_at, &heartbeat.announcement);
        }
        let source = Source::Near;
        self.update(heartbeat.received_at, &heartbeat.announcement, source)
    }

    /// Updates which endpoints belong to services for which `named` returns true.
    pub fn set_named(&mut self, named: impl Fn(&str) -> bool) {
        for row in self.rows.values_mut() {
            row.unnamed = !named(row.announcement.service.as_str());
        }
    }

    /// Records that an endpoint signed off at this gateway. Returns false if the endpoint is
    /// not known.
    pub fn record_sign_off(&mut self, now: Instant, id: &str) -> bool {
        let Some(stamp) = self.rows.get(id).map(|row| row.stamp) else {
            return false;
        };
        self.sign_off(now, id, stamp, true);
        true
    }

    /// Records that the start `started_ms` of an endpoint leaves, as it says in its answers, which
    /// may be before its heartbeats do. Returns whether that is new.
    pub fn record_departure(&mut self, now: Instant, id: &str, started_ms: u64) -> bool {
        self.depart(now, id, started_ms, true)
    }

    fn depart(&mut self, now: Instant, id: &str, started_ms: u64, is_first: bool) -> bool {
        let Some(row) = self.rows.get_mut(id) else {
            return false;
        };
        if !row.accepts_requests() || row.stamp.started_ms != started_ms {
            return false;
        }
        let mut announcement = Announcement::clone(&row.announcement);
        announcement.phase = Phase::Draining;
        row.announcement = Rc::new(announcement);
        row.last_heard = row.last_heard.max(now);
        self.revision += 1;
        row.change(self.revision, is_first);
        if is_first {
            self.changed_revision = self.revision;
        }
        true
    }

    /// Applies a rumor of another gateway. Returns whether the endpoint's state has changed.
    pub fn apply(&mut self, now: Instant, rumor: &Rumor) -> bool {
        self.apply_from(now, rumor, Source::Near)
    }

    /// Applies a rumor like [`Registry::apply`], from a gateway of this or another data centre.
    pub fn apply_from(&mut self, now: Instant, rumor: &Rumor, source: Source) -> bool {
        let last_heard = rumor.received_at(now);
        match &rumor.content {
            Content::Announced(announcement) => {
                let (id, stamp) = (&announcement.id, announcement.stamp);
                let is_newer = self.rows.get(id).is_some_and(|row| row.stamp < stamp);
                let changed = self.update(last_heard, announcement, source);
                if is_newer && !changed {
                    self.gossip_renewal(now, id, stamp, source);
                }
                changed
            }
            Content::Renewed { start, sequence } => {
                self.apply_renewal(now, last_heard, *start, *sequence, source, None);
                false
            }
            Content::Adapted {
                start,
                sequence,
                warmup,
                adapters,
            } => {
                let adapted = Some((*warmup, adapters.as_slice()));
                self.apply_renewal(now, last_heard, *start, *sequence, source, adapted);
                false
            }
            Content::SignedOff(announcement) => {
                let known = self
                    .rows
                    .get(&announcement.id)
                    .map(|row| row.stamp.started_ms);
                let newer =
                    known.is_none_or(|started_ms| started_ms < announcement.stamp.started_ms);
                let changed = newer && self.update(last_heard, announcement, source);
                self.sign_off(last_heard, &announcement.id, announcement.stamp, false) || changed
            }
        }
    }

    /// Applies a heartbeat without changes, with its warm-up and adapters if these changed.
    fn apply_renewal(
        &mut self,
        now: Instant,
        last_heard: Instant,
        start: Key,
        sequence: Sequence,
        source: Source,
        adapted: Option<(Duration, &[String])>,
    ) {
        let id = self.starts.get(&start);
        let Some((id, row)) = id.and_then(|id| Some((id, self.rows.get_mut(id)?))) else {
            return;
        };
        let stamp = sequence.complete(row.stamp);
        if stamp <= row.stamp {
            if stamp == row.stamp {
                row.last_heard = row.last_heard.max(last_heard);
            }
            return;
        }
        row.renew(last_heard, stamp);
        if let Some((warmup, adapters)) = adapted {
            let announcement = Rc::make_mut(&mut row.announcement);
            announcement.warmup = warmup;
            announcement.adapters = adapters.to_vec();
            row.adapted = stamp;
            row.renewals[source as usize].adapters_pending = true;
        }
        let id = id.clone();
        self.gossip_renewal(now, &id, stamp, source);
    }

    /// The rumors for a gateway that acknowledged `revision`, of what this gateway received itself.
    #[must_use]
    pub fn since(&self, now: Instant, revision: u64) -> Vec<Rumor> {
        let acknowledged = Revision {
            endpoints: revision,
            changes: revision,
            ..Revision::default()
        };
        self.since_within(now, acknowledged, Scope::Own)
    }

    /// The rumors for a gateway that `acknowledged` a revision: changes that it was the first to
    /// know from `changes` on, and all else of the scope from `endpoints` on.
    #[must_use]
    pub fn since_within(&self, now: Instant, acknowledged: Revision, scope: Scope) -> Vec<Rumor> {
        let revision = acknowledged.endpoints;
        let sources = scope.sources().iter();
        let rumors = self.rows.values().filter_map(|row| {
            let passed = row.passed_revision > revision && scope != Scope::Changes;
            if passed || row.changed_revision > acknowledged.changes {
                return Some(row.rumor(now));
            }
            let mut renewals = sources.clone().map(|&source| row.renewals[source as usize]);
            if !renewals.clone().any(|renewal| renewal.revision > revision) {
                return None;
            }
            let (start, sequence) = (row.start, Sequence::of(row.stamp));
            let content = if renewals.any(|renewal| renewal.adapted_revision > revision) {
                Content::Adapted {
                    start,
                    sequence,
                    warmup: row.announcement.warmup,
                    adapters: row.announcement.adapters.clone(),
                }
            } else {
                Content::Renewed { start, sequence }
            };
            let age = now.saturating_duration_since(row.last_heard);
            Some(Rumor { age, content })
        });
        rumors.collect()
    }

    /// Removes the endpoints whose last heartbeat or sign-off is longer ago than
    /// [`RETENTION`]. Returns whether there were any. It goes through all endpoints only if one may
    /// have expired, and thus once for dozens of heartbeats of each.
    pub fn expire(&mut self, now: Instant) -> bool {
        if self.expire_at.is_none_or(|at| now < at) {
            return false;
        }
        let before = self.rows.len();
        self.rows.retain(|_, row| now < row.last_heard + RETENTION);
        let rows = &self.rows;
        self.starts.retain(|_, id| rows.contains_key(id));
        let first = rows.values().map(|row| row.last_heard).min();
        self.expire_at = first.map(|at| at + RETENTION);
        rows.len() < before
    }

    /// Updates an endpoint from a heartbeat, received from it or from another gateway.
    ///
    /// A heartbeat from another gateway is gossiped again only if the endpoint is draining.
    /// Its first receiver sends it to all gateways anyway; forwarding everything would send
    /// it once for each pair of gateways.
    fn update(&mut self, last_heard: Instant, announcement: &Announcement, source: Source) -> bool {
        let known = self.rows.get(&announcement.id);
        let (id, started_ms) = (&announcement.id, announcement.stamp.started_ms);
        let changed = match known {
            // The heartbeat that the rumor of a departure has with it may be known already.
            Some(row)
                if announcement.stamp <= row.announcement.stamp
                    && announcement.phase == Phase::Draining =>
            {
                let is_first = source == Source::Endpoint;
                return self.depart(last_heard, id, started_ms, is_first);
            }
            // Heartbeats without the state may have overtaken it, so that `row.stamp` may be later.
            Some(row) if announcement.stamp <= row.announcement.stamp => return false,
            // An endpoint that leaves does so until its next start, whatever its heartbeats say.
            Some(row) if row.is_leaving(started_ms) && announcement.phase == Phase::Ready => {
                self.renew(last_heard, id, announcement.stamp);
                return false;
            }
            // An endpoint that signed off is listed again only after a restart.
            Some(row)
                if row.signed_off && announcement.stamp.started_ms <= row.stamp.started_ms =>
            {
                return false;
            }
            Some(row) => row.signed_off || !row.announcement.is_equivalent(announcement),
            None => !self.is_superseded(announcement),
        };
        if !changed {
            self.renew(last_heard, &announcement.id, announcement.stamp);
            if let Some(row) = self.rows.get_mut(&announcement.id)
                && row.stamp == announcement.stamp
                && row.announcement.adapters != announcement.adapters
            {
                row.announcement = Rc::new(announcement.clone());
                row.adapted = announcement.stamp;
                row.renewals[source as usize].adapters_pending = true;
            }
            return false;
        }
        self.revision += 1;
        let start = Key::of_start(&announcement.id, announcement.stamp.started_ms);
        let mut latest = announcement.clone();
        let (mut stamp, mut last_heard) = (announcement.stamp, last_heard);
        let mut adapted = stamp;
        if let Some(known) = known.filter(|known| stamp < known.stamp) {
            stamp = known.stamp;
            last_heard = last_heard.max(known.last_heard);
            if adapted < known.adapted {
                adapted = known.adapted;
                latest.adapters.clone_from(&known.announcement.adapters);
            }
        }
        let mut row = Row {
            announcement: Rc::new(latest),
            stamp,
            adapted,
            last_heard,
            signed_off: false,
            unnamed: false,
            start,
            digest: 0,
            learned_revision: 0,
            changed_revision: 0,
            passed_revision: 0,
            renewals: Default::default(),
        };
        let is_first = source == Source::Endpoint;
        row.change(self.revision, is_first);
        if is_first {
            self.changed_revision = self.revision;
        } else if announcement.phase != Phase::Draining {
            row.passed_revision = 0;
        }
        let end = last_heard + RETENTION;
        self.expire_at = Some(self.expire_at.map_or(end, |at| at.min(end)));
        if let Some(known) = self.rows.insert(announcement.id.clone(), row) {
            self.starts.remove(&known.start);
            self.record_replaced(last_heard, &known.announcement, announcement);
        }
        self.starts.insert(start, announcement.id.clone());
        self.supersede(announcement, is_first);
        true
    }

    /// Records the build of an endpoint that has another one now.
    fn record_replaced(&mut self, now: Instant, earlier: &Announcement, later: &Announcement) {
        if earlier.service != later.service || earlier.build != later.build {
            let recent = |&(_, _, at): &(Service, Build, Instant)| now < at + RETENTION;
            self.replaced_builds.retain(recent);
            let build = Build::of(earlier);
            self.replaced_builds
                .push((earlier.service.clone(), build, now));
        }
    }

    /// The only build that the endpoints of a service had within `horizon`, as far as they are known;
    /// `None` if there were several, or none is known. At most [`RETENTION`] is looked back.
    #[must_use]
    pub fn sole_build(&self, now: Instant, service: &str, horizon: Duration) -> Option<Build> {
        let rows = self.rows.values().filter(|row| {
            let is_recent = !row.signed_off || now < row.last_heard + horizon;
            is_recent && row.announcement.service.as_str() == service
        });
        let replaced = self.replaced_builds.iter();
        let replaced = replaced
            .filter(|(name, _, at)| name.as_str() == service && now < *at + horizon)
            .map(|&(_, build, _)| build);
        let mut builds = rows.map(|row| Build::of(&row.announcement)).chain(replaced);
        let first = builds.next()?;
        builds.all(|build| build == first).then_some(first)
    }

    /// Whether an endpoint with a later start has the address of `announcement`.
    fn is_superseded(&self, announcement: &Announcement) -> bool {
        self.rows.values().any(|row| {
            row.announcement.address == announcement.address
                && row.stamp.started_ms > announcement.stamp.started_ms
                && !row.unnamed
        })
    }

    /// Signs off endpoints with an earlier start at the address of `announcement`.
    fn supersede(&mut self, announcement: &Announcement, is_first: bool) {
        for (id, row) in &mut self.rows {
            let earlier = row.announcement.address == announcement.address
                && *id != announcement.id
                && row.stamp.started_ms < announcement.stamp.started_ms;
            if earlier && !row.signed_off {
                self.revision += 1;
                row.signed_off = true;
                row.change(self.revision, is_first);
                if is_first {
                    self.changed_revision = self.revision;
                }
            }
        }
    }

    /// Records a heartbeat without changes.
    fn renew(&mut self, last_heard: Instant, id: &str, stamp: Stamp) {
        if let Some(row) = self.rows.get_mut(id) {
            row.renew(last_heard, stamp);
        }
    }

    /// Signs off an endpoint, unless it was restarted after `stamp`. Returns whether it did.
    fn sign_off(&mut self, last_heard: Instant, id: &str, stamp: Stamp, is_first: bool) -> bool {
        let Some(row) = self.rows.get_mut(id) else {
            return false;
        };
        if row.signed_off || row.stamp.started_ms > stamp.started_ms {
            return false;
        }
        self.revision += 1;
        row.signed_off = true;
        row.last_heard = row.last_heard.max(last_heard);
        row.stamp = row.stamp.max(stamp);
        row.change(self.revision, is_first);
        if is_first {
            self.changed_revision = self.revision;
        }
        true
    }
}

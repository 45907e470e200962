//! The endpoints that a gateway knows, from their heartbeats and from other gateways.
//!
//! Every change carries a revision, so that each other gateway is sent just
//! what it has not acknowledged, see [`spread`]. Rows of endpoints that left
//! stay for a while, so that a late heartbeat doesn't bring them back.

pub mod announcement;
pub mod gossip;
pub mod rumor;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

pub use announcement::{Announcement, Stamp};
pub use gossip::Gossip;
pub use rumor::{Content, Rumor};

use super::endpoint::Phase;

/// How long a row is kept after its endpoint was last heard of. Longer than any
/// heartbeat can be under way.
const RETENTION: Duration = Duration::from_mins(1);

/// How long a gateway keeps to itself that an endpoint said the same again.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// The endpoints that a gateway knows.
#[derive(Debug, Default)]
pub struct Registry {
    rows: BTreeMap<String, Row>,
    revision: u64,
}

/// What is known of one endpoint.
#[derive(Clone, Debug)]
pub struct Row {
    /// Its latest heartbeat that said something new.
    pub announcement: Rc<Announcement>,
    /// Its latest heartbeat.
    pub stamp: Stamp,
    /// When it was last heard of, by any gateway.
    pub last_heard: Instant,
    /// Whether it signed off.
    pub signed_off: bool,
    /// The revision of the latest change.
    changed: u64,
    /// The revision of the latest heartbeat that the other gateways are told of.
    renewed: u64,
    /// When they were told.
    told: Option<Instant>,
    /// Whether they were not told yet of other adapters.
    unshared: bool,
}

impl Row {
    /// Whether requests may be sent to it, as far as it said.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        !self.signed_off && self.announcement.phase == Phase::Ready
    }
}

impl Registry {
    /// The revision of the latest change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The endpoints, those that left included.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// The endpoint called `id`.
    #[must_use]
    pub fn row(&self, id: &str) -> Option<&Row> {
        self.rows.get(id)
    }

    /// Takes in a heartbeat that came directly. Returns whether it said something new.
    pub fn record_heartbeat(&mut self, now: Instant, announcement: &Announcement) -> bool {
        let changed = self.take(now, announcement, true);
        if let Some(row) = self.rows.get_mut(&announcement.id)
            && row.stamp == announcement.stamp
            && row.told.is_none_or(|told| told + RENEWAL_INTERVAL <= now)
        {
            self.revision += 1;
            row.renewed = self.revision;
            if row.unshared {
                row.changed = self.revision;
                row.unshared = false;
            }
            row.told = Some(now);
        }
        changed
    }

    /// Takes in that an endpoint signed off. Returns false if it isn't known.
    pub fn leave(&mut self, now: Instant, id: &str) -> bool {
        let Some(stamp) = self.rows.get(id).map(|row| row.stamp) else {
            return false;
        };
        self.sign_off(now, id, stamp);
        true
    }

    /// Takes in what another gateway heard. Returns whether it said something new.
    pub fn apply(&mut self, now: Instant, rumor: &Rumor) -> bool {
        let heard = now.checked_sub(rumor.age).unwrap_or(now);
        match &rumor.content {
            Content::Announced(announcement) => self.take(heard, announcement, false),
            Content::Renewed { id, stamp } => {
                self.renew(heard, id, *stamp);
                false
            }
            Content::Left(announcement) => {
                let known = self
                    .rows
                    .get(&announcement.id)
                    .map(|row| row.stamp.started_ms);
                let newer = known.is_none_or(|born| born < announcement.stamp.started_ms);
                let changed = newer && self.take(heard, announcement, false);
                self.sign_off(heard, &announcement.id, announcement.stamp) || changed
            }
        }
    }

    /// What a gateway lacks that acknowledged `revision`.
    #[must_use]
    pub fn since(&self, now: Instant, revision: u64) -> Vec<Rumor> {
        let rows = self.rows.iter();
        let news = rows.filter_map(|(id, row)| {
            let content = if row.changed > revision && row.signed_off {
                Content::Left(Rc::clone(&row.announcement))
            } else if row.changed > revision {
                Content::Announced(Rc::clone(&row.announcement))
            } else if row.renewed > revision {
                let (id, stamp) = (id.clone(), row.stamp);
                Content::Renewed { id, stamp }
            } else {
                return None;
            };
            let age = now.saturating_duration_since(row.last_heard);
            Some(Rumor { age, content })
        });
        news.collect()
    }

    /// Drops what is too old to matter.
    pub fn expire(&mut self, now: Instant) {
        self.rows.retain(|_, row| now < row.last_heard + RETENTION);
    }

    /// Takes in a heartbeat, which came `direct` or by way of another gateway.
    ///
    /// What came by way of another gateway is passed on only if it keeps requests
    /// away from the endpoint: the other one tells everybody itself, and all of it
    /// would be told as often as there are pairs of gateways.
    fn take(&mut self, heard: Instant, announcement: &Announcement, direct: bool) -> bool {
        let known = self.rows.get(&announcement.id);
        let changed = match known {
            Some(row) if announcement.stamp <= row.stamp => return false,
            // Only a new start brings an endpoint back that signed off.
            Some(row)
                if row.signed_off && announcement.stamp.started_ms <= row.stamp.started_ms =>
            {
                return false;
            }
            Some(row) => row.signed_off || !row.announcement.is_equivalent(announcement),
            None => !self.is_superseded(announcement),
        };
        if !changed {
            self.renew(heard, &announcement.id, announcement.stamp);
            if let Some(row) = self.rows.get_mut(&announcement.id)
                && row.stamp == announcement.stamp
                && row.announcement.adapters != announcement.adapters
            {
                row.announcement = Rc::new(announcement.clone());
                row.unshared |= direct;
            }
            return false;
        }
        let shared = direct || announcement.phase == Phase::Draining;
        if shared {
            self.revision += 1;
        }
        let row = Row {
            announcement: Rc::new(announcement.clone()),
            stamp: announcement.stamp,
            last_heard: heard,
            signed_off: false,
            changed: if shared { self.revision } else { 0 },
            renewed: 0,
            told: None,
            unshared: false,
        };
        self.rows.insert(announcement.id.clone(), row);
        self.supersede(announcement);
        true
    }

    /// Whether a later endpoint has the address of `announcement`.
    fn is_superseded(&self, announcement: &Announcement) -> bool {
        self.rows.values().any(|row| {
            row.announcement.address == announcement.address
                && row.stamp.started_ms > announcement.stamp.started_ms
        })
    }

    /// Signs off the earlier endpoints at the address of `announcement`.
    fn supersede(&mut self, announcement: &Announcement) {
        for (id, row) in &mut self.rows {
            let earlier = row.announcement.address == announcement.address
                && *id != announcement.id
                && row.stamp.started_ms < announcement.stamp.started_ms;
            if earlier && !row.signed_off {
                self.revision += 1;
                row.signed_off = true;
                row.changed = self.revision;
            }
        }
    }

    fn renew(&mut self, heard: Instant, id: &str, stamp: Stamp) {
        if let Some(row) = self.rows.get_mut(id)
            && row.stamp.started_ms == stamp.started_ms
            && row.stamp < stamp
        {
            row.stamp = stamp;
            row.last_heard = row.last_heard.max(heard);
        }
    }

    fn sign_off(&mut self, heard: Instant, id: &str, stamp: Stamp) -> bool {
        let Some(row) = self.rows.get_mut(id) else {
            return false;
        };
        if row.signed_off || row.stamp.started_ms > stamp.started_ms {
            return false;
        }
        self.revision += 1;
        row.signed_off = true;
        row.last_heard = row.last_heard.max(heard);
        row.stamp = row.stamp.max(stamp);
        row.changed = self.revision;
        true
    }
}

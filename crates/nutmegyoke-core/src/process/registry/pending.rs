//! The heartbeats of endpoints whose service the routing document does not name.
//!
//! They may be sent by another system, or a document that names the service may be on its way.
//! Until it is in force they must not affect other endpoints: one with the address or the
//! identifier of a known endpoint would replace it.

use std::collections::BTreeMap;
use std::time::Instant;

use super::{Announcement, Key, RETENTION, Sequence};
use crate::process::endpoint::Phase;
use crate::version::Service;

/// The latest heartbeat of each endpoint, by identifier and service.
#[derive(Debug, Default)]
pub struct Pending {
    heartbeats: BTreeMap<(String, Service), Heartbeat>,
    /// No heartbeat may be dropped earlier; `None` if there are none.
    expire_at: Option<Instant>,
}

/// A heartbeat that is held back.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    pub announcement: Announcement,
    /// When a gateway received it.
    pub received_at: Instant,
    /// Whether the endpoint sent it to this gateway, and not to another one.
    pub direct: bool,
}

impl Pending {
    /// Whether a heartbeat of this endpoint is held back.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        self.heartbeats.keys().any(|(held, _)| held == id)
    }

    /// The heartbeat of an endpoint that is held back.
    #[must_use]
    pub fn get(&self, id: &str, service: &Service) -> Option<&Announcement> {
        let held = self.heartbeats.get(&(id.to_owned(), service.clone()));
        held.map(|heartbeat| &heartbeat.announcement)
    }

    /// The endpoints that are held back and accept requests.
    pub fn accepting(&self) -> impl Iterator<Item = &Announcement> {
        let held = self.heartbeats.values();
        let announcements = held.map(|heartbeat| &heartbeat.announcement);
        announcements.filter(|announcement| announcement.phase == Phase::Ready)
    }

    /// Holds back a heartbeat, unless a later one of the endpoint is held.
    pub fn insert(&mut self, heartbeat: Heartbeat) {
        let Announcement { id, service, .. } = &heartbeat.announcement;
        let key = (id.clone(), service.clone());
        let held = self.heartbeats.get(&key);
        if held.is_none_or(|held| held.announcement.stamp < heartbeat.announcement.stamp) {
            let end = heartbeat.received_at + RETENTION;
            self.expire_at = Some(self.expire_at.map_or(end, |at| at.min(end)));
            self.heartbeats.insert(key, heartbeat);
        }
    }

    /// Records a later heartbeat without changes.
    pub fn renew(&mut self, received_at: Instant, start: Key, sequence: Sequence) {
        for heartbeat in self.heartbeats.values_mut() {
            let Announcement { id, stamp, .. } = &mut heartbeat.announcement;
            let renewed = sequence.complete(*stamp);
            if Key::of_start(id, stamp.started_ms) == start && *stamp < renewed {
                *stamp = renewed;
                heartbeat.received_at = heartbeat.received_at.max(received_at);
            }
        }
    }

    /// Drops the heartbeats of an endpoint that signed off.
    pub fn remove(&mut self, id: &str) {
        self.heartbeats.retain(|(held, _), _| held != id);
    }

    /// Takes the heartbeats of the services for which `named` returns true.
    pub fn take(&mut self, named: impl Fn(&str) -> bool) -> Vec<Heartbeat> {
        let taken = self
            .heartbeats
            .extract_if(.., |(_, service), _| named(service.as_str()));
        taken.map(|(_, heartbeat)| heartbeat).collect()
    }

    /// Removes the heartbeats that are too old to count. It goes through all only if one may have
    /// expired.
    pub fn expire(&mut self, now: Instant) {
        if self.expire_at.is_none_or(|at| now < at) {
            return;
        }
        self.heartbeats
            .retain(|_, heartbeat| now < heartbeat.received_at + RETENTION);
        let received = self.heartbeats.values();
        let first = received.map(|heartbeat| heartbeat.received_at).min();
        self.expire_at = first.map(|at| at + RETENTION);
    }
}

//! Heartbeats of endpoints and rumors about them, on their way to the registry.
//!
//! Only endpoints whose service the routing document names are listed. The others are held back
//! in [`Pending`](crate::process::registry::Pending) until a document names their service.

use std::time::Instant;

use super::{Command, Gateway, Sink};
use crate::process::endpoint::Phase;
use crate::process::registry::{Announcement, Content, Heartbeat, Rumor, Source};
use crate::version::Service;
use crate::version::routing::check::warning::Listing;

impl Gateway {
    /// Whether an endpoint of this identifier sent a heartbeat, listed or not.
    #[must_use]
    pub fn knows_endpoint(&self, id: &str) -> bool {
        self.registry.row(id).is_some() || self.pending.contains(id)
    }

    /// The start and the phase of an endpoint as its latest heartbeat tells, listed or not.
    #[must_use]
    pub fn last_heartbeat(&self, id: &str, service: &Service) -> Option<(u64, Phase)> {
        let row = self.registry.row(id);
        let row = row.filter(|row| row.announcement.service == *service);
        let held = || self.pending.get(id, service);
        let listed = row.map(|row| (row.stamp.started_ms, row.announcement.phase));
        listed.or_else(|| held().map(|held| (held.stamp.started_ms, held.phase)))
    }

    /// Whether the routing document names a service.
    #[must_use]
    pub fn is_named(&self, service: &str) -> bool {
        let routing = self.routing.as_ref();
        routing.is_some_and(|routing| routing.pool(service).is_some())
    }

    /// The number of endpoints that accept requests, by service. Those that are held back count,
    /// because a document that is to be published may name their service.
    #[must_use]
    pub fn listing(&self) -> Listing {
        let rows = self.registry.rows().filter(|row| row.accepts_requests());
        let listed = rows.map(|row| &*row.announcement);
        let mut listing = Listing::new();
        for announcement in listed.chain(self.pending.accepting()) {
            let service = announcement.service.clone();
            *listing.entry(service).or_default() += 1;
        }
        listing
    }

    /// Lists an endpoint that sent a heartbeat to this gateway.
    pub(super) fn receive_heartbeat<S>(
        &mut self,
        now: Instant,
        announcement: &Announcement,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        if !self.is_named(announcement.service.as_str()) {
            return self.pending.insert(Heartbeat {
                announcement: announcement.clone(),
                received_at: now,
                direct: true,
            });
        }
        self.confirm_restart(now, announcement, out);
        let changed = self.registry.record_heartbeat(now, announcement);
        self.update_adapters(now, &announcement.id);
        self.wake_on_change(now, changed);
    }

    /// Applies what another gateway tells of an endpoint.
    pub(super) fn receive_rumor<S>(
        &mut self,
        now: Instant,
        rumor: &Rumor,
        source: Source,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        match &rumor.content {
            Content::Announced(announcement) if !self.is_named(announcement.service.as_str()) => {
                return self.pending.insert(Heartbeat {
                    announcement: Announcement::clone(announcement),
                    received_at: rumor.received_at(now),
                    direct: false,
                });
            }
            Content::Renewed { start, sequence }
            | Content::Adapted {
                start, sequence, ..
            } => {
                let received_at = rumor.received_at(now);
                self.pending.renew(received_at, *start, *sequence);
            }
            Content::SignedOff(announcement) => {
                self.pending.remove(&announcement.id);
                let row = self.registry.row(&announcement.id);
                let is_listed =
                    row.is_some_and(|row| row.announcement.service == announcement.service);
                if !is_listed && !self.is_named(announcement.service.as_str()) {
                    return;
                }
            }
            Content::Announced(_) => {}
        }
        let changed = self.registry.apply_from(now, rumor, source);
        match &rumor.content {
            Content::Announced(announcement) => {
                self.update_adapters(now, &announcement.id);
                self.confirm_restart(now, announcement, out);
            }
            Content::Adapted { start, .. } => {
                if let Some(id) = self.registry.id(*start).map(str::to_owned) {
                    self.update_adapters(now, &id);
                }
            }
            Content::Renewed { .. } | Content::SignedOff(_) => {}
        }
        self.wake_on_change(now, changed);
    }

    /// Ends the listing of an endpoint that signed off at this gateway.
    pub(super) fn receive_sign_off(&mut self, now: Instant, id: &str) {
        self.pending.remove(id);
        let changed = self.registry.record_sign_off(now, id);
        self.wake_on_change(now, changed);
    }

    /// Lists the endpoints whose services a new routing document names. Those whose services it
    /// no longer names give up their addresses.
    pub(super) fn update_services<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let Some(routing) = self.routing.clone() else {
            return;
        };
        let named = |service: &str| routing.pool(service).is_some();
        self.registry.set_named(named);
        for heartbeat in self.pending.take(named) {
            let announcement = &heartbeat.announcement;
            self.confirm_restart(now, announcement, out);
            let changed = self.registry.list(&heartbeat);
            self.update_adapters(now, &announcement.id);
            self.wake_on_change(now, changed);
        }
    }
}

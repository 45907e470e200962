//! The known state of one endpoint.

use std::rc::Rc;
use std::time::Instant;

use super::{Announcement, Content, Key, Renewal, Rumor, Stamp};
use crate::process::endpoint::Phase;

/// The known state of one endpoint.
#[derive(Clone, Debug)]
pub struct Row {
    /// The latest heartbeat with a changed state or changed adapters.
    pub announcement: Rc<Announcement>,
    /// The stamp of the latest heartbeat.
    pub stamp: Stamp,
    /// The stamp of the latest heartbeat that told its adapters.
    pub(super) adapted: Stamp,
    /// When any gateway last received a heartbeat or the sign-off of the endpoint.
    pub last_heard: Instant,
    /// Whether the endpoint signed off.
    pub signed_off: bool,
    /// Whether the routing document no longer names its service, so that it has no claim to its
    /// address.
    pub(super) unnamed: bool,
    /// The key of the start.
    pub(super) start: Key,
    /// A digest of the state.
    pub(super) digest: u64,
    /// The revision of the latest change of the state, whoever told this gateway of it.
    pub(super) learned_revision: u64,
    /// The revision of the latest change that this gateway is the first to know.
    pub(super) changed_revision: u64,
    /// The revision of the latest change that it passes on.
    pub(super) passed_revision: u64,
    /// The heartbeats without changes, by [`Source`].
    pub(super) renewals: [Renewal; 3],
}

impl Row {
    /// Whether the endpoint announced that it accepts requests.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        !self.signed_off && self.announcement.phase == Phase::Ready
    }

    /// Records that the state has changed.
    pub(super) fn change(&mut self, revision: u64, is_first: bool) {
        self.learned_revision = revision;
        if is_first {
            self.changed_revision = revision;
        } else {
            self.passed_revision = revision;
        }
        self.digest = self.announcement.digest() ^ self.start.0 ^ u64::from(self.signed_off);
    }

    /// Records a heartbeat without changes.
    pub(super) fn renew(&mut self, last_heard: Instant, stamp: Stamp) {
        if self.stamp.started_ms == stamp.started_ms && self.stamp < stamp {
            self.stamp = stamp;
            self.last_heard = self.last_heard.max(last_heard);
        }
    }

    /// The state, for another gateway.
    pub(super) fn rumor(&self, now: Instant) -> Rumor {
        let announcement = Rc::clone(&self.announcement);
        Rumor {
            age: now.saturating_duration_since(self.last_heard),
            content: if self.signed_off {
                Content::SignedOff(announcement)
            } else {
                Content::Announced(announcement)
            },
        }
    }

    /// Whether the start `started_ms` of the endpoint leaves.
    pub(super) fn is_leaving(&self, started_ms: u64) -> bool {
        self.announcement.phase == Phase::Draining && self.stamp.started_ms == started_ms
    }
}

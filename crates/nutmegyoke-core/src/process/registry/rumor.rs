//! The content of gossip between gateways: the state of each endpoint.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::{Announcement, Key, Sequence};

/// The state of one endpoint, as gossiped between gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct Rumor {
    /// The age of the endpoint's heartbeat when the rumor was sent.
    pub age: Duration,
    /// The state of the endpoint.
    pub content: Content,
}

impl Rumor {
    /// When a gateway received the heartbeat that the rumor tells of.
    #[must_use]
    pub fn received_at(&self, now: Instant) -> Instant {
        now.checked_sub(self.age).unwrap_or(now)
    }
}

/// The content of a rumor.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// A heartbeat with a changed state.
    Announced(Rc<Announcement>),
    /// A heartbeat with the same state as the previous one.
    Renewed { start: Key, sequence: Sequence },
    /// A heartbeat with the same state and other adapters, which change often. It tells the
    /// remaining time of the warm-up, too.
    Adapted {
        start: Key,
        sequence: Sequence,
        warmup: Duration,
        adapters: Vec<String>,
    },
    /// The endpoint signed off. The latest heartbeat is included for gateways that do not
    /// know the endpoint.
    SignedOff(Rc<Announcement>),
}

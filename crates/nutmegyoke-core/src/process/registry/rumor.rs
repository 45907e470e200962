//! Gossip between gateways about endpoints.

use std::rc::Rc;
use std::time::Duration;

use super::{Announcement, Stamp};

/// The state of one endpoint, as gossiped between gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct Rumor {
    /// The time between the endpoint's heartbeat and the sending of the rumor.
    pub age: Duration,
    /// The state of the endpoint.
    pub content: Content,
}

/// The content of a rumor.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// A heartbeat with a changed state.
    Announced(Rc<Announcement>),
    /// A heartbeat with the same state as the previous one.
    Renewed { id: String, stamp: Stamp },
    /// The endpoint signed off. The latest heartbeat is included for gateways that do not
    /// know the endpoint.
    SignedOff(Rc<Announcement>),
}

//! What gateways tell each other of endpoints.

use std::rc::Rc;
use std::time::Duration;

use super::{Announcement, Stamp};

/// News of one endpoint, with its age when it was sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Rumor {
    /// How long ago it was heard.
    pub age: Duration,
    /// What was heard.
    pub content: Content,
}

/// What was heard of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// A heartbeat that says something new.
    Announced(Rc<Announcement>),
    /// A heartbeat that repeats the one before.
    Renewed { id: String, stamp: Stamp },
    /// The endpoint signed off; its latest heartbeat, for those who never heard of it.
    Left(Rc<Announcement>),
}

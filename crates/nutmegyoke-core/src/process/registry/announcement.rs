//! What an endpoint without an agent tells of itself.

use std::net::SocketAddr;
use std::time::Duration;

use crate::process::DataCentre;
use crate::process::endpoint::Phase;
use crate::version::{Model, Service};

/// One heartbeat of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// Identifies the endpoint; a restarted one may come back under the same id.
    pub id: String,
    /// The service that it belongs to.
    pub service: Service,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where it is.
    pub data_centre: DataCentre,
    /// When it started.
    pub stamp: Stamp,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: Phase,
    /// How much longer it works slowly after its start.
    pub warmup: Duration,
    /// When it is gone for good, if it leaves at short notice.
    pub leaves_in: Option<Duration>,
    /// The models that it holds; empty for plain services.
    pub models: Vec<Model>,
    /// The adapters that it holds, as MODEL/NAME.
    pub adapters: Vec<String>,
    /// The models of which it has a copy outside of the accelerator.
    pub warm_copies: Vec<Model>,
}

/// Orders the heartbeats of an endpoint: a later start wins, then a higher count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    /// The start of the endpoint, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Counts its heartbeats since then.
    pub sequence: u64,
}

impl Announcement {
    /// Whether `other` offers the same, apart from adapters, which come and go.
    #[must_use]
    pub fn is_equivalent(&self, other: &Self) -> bool {
        self.id == other.id
            && self.service == other.service
            && self.address == other.address
            && self.stamp.started_ms == other.stamp.started_ms
            && self.slots == other.slots
            && self.phase == other.phase
            && self.models == other.models
            && self.warm_copies == other.warm_copies
            && self.leaves_in.is_some() == other.leaves_in.is_some()
    }
}

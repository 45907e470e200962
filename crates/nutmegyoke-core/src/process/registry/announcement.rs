//! The heartbeat that an endpoint without an agent sends to gateways.

use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use rapidhash::fast::RapidHasher;

use crate::process::DataCentre;
use crate::process::endpoint::Phase;
use crate::version::{Model, Service};

/// A heartbeat of an endpoint, with its state.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// The identifier of the endpoint. A restarted endpoint may keep its identifier.
    pub id: String,
    /// The service that it belongs to.
    pub service: Service,
    /// The address where it accepts requests.
    pub address: SocketAddr,
    /// The data centre of the endpoint.
    pub data_centre: DataCentre,
    /// When the endpoint started, and the number of this heartbeat.
    pub stamp: Stamp,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub phase: Phase,
    /// The remaining time of its warm-up, during which it is slower.
    pub warmup: Duration,
    /// The time until its shutdown, if that is announced.
    pub leaves_in: Option<Duration>,
    /// The models in its accelerator memory; empty for plain services.
    pub models: Vec<Model>,
    /// The adapters in its accelerator memory, as MODEL/NAME.
    pub adapters: Vec<String>,
    /// The version of its software. Streams of two versions don't fit together.
    pub build: String,
    /// The models of which it has a warm copy outside the accelerator memory.
    pub warm_copies: Vec<Model>,
}

/// Orders the heartbeats of an endpoint: by its start, then by sequence number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    /// When the endpoint started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The number of the heartbeat since the start.
    pub sequence: u64,
}

impl Announcement {
    /// Whether `other` describes the same state. Adapters and remaining times are not compared,
    /// because they change often.
    #[must_use]
    pub fn is_equivalent(&self, other: &Self) -> bool {
        self.id == other.id
            && self.service == other.service
            && self.address == other.address
            && self.stamp.started_ms == other.stamp.started_ms
            && self.build == other.build
            && self.slots == other.slots
            && self.phase == other.phase
            && self.models == other.models
            && self.warm_copies == other.warm_copies
            && self.leaves_in.is_some() == other.leaves_in.is_some()
    }

    /// A digest of the state that [`Announcement::is_equivalent`] compares.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = RapidHasher::default();
        self.id.hash(&mut hasher);
        self.service.as_str().hash(&mut hasher);
        self.address.hash(&mut hasher);
        self.stamp.started_ms.hash(&mut hasher);
        self.build.hash(&mut hasher);
        self.slots.hash(&mut hasher);
        (self.phase == Phase::Draining).hash(&mut hasher);
        for list in [&self.models, &self.warm_copies] {
            list.len().hash(&mut hasher);
            for model in list {
                model.as_str().hash(&mut hasher);
            }
        }
        self.leaves_in.is_some().hash(&mut hasher);
        hasher.finish()
    }
}

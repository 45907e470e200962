//! An endpoint as a routing candidate, and its estimated load.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a reported load is used to estimate the requests of other entries.
const REPORT_MAX_AGE: Duration = Duration::from_mins(1);

/// How long a candidate that failed to accept a request is ejected.
const EJECTION_TIME: Duration = Duration::from_secs(2);

/// An endpoint on one incarnation of its agent.
#[derive(Debug)]
pub struct Candidate {
    /// The name of the endpoint's VM.
    pub vm: String,
    /// The incarnation of the agent on that VM.
    pub incarnation: u64,
    /// The address of the agent.
    pub address: SocketAddr,
    /// The name of the endpoint, unique on its VM.
    pub endpoint: String,
    /// The number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// The estimated load; it outlives changes of the endpoint in the directory.
    pub load: Rc<Load>,
}

/// The load of a candidate, as one entry estimates it.
#[derive(Debug, Default)]
pub struct Load {
    /// Requests of this entry in flight.
    in_flight: Cell<u32>,
    report: Cell<Option<Report>>,
    ejected_until: Cell<Option<Instant>>,
}

/// A load reported by an agent.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// Requests queued and running at the endpoint, of all entries.
    load: u32,
    /// Requests of this entry in flight when the report arrived.
    in_flight: u32,
    received: Instant,
}

impl Load {
    /// Adds a dispatched request.
    pub fn increment(&self) {
        self.in_flight.set(self.in_flight.get() + 1);
    }

    /// Removes a request whose attempt ended.
    pub fn decrement(&self) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
    }

    /// Records the number of requests queued and running at the endpoint, of all
    /// entries, and ends an ejection.
    pub fn report(&self, now: Instant, load: u32) {
        self.report.set(Some(Report {
            load,
            in_flight: self.in_flight.get(),
            received: now,
        }));
        self.ejected_until.set(None);
    }

    /// Ejects the candidate for a while, because it failed to accept a request.
    pub fn eject(&self, now: Instant) {
        self.ejected_until.set(Some(now + EJECTION_TIME));
    }

    /// The load as last reported; 0 without a report.
    #[must_use]
    pub fn reported(&self) -> u32 {
        self.report.get().map_or(0, |report| report.load)
    }

    /// The load as last reported, corrected by the requests that this entry
    /// dispatched and finished since.
    #[must_use]
    pub fn estimate(&self, now: Instant) -> u32 {
        let in_flight = self.in_flight.get();
        match self.report.get() {
            Some(report) if now.saturating_duration_since(report.received) < REPORT_MAX_AGE => {
                let others = report.load.saturating_sub(report.in_flight);
                others + in_flight
            }
            _ => in_flight,
        }
    }

    fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.get().is_some_and(|until| now < until)
    }
}

impl Candidate {
    /// The estimated fraction of slots in use; at 1 or above a request would queue.
    #[must_use]
    pub fn utilisation(&self, now: Instant) -> f64 {
        f64::from(self.load.estimate(now)) / f64::from(self.slots.max(1))
    }

    /// Whether the candidate is not ejected.
    #[must_use]
    pub fn is_available(&self, now: Instant) -> bool {
        !self.load.is_ejected(now)
    }

    /// Whether both are the same endpoint on the same incarnation of its agent.
    #[must_use]
    pub fn same_as(&self, other: &Self) -> bool {
        self.vm == other.vm
            && self.endpoint == other.endpoint
            && self.incarnation == other.incarnation
    }
}

//! An endpoint as an entry sees it, with what the entry knows of its load.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long a report says anything about the load that others put on a place.
const REPORT_LIFE: Duration = Duration::from_mins(1);

/// How long a place that failed to take a request is passed over.
const SHUN: Duration = Duration::from_secs(2);

/// An endpoint on one run of its agent.
#[derive(Debug)]
pub struct Place {
    /// The name of the VM.
    pub vm: String,
    /// The run of its agent.
    pub incarnation: u64,
    /// Where its agent is reached.
    pub address: SocketAddr,
    /// The endpoint on that VM.
    pub endpoint: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// What is known of its load; kept when the directory's row changes.
    pub gauge: Rc<Gauge>,
}

/// What an entry knows of the load of a place.
#[derive(Debug, Default)]
pub struct Gauge {
    own: Cell<u32>,
    report: Cell<Option<Report>>,
    shunned: Cell<Option<Instant>>,
}

/// A load that an agent reported.
#[derive(Clone, Copy, Debug)]
struct Report {
    load: u32,
    own: u32,
    at: Instant,
}

impl Gauge {
    /// Counts a dispatched request.
    pub fn add(&self) {
        self.own.set(self.own.get() + 1);
    }

    /// Counts the end of an attempt.
    pub fn remove(&self) {
        self.own.set(self.own.get().saturating_sub(1));
    }

    /// Takes in the requests queued and running at the place, of all entries.
    pub fn report(&self, now: Instant, load: u32) {
        self.report.set(Some(Report {
            load,
            own: self.own.get(),
            at: now,
        }));
        self.shunned.set(None);
    }

    /// Passes the place over for a while: it failed to take a request.
    pub fn shun(&self, now: Instant) {
        self.shunned.set(Some(now + SHUN));
    }

    /// The load as last reported, 0 without a report.
    #[must_use]
    pub fn reported(&self) -> u32 {
        self.report.get().map_or(0, |report| report.load)
    }

    /// The load as last reported, corrected by what this entry dispatched and
    /// ended since.
    #[must_use]
    pub fn estimate(&self, now: Instant) -> u32 {
        let own = self.own.get();
        match self.report.get() {
            Some(report) if now.saturating_duration_since(report.at) < REPORT_LIFE => {
                let others = report.load.saturating_sub(report.own);
                others + own
            }
            _ => own,
        }
    }

    fn is_shunned(&self, now: Instant) -> bool {
        self.shunned.get().is_some_and(|until| now < until)
    }
}

impl Place {
    /// The share of its slots in use, as far as this entry can tell; 1 and more
    /// mean that a request would wait.
    #[must_use]
    pub fn utilisation(&self, now: Instant) -> f64 {
        f64::from(self.gauge.estimate(now)) / f64::from(self.slots.max(1))
    }

    /// Whether the place may be tried: it did not just fail.
    #[must_use]
    pub fn is_trusted(&self, now: Instant) -> bool {
        !self.gauge.is_shunned(now)
    }

    /// Whether both are the same endpoint on the same run of its agent.
    #[must_use]
    pub fn is(&self, other: &Self) -> bool {
        self.vm == other.vm
            && self.endpoint == other.endpoint
            && self.incarnation == other.incarnation
    }
}

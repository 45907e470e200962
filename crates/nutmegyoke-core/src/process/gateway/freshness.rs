//! Finds out from other gateways that a newer routing document is in force, and fetches it.
//!
//! Documents usually come through the replicated log. A gateway that can't receive the log, because
//! its leader or the connections to it are gone, still hears of newer documents by gossip.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{Command, Gateway, Sink};

/// How long the log may take to bring a document that another gateway has. Usually all gateways
/// have it within one round trip.
const LOG_GRACE: Duration = Duration::from_millis(250);

/// The delay before a document is fetched again.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(600);

/// A newer routing document that another gateway has in force.
#[derive(Clone, Copy, Debug)]
pub struct Newer {
    number: u64,
    /// Where the gateway that has it receives gossip.
    gateway: SocketAddr,
    /// When it is fetched.
    due: Instant,
}

impl Newer {
    pub fn due(&self) -> Instant {
        self.due
    }
}

impl Gateway {
    /// The number of the routing document in force; 0 if there is none.
    #[must_use]
    pub fn document(&self) -> u64 {
        self.routing.as_ref().map_or(0, |routing| routing.number())
    }

    /// Records the number of the document that another gateway has in force.
    pub(super) fn hear_document(&mut self, now: Instant, gateway: SocketAddr, number: u64) {
        if number <= self.document() {
            return;
        }
        let due = self.newer.map_or(now + LOG_GRACE, |newer| newer.due);
        if self.newer.is_none_or(|newer| newer.number <= number) {
            self.newer = Some(Newer {
                number,
                gateway,
                due,
            });
        }
    }

    /// Fetches a newer document that the log did not bring in time.
    pub(super) fn fetch_document<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let document = self.document();
        self.newer = self.newer.filter(|newer| document < newer.number);
        let Some(newer) = self.newer.as_mut().filter(|newer| newer.due <= now) else {
            return;
        };
        newer.due = now + FETCH_RETRY_DELAY;
        out.push(Command::Fetch {
            gateway: newer.gateway,
            above: document,
        });
    }
}

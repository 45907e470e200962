//! The gateways that borrow units of a tenant from this one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a gateway counts after it asked. Gossip finds out within this time whether another
/// one can be reached.
pub const RETENTION: Duration = Duration::from_secs(3);

/// The part that a new gap has in the averaged gap between two asks.
const GAP_WEIGHT: f64 = 0.3;

/// The gap of a gateway that has asked once.
const FIRST_GAP: f64 = 200.0;

/// A gateway is taken for cut off if it has not asked for so many of its gaps. At random moments
/// one gap in 90 is that long, and costs a little of the rate until the next ask. With six, a fleet
/// that splits into four during a surge exceeds the bound by 2%.
const SILENT_GAPS: f64 = 4.5;

/// The shortest silence that counts. A request that waits for an answer takes up to 150 ms.
const MIN_SILENCE: Duration = Duration::from_millis(250);

/// The gateways that asked within the retention, by the address where they receive gossip.
#[derive(Debug, Default)]
pub struct Askers {
    gateways: BTreeMap<SocketAddr, Asker>,
    /// The number of asks of all gateways.
    asks: u32,
}

#[derive(Clone, Copy, Debug)]
struct Asker {
    asked_at: Instant,
    /// When it was last known to be reachable, and the number of asks by then.
    reached_at: Instant,
    reached_after: u32,
    /// The averaged gap between two of its asks, as the number of asks of all gateways. It does
    /// not depend on the load of the tenant.
    gap: f64,
}

impl Askers {
    /// Records that a gateway asks.
    pub fn record(&mut self, now: Instant, gateway: SocketAddr) {
        self.gateways
            .retain(|_, asker| now < asker.asked_at + RETENTION);
        self.asks = self.asks.wrapping_add(1);
        let asks = self.asks;
        let asker = self.gateways.entry(gateway).or_insert(Asker {
            asked_at: now,
            reached_at: now,
            reached_after: asks,
            gap: FIRST_GAP,
        });
        let gap = f64::from(asks.wrapping_sub(asker.reached_after));
        asker.gap = asker.gap * (1.0 - GAP_WEIGHT) + gap * GAP_WEIGHT;
        asker.asked_at = now;
        asker.reached_at = now;
        asker.reached_after = asks;
    }

    /// Records that a gateway was reached otherwise.
    pub fn reach(&mut self, now: Instant, gateway: SocketAddr) {
        if let Some(asker) = self.gateways.get_mut(&gateway) {
            asker.reached_at = now;
            asker.reached_after = self.asks;
        }
    }

    /// The number of gateways that asked within the retention.
    pub fn count(&self) -> usize {
        self.gateways.len()
    }

    /// The number of those that are silent while the others go on to ask. They are likely to be gone
    /// or cut off, which gossip finds out later.
    pub fn silent(&self, now: Instant) -> usize {
        let askers = self.gateways.values();
        let silent = askers.filter(|asker| {
            let asks = f64::from(self.asks.wrapping_sub(asker.reached_after));
            asks > asker.gap * SILENT_GAPS && asker.reached_at + MIN_SILENCE < now
        });
        silent.count()
    }
}

//! Which gateway has acknowledged which revision of the registry.
//!
//! One message to a gateway is on its way at a time; what comes up meanwhile
//! goes into the next one. A gateway that was started again is told everything.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How often what is not urgent is sent: heartbeats that repeat the one before, and the
/// work at endpoints. Every second costs a third more bytes between data centres and
/// serves no better, see docs/MEASURES.md.
pub const GOSSIP_INTERVAL: Duration = Duration::from_secs(2);

/// The pause before a gateway that did not answer is tried again.
const PAUSE: Duration = Duration::from_millis(200);

/// The other gateways.
#[derive(Debug, Default)]
pub struct Gossip {
    peers: BTreeMap<SocketAddr, Peer>,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    /// The run of its process that acknowledged.
    run: Option<u64>,
    acknowledged: u64,
    /// The revision that is on its way.
    sent: Option<u64>,
    /// When the next message is due.
    due: Instant,
}

impl Gossip {
    /// How many other gateways there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether there is no other gateway.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Replaces the list of the other gateways.
    pub fn set_peers(&mut self, now: Instant, addresses: &[SocketAddr]) {
        self.peers.retain(|address, _| addresses.contains(address));
        for &address in addresses {
            self.peers.entry(address).or_insert(Peer {
                run: None,
                acknowledged: 0,
                sent: None,
                due: now,
            });
        }
    }

    /// Lets what changed leave at once.
    pub fn expedite(&mut self, now: Instant) {
        for peer in self.peers.values_mut() {
            // A gateway that did not answer keeps its pause.
            if peer.run.is_some() {
                peer.due = peer.due.min(now);
            }
        }
    }

    /// The gateways that are due a message, with the revision that each acknowledged;
    /// where nothing has changed, only if this gateway is `busy` with work to tell of.
    ///
    /// `revision` is taken to be on its way to them from now on.
    pub fn due(&mut self, now: Instant, revision: u64, busy: bool) -> Vec<(SocketAddr, u64)> {
        let mut due = Vec::new();
        for (&address, peer) in &mut self.peers {
            if peer.sent.is_some() || peer.due > now {
                continue;
            }
            peer.due = now + GOSSIP_INTERVAL;
            let news = peer.acknowledged < revision || peer.run.is_none();
            if news || busy {
                peer.sent = Some(revision);
                due.push((address, peer.acknowledged));
            }
        }
        due
    }

    /// Takes in how a message ended: the run that has it, or `None` if it may be lost.
    pub fn record_delivery(&mut self, now: Instant, address: SocketAddr, run: Option<u64>) {
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        let sent = peer.sent.take();
        match (run, sent) {
            (Some(run), Some(sent)) if peer.run.is_none_or(|known| known == run) => {
                peer.run = Some(run);
                peer.acknowledged = sent;
            }
            (Some(run), _) => {
                peer.run = Some(run);
                peer.acknowledged = 0;
                peer.due = now;
            }
            (None, _) => {
                peer.run = None;
                peer.acknowledged = 0;
                peer.due = now + PAUSE;
            }
        }
    }

    /// When the next message is due.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let idle = self.peers.values().filter(|peer| peer.sent.is_none());
        idle.map(|peer| peer.due).min()
    }
}

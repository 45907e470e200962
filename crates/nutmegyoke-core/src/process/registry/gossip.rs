//! Tracks which revision of the registry and of the evidence on crashes each other gateway
//! has acknowledged, and when the next message to it is due.
//!
//! At most one message to each gateway is in flight; later changes are sent with the
//! next one. A restarted gateway is sent everything.
//!
//! One gateway of each data centre is its relay: the first in a rendezvous hash among those that
//! this gateway reaches. Gateways exchange messages with the relay of their own data centre, and
//! relays with each other, at a short interval. Another gateway of a data centre is sent only
//! changes while it is covered: the relay that this gateway follows passes on that one's work. Each
//! gateway judges by its own view, so that views which differ cost bytes, but lose nothing.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rapidhash::v3::rapidhash_v3;
use strum::{EnumCount, EnumIter, IntoEnumIterator, IntoStaticStr};

use super::{Key, RETENTION, Scope};
use crate::process::DataCentre;

/// The interval between messages without urgent changes, which hold unchanged heartbeats and
/// the load of endpoints. An interval of 1 s takes a third more bytes between data centres
/// without serving requests better.
pub const GOSSIP_INTERVAL: Duration = Duration::from_secs(2);

/// The interval between messages on the way from one data centre to another: a gateway to the
/// relay, from there to the other one, and to the gateways there. Three of them are less than
/// [`GOSSIP_INTERVAL`], so that what gateways know of each other's work is no older than without
/// relays.
pub const RELAY_INTERVAL: Duration = Duration::from_millis(600);

/// How long a gateway is covered after a summary with its work: four intervals. After that it is
/// sent messages directly, and so found to be gone, if it is.
const COVER_TIME: Duration = RELAY_INTERVAL.saturating_mul(4);

/// The shortest time between two messages to a gateway that [`Gossip::probe`] makes due. It bounds
/// their number, whatever clients request.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The most gateways that are remembered before they are listed.
const MAX_UNLISTED: usize = 64;

/// The delay before the next message to a gateway that did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// How long after an answer with another digest the gateway is sent a message again. What is on its
/// way from another one has arrived by then.
const CHECK_DELAY: Duration = Duration::from_millis(200);

/// The delays before a gateway is sent again what it lacks, the first and the longest one: gateways
/// may know different endpoints for long if they have different routing documents.
const REPAIR_DELAYS: [Duration; 2] = [Duration::from_secs(1), Duration::from_mins(1)];

/// A gateway that has not answered for this long is sent everything again: it may have been paused,
/// and have dropped what it knew.
const FORGET_TIME: Duration = Duration::from_secs(RETENTION.as_secs() / 2);

/// The revisions of what is gossiped; 0 stands for nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Revision {
    /// The revision of the registry.
    pub endpoints: u64,
    /// The revision of the latest change of an endpoint's state.
    pub changes: u64,
    /// The revision of the evidence on crashes.
    pub crashes: u64,
    /// The number of the routing document in force.
    pub document: u64,
}

/// The state of gossip with each other gateway, by the address where it receives gossip.
#[derive(Debug, Default)]
pub struct Gossip {
    peers: BTreeMap<SocketAddr, Peer>,
    /// The address and the data centre of this gateway; without them there are no relays.
    own: Option<(SocketAddr, DataCentre)>,
    /// The data centre and the run of each gateway that has told them, listed here or not yet.
    introduced: HashMap<SocketAddr, (DataCentre, u64)>,
    /// The relay of each data centre.
    relays: HashMap<DataCentre, SocketAddr>,
    /// Changes with the gateways that are listed or reached.
    view_revision: u64,
}

/// How this gateway and another one exchange what they know.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Link {
    /// Each sends its own work and the heartbeats that it received.
    #[default]
    Direct,
    /// The other one is the relay of this data centre.
    ToRelay,
    /// This gateway is the relay of their data centre.
    FromRelay,
    /// Both are relays.
    Relays,
    /// Relays carry all but changes.
    Relayed,
}

#[derive(Clone, Debug)]
struct Peer {
    /// Its data centre and the run of its process, once it has told them.
    introduced: Option<(DataCentre, u64)>,
    /// When it is told the demand for models next.
    demand_due: Option<Instant>,
    /// The revision of this gateway's registry when both had the same digest last.
    agreed: u64,
    /// When it first answered with another digest since.
    differs_since: Option<Instant>,
    /// When it may be sent what it lacks, and the delay after that.
    repair_due: Option<Instant>,
    repair_delay: Duration,
    /// The starts whose heartbeats it misses.
    missed: Vec<Key>,
    /// When it may be sent such heartbeats again, besides the regular messages.
    missed_due: Option<Instant>,
    /// Until when it is covered by the relay that this gateway follows.
    covered_until: Option<Instant>,
    /// The run of the process that acknowledged; `None` before its first answer.
    run: Option<u64>,
    /// When it last answered.
    answered_at: Option<Instant>,
    /// Whether it answered the latest message.
    reached: bool,
    /// The revision that it acknowledged; that of the endpoints by [`Scope`], because a message
    /// acknowledges only the heartbeats that it holds.
    acknowledged: Revision,
    heartbeats: [u64; Scope::COUNT],
    /// The revision and the scope of the message in flight, if there is one.
    in_flight: Option<(Revision, Scope)>,
    /// When the next message is due.
    due: Instant,
    /// When it acknowledged a message last.
    reached_at: Option<Instant>,
}

impl Link {
    /// The interval between messages without urgent changes.
    fn interval(self) -> Duration {
        match self {
            Self::Direct | Self::Relayed => GOSSIP_INTERVAL,
            Self::ToRelay | Self::FromRelay | Self::Relays => RELAY_INTERVAL,
        }
    }

    /// Which heartbeats the messages hold.
    #[must_use]
    pub fn scope(self) -> Scope {
        match self {
            Self::Direct | Self::ToRelay => Scope::Own,
            Self::FromRelay => Scope::Inward,
            Self::Relays => Scope::Outward,
            Self::Relayed => Scope::Changes,
        }
    }
}

impl Peer {
    fn data_centre(&self) -> Option<&DataCentre> {
        let (data_centre, _) = self.introduced.as_ref()?;
        Some(data_centre)
    }

    /// The revision that it acknowledged, of what a message of this scope holds.
    fn acknowledged(&self, scope: Scope) -> Revision {
        let wider = Scope::iter().filter(|wider| wider.includes(scope));
        let heartbeats = wider.map(|wider| self.heartbeats[wider as usize]).max();
        Revision {
            endpoints: heartbeats.unwrap_or_default(),
            ..self.acknowledged
        }
    }

    /// Has everything sent again.
    fn forget(&mut self) {
        self.acknowledged = Revision::default();
        self.heartbeats = [0; Scope::COUNT];
    }

    /// Makes a message due now, unless the gateway did not answer the latest one: then it keeps
    /// its retry delay.
    fn expedite(&mut self, now: Instant) {
        if self.reached {
            self.due = self.due.min(now);
        }
    }
}

impl Gossip {
    /// Opens the state of a gateway that receives gossip at `address`.
    #[must_use]
    pub fn open(address: SocketAddr, data_centre: &DataCentre) -> Self {
        Self {
            own: Some((address, data_centre.clone())),
            ..Self::default()
        }
    }

    /// Records the data centre of another gateway and the run of its process.
    pub fn introduce(
        &mut self,
        now: Instant,
        address: SocketAddr,
        run: u64,
        data_centre: &DataCentre,
    ) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.introduced = Some((data_centre.clone(), run));
        }
        // A gateway may introduce itself before it is listed here, but few do at a time.
        if self.introduced.len() > self.peers.len() + MAX_UNLISTED {
            self.introduced
                .retain(|address, _| self.peers.contains_key(address));
        }
        let introduced = (data_centre.clone(), run);
        self.introduced.insert(address, introduced);
        self.elect(now);
    }

    /// The data centre of the gateway whose process has this run, if it is known.
    #[must_use]
    pub fn data_centre(&self, run: u64) -> Option<&DataCentre> {
        let mut introduced = self
            .peers
            .values()
            .filter_map(|peer| peer.introduced.as_ref());
        let (data_centre, _) = introduced.find(|(_, known)| *known == run)?;
        Some(data_centre)
    }

    /// Whether two gateways are known to be in the same data centre.
    #[must_use]
    pub fn are_near(&self, one: SocketAddr, other: SocketAddr) -> bool {
        let one = self.data_centre_at(one);
        one.is_some() && one == self.data_centre_at(other)
    }

    /// Whether a process with this run acknowledged the latest message.
    #[must_use]
    pub fn is_reached(&self, run: u64) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| peer.reached && peer.run == Some(run))
    }

    /// The runs of the other gateways of this data centre that acknowledged the latest message.
    pub fn near_runs(&self) -> impl Iterator<Item = u64> {
        let near = self.peers.values().filter(|peer| {
            let own = self.own.as_ref().map(|(_, own)| own);
            peer.reached && peer.data_centre() == own
        });
        near.filter_map(|peer| peer.run)
    }

    /// How this gateway and the one at `address` exchange what they know.
    #[must_use]
    pub fn link(&self, now: Instant, address: SocketAddr) -> Link {
        let peer = self.peers.get(&address);
        let data_centre = peer.and_then(Peer::data_centre);
        let (Some(peer), Some(data_centre), Some((own, own_centre))) =
            (peer, data_centre, &self.own)
        else {
            return Link::Direct;
        };
        // Without another data centre there is nothing to pass on.
        if self.relays.len() < 2 {
            return Link::Direct;
        }
        let leads = self.relays.get(own_centre) == Some(own);
        let is_relay = self.relays.get(data_centre) == Some(&address);
        match (data_centre == own_centre, leads, is_relay) {
            (true, true, _) => Link::FromRelay,
            (true, false, true) => Link::ToRelay,
            (false, true, true) => Link::Relays,
            (false, ..) if peer.covered_until.is_some_and(|until| now < until) => Link::Relayed,
            (true, false, false) | (false, ..) => Link::Direct,
        }
    }

    /// Whether the next message to a gateway tells the demand for models; it changes slowly, and
    /// not each of the frequent messages to relays has to.
    pub fn tells_demand(&mut self, now: Instant, address: SocketAddr) -> bool {
        let Some(peer) = self.peers.get_mut(&address) else {
            return false;
        };
        let tells = peer.demand_due.is_none_or(|due| due <= now);
        if tells {
            peer.demand_due = Some(now + GOSSIP_INTERVAL);
        }
        tells
    }

    /// Records whether a gateway answered with the digest of this gateway's registry at `revision`,
    /// and which heartbeats it misses that this gateway has.
    pub fn compare(
        &mut self,
        now: Instant,
        address: SocketAddr,
        agrees: bool,
        revision: u64,
        missed: Vec<Key>,
    ) {
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        if !missed.is_empty() {
            peer.missed = missed;
            if peer.missed_due.is_none_or(|due| due <= now) {
                peer.missed_due = Some(now + RELAY_INTERVAL);
                peer.due = peer.due.min(now);
            }
        }
        if agrees {
            peer.agreed = revision;
            peer.differs_since = None;
            peer.repair_due = None;
            peer.repair_delay = REPAIR_DELAYS[0];
            return;
        }
        let since = *peer.differs_since.get_or_insert(now);
        let check = since + CHECK_DELAY;
        if now < check {
            peer.due = peer.due.min(check);
        } else if peer.repair_due.is_none_or(|due| due <= now) {
            peer.repair_due = Some(now);
            peer.due = peer.due.min(now);
        }
    }

    /// The revision after which the next message to a gateway holds all that this one learned, if
    /// that is due.
    pub fn repairs(&mut self, now: Instant, address: SocketAddr) -> Option<u64> {
        let peer = self.peers.get_mut(&address)?;
        peer.repair_due.filter(|&due| due <= now)?;
        peer.repair_due = Some(now + peer.repair_delay);
        peer.repair_delay = (peer.repair_delay * 2).min(REPAIR_DELAYS[1]);
        Some(peer.agreed)
    }

    /// The starts whose heartbeats a gateway misses.
    pub fn take_missed(&mut self, address: SocketAddr) -> Vec<Key> {
        let peer = self.peers.get_mut(&address);
        peer.map(|peer| std::mem::take(&mut peer.missed))
            .unwrap_or_default()
    }

    /// Records that the process with the run `from` sent a summary of the work of a data centre,
    /// which holds that of `members`. They are covered if what this gateway sends reaches them in
    /// return: it is a relay itself, or follows the one that passed on the summary.
    pub fn cover(&mut self, now: Instant, from: u64, data_centre: &DataCentre, members: &[u64]) {
        let mut peers = self.peers.iter();
        let sender = peers.find(|(_, peer)| {
            let introduced = peer.introduced.as_ref();
            introduced.is_some_and(|(_, run)| *run == from)
        });
        let Some((&sender, peer)) = sender.filter(|(_, peer)| peer.reached) else {
            return;
        };
        let follows = match (self.link(now, sender), peer.data_centre()) {
            (Link::ToRelay, _) => true,
            (Link::Relays, sender_centre) => sender_centre == Some(data_centre),
            _ => false,
        };
        if !follows {
            return;
        }
        let peers = self.peers.values_mut();
        for peer in peers.filter(|peer| peer.data_centre() == Some(data_centre)) {
            if peer.run.is_some_and(|run| members.contains(&run)) {
                peer.covered_until = Some(now + COVER_TIME);
            } else if peer.covered_until.take().is_some() {
                peer.expedite(now);
            }
        }
    }

    fn data_centre_at(&self, address: SocketAddr) -> Option<&DataCentre> {
        let own = self.own.as_ref().filter(|(own, _)| *own == address);
        let peer = self.peers.get(&address);
        own.map(|(_, data_centre)| data_centre)
            .or_else(|| peer.and_then(Peer::data_centre))
    }

    /// Finds the relay of each data centre. What went by another one before is sent at once, so that
    /// no heartbeat gets older than its lease meanwhile.
    fn elect(&mut self, now: Instant) {
        let relays = self.first_reached();
        if relays == self.relays {
            return;
        }
        let addresses: Vec<SocketAddr> = self.addresses().collect();
        let links: Vec<Link> = addresses.iter().map(|&to| self.link(now, to)).collect();
        let earlier = std::mem::replace(&mut self.relays, relays);
        let is_replaced = |name: &DataCentre| self.relays.get(name) != earlier.get(name);
        let own = self.own.as_ref();
        let follows_other = own.is_some_and(|(_, own)| is_replaced(own));
        for peer in self.peers.values_mut() {
            if follows_other || peer.data_centre().is_some_and(is_replaced) {
                peer.covered_until = None;
            }
        }
        for (address, link) in addresses.into_iter().zip(links) {
            if self.link(now, address) != link
                && let Some(peer) = self.peers.get_mut(&address)
            {
                peer.expedite(now);
            }
        }
    }

    /// The first gateway in the rendezvous hash that is reached, of each data centre.
    fn first_reached(&self) -> HashMap<DataCentre, SocketAddr> {
        let reached = self.peers.iter().filter(|(_, peer)| peer.reached);
        let peers = reached.filter_map(|(&address, peer)| Some((address, peer.data_centre()?)));
        let own = self.own.as_ref().map(|(address, own)| (*address, own));
        let mut relays: HashMap<DataCentre, (u64, SocketAddr)> = HashMap::new();
        for (address, data_centre) in peers.chain(own) {
            let rank = rapidhash_v3(address.to_string().as_bytes());
            match relays.get_mut(data_centre) {
                Some(first) => *first = (*first).max((rank, address)),
                None => drop(relays.insert(data_centre.clone(), (rank, address))),
            }
        }
        let relays = relays.into_iter();
        relays.map(|(name, (_, address))| (name, address)).collect()
    }

    /// The number of other gateways.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether there is no other gateway.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// The other gateways, reachable or not.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    /// A number that changes with what [`Gossip::addresses`] and [`Gossip::reachable`] return.
    #[must_use]
    pub fn view_revision(&self) -> u64 {
        self.view_revision
    }

    /// The gateways that acknowledged the latest message.
    pub fn reachable(&self) -> impl Iterator<Item = SocketAddr> {
        let peers = self.peers.iter().filter(|(_, peer)| peer.reached);
        peers.map(|(&address, _)| address)
    }

    /// The number of gateways that acknowledged the latest message, after `since`.
    #[must_use]
    pub fn reached_since(&self, since: Instant) -> usize {
        let reachable = self.peers.values().filter(|peer| peer.run.is_some());
        let reached = reachable.filter(|peer| peer.reached_at.is_some_and(|at| since < at));
        reached.count()
    }

    /// Replaces the list of the other gateways.
    pub fn set_peers(&mut self, now: Instant, addresses: &[SocketAddr]) {
        let before = self.peers.len();
        self.peers.retain(|address, _| addresses.contains(address));
        let kept = self.peers.len();
        for &address in addresses {
            self.peers.entry(address).or_insert(Peer {
                introduced: self.introduced.get(&address).cloned(),
                demand_due: None,
                agreed: 0,
                differs_since: None,
                repair_due: None,
                repair_delay: REPAIR_DELAYS[0],
                missed: Vec::new(),
                missed_due: None,
                covered_until: None,
                run: None,
                answered_at: None,
                reached: false,
                acknowledged: Revision::default(),
                heartbeats: [0; Scope::COUNT],
                in_flight: None,
                due: now,
                reached_at: None,
            });
        }
        if kept < before || kept < self.peers.len() {
            self.view_revision += 1;
        }
        self.elect(now);
    }

    /// Makes a message with the latest changes due now.
    pub fn expedite(&mut self, now: Instant) {
        for peer in self.peers.values_mut() {
            peer.expedite(now);
        }
    }

    /// Makes a message to one gateway due now, which tells the demand for models.
    pub fn expedite_to(&mut self, now: Instant, address: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.demand_due = None;
            peer.expedite(now);
        }
    }

    /// Makes a message to a gateway due now, because others may not reach it. The answer tells
    /// whether this one does.
    pub fn probe(&mut self, now: Instant, address: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&address)
            && peer.due + PROBE_INTERVAL < now + GOSSIP_INTERVAL
        {
            peer.due = peer.due.min(now);
        }
    }

    /// The gateways to which a message is due, with the revision that each acknowledged.
    ///
    /// If nothing has changed, a message is due only if this gateway is `busy`, that is,
    /// has load to report. `revision` then counts as in flight to these gateways.
    pub fn due(
        &mut self,
        now: Instant,
        revision: Revision,
        busy: bool,
    ) -> Vec<(SocketAddr, Revision)> {
        let mut due = Vec::new();
        let idle = self.peers.iter();
        let idle = idle.filter(|(_, peer)| peer.in_flight.is_none() && peer.due <= now);
        let links = idle.map(|(&address, _)| (address, self.link(now, address)));
        for (address, link) in links.collect::<Vec<_>>() {
            let Some(peer) = self.peers.get_mut(&address) else {
                continue;
            };
            peer.due = now + link.interval();
            let last_answer = peer.answered_at.filter(|_| !peer.reached);
            if last_answer.is_some_and(|at| at + FORGET_TIME <= now) {
                peer.forget();
            }
            let acknowledged = peer.acknowledged(link.scope());
            let unchanged = if link == Link::Relayed {
                let (known, new) = (acknowledged, revision);
                (known.changes, known.crashes, known.document)
                    == (new.changes, new.crashes, new.document)
            } else {
                let relays = link != Link::Direct;
                acknowledged == revision && !busy && !relays
            };
            let owes = !peer.missed.is_empty() || peer.differs_since.is_some();
            if !unchanged || !peer.reached || owes {
                peer.in_flight = Some((revision, link.scope()));
                due.push((address, acknowledged));
            }
        }
        due
    }

    /// Records the outcome of a message: the run of the process that received it, or `None`
    /// if it may be lost.
    pub fn record_delivery(&mut self, now: Instant, address: SocketAddr, run: Option<u64>) {
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        let in_flight = peer.in_flight.take();
        let was_reached = std::mem::replace(&mut peer.reached, run.is_some());
        peer.answered_at = run.map(|_| now).or(peer.answered_at);
        if run.is_some() {
            peer.reached_at = Some(now);
        }
        match (run, in_flight) {
            (Some(run), Some((revision, scope))) if peer.run.is_none_or(|known| known == run) => {
                peer.run = Some(run);
                peer.acknowledged = revision;
                peer.heartbeats[scope as usize] = revision.endpoints;
            }
            (Some(run), _) => {
                peer.run = Some(run);
                peer.forget();
                peer.agreed = 0;
                peer.due = now;
            }
            // It still has what it acknowledged, unless another run answers next.
            (None, _) => peer.due = now + RETRY_DELAY,
        }
        if run.is_some() != was_reached {
            self.view_revision += 1;
            self.elect(now);
        }
    }

    /// When the next message is due; `None` if a message is in flight to each gateway.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let idle = self.peers.values().filter(|peer| peer.in_flight.is_none());
        idle.map(|peer| peer.due).min()
    }
}

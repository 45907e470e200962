//! Bootstrap of a fleet.
//!
//! One replica, the founder, appends the first membership, once all other VMs
//! named in the settings have answered that they hold no state. If the settings list
//! all control VMs, the founder is the first by name. If they name only a few
//! contacts, it is the first by address of those that may bootstrap the fleet.
//!
//! The founder is the only voter until others have joined. With contacts, changes are accepted only
//! once another contact votes, so that none is acknowledged that is on the founder's disk alone, and
//! that a founder whose disk is lost leaves a voter among the contacts; and once as many replicas
//! vote that a majority of them outlives the tolerated losses. A second founder needs all contacts
//! without state, and all but one of them in their first run.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

use super::{
    Body, Command, Content, Entry, Membership, Message, Peer, Position, Replica, Roster, Sink,
    State,
};

/// The answers to probes, sent to the VMs of the settings before there is a fleet.
#[derive(Debug, Default)]
pub struct Probes {
    /// The names of VMs that hold no state.
    fresh: BTreeSet<String>,
    /// The addresses of VMs that hold no state, and whether they may bootstrap the fleet.
    founders: BTreeMap<SocketAddr, bool>,
}

impl<S: State> Replica<S> {
    /// Whether the settings allow this replica to bootstrap a fleet.
    pub(super) fn may_bootstrap(&self) -> bool {
        let own = &self.setup.seed;
        match &self.setup.roster {
            Roster::Listed { .. } => self.other_seeds().all(|seed| own.name < seed.name),
            Roster::Open {
                contacts,
                bootstrap,
            } => *bootstrap && !own.observer && self.is_fresh() && contacts.contains(&own.address),
        }
    }

    /// Whether all other VMs of the settings hold no state and none of them takes
    /// precedence as the founder.
    pub(super) fn is_founder(&self) -> bool {
        let own = self.setup.seed.address;
        match &self.setup.roster {
            Roster::Listed { .. } => self
                .other_seeds()
                .all(|seed| self.probes.fresh.contains(&seed.name)),
            Roster::Open { contacts, .. } => {
                let mut others = contacts.iter().filter(|&&address| address != own);
                // This replica counts as well. One that lost its disk may not bootstrap; if two did,
                // both may have voted.
                let founders = self.probes.founders.values().filter(|&&founder| founder);
                let first_runs = 1 + founders.count();
                first_runs + 1 >= contacts.len()
                    && others.all(|address| match self.probes.founders.get(address) {
                        Some(founder) => !founder || own < *address,
                        None => false,
                    })
            }
        }
    }

    /// Whether enough replicas vote, or did, to accept changes; see the module's description. Later
    /// runs need not ask: the fleet was founded before.
    pub(super) fn is_founded(&self) -> bool {
        let Roster::Open {
            contacts,
            bootstrap: true,
        } = &self.setup.roster
        else {
            return true;
        };
        if self.founded || contacts.len() <= 1 {
            return true;
        }
        // Contacts that never vote answered the founder's probe as no founders.
        let founders = self.probes.founders.values().filter(|&&founder| founder);
        let needed_contacts = (1 + founders.count()).min(2);
        let needed_voters = self
            .setup
            .tolerated_losses
            .map_or(needed_contacts, |losses| 2 * losses);
        let is_contact = |peer: &&Peer| contacts.contains(&peer.seed.address);
        let voters = self.membership.voters();
        voters.clone().count() >= needed_voters
            && voters.filter(is_contact).count() >= needed_contacts
    }

    /// Appends the first membership, with this replica as its only voter, and lets it
    /// campaign at once.
    pub(super) fn bootstrap(&mut self, now: Instant) {
        let own = &self.setup.seed;
        let open = matches!(self.setup.roster, Roster::Open { .. });
        let membership = Membership {
            open,
            names: if open {
                BTreeSet::new()
            } else {
                let names = self.other_seeds().map(|seed| seed.name.clone());
                names.chain([own.name.clone()]).collect()
            },
            peers: vec![Peer {
                id: self.setup.id,
                seed: own.clone(),
                voter: true,
            }],
        };
        self.vote.term = 1;
        self.log.push(Entry {
            position: Position { term: 1, index: 1 },
            content: Content::Membership(membership),
        });
        self.reload_membership();
        self.timeout_at = now;
    }

    pub(super) fn answer_probe<K>(&self, message: &Message<S>, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let body = Body::Probed {
            name: self.setup.seed.name.clone(),
            fresh: self.is_fresh(),
            founder: self.may_bootstrap(),
        };
        self.send_to_address(message.reply, Some(message.from), body, out);
    }

    pub(super) fn handle_probed(
        &mut self,
        address: SocketAddr,
        name: &str,
        fresh: bool,
        founder: bool,
    ) {
        if fresh {
            self.probes.fresh.insert(name.to_owned());
            self.probes.founders.insert(address, founder);
        } else {
            self.probes.fresh.remove(name);
            self.probes.founders.remove(&address);
        }
    }
}

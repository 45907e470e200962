//! How replicas come and go.
//!
//! A replica with an empty disk asks for a place and becomes a learner. The
//! leader makes it a voter once it has synced all that is committed; an
//! earlier life of the same VM's disk leaves the membership just before. Each
//! step is a membership of its own, and the next waits until it is committed.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

use super::{
    Body, Command, Content, Id, Membership, Message, Peer, Replica, Role, Roster, Seed, Sink,
    State, Wish,
};

impl<S: State> Replica<S> {
    /// Asks for a place, or founds the fleet; for a replica that doesn't vote.
    pub(super) fn look_for_fleet<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        self.alarm = now + self.heartbeat();
        let silent = now >= self.heard + self.setup.election * 2;
        if self.is_fresh() && self.leader.is_none() {
            if self.may_found() && self.is_founder() {
                self.found(now);
                return;
            }
        } else if !silent {
            return;
        }
        if self.may_found() {
            for address in self.contacts() {
                self.call(address, None, Body::Probe, out);
            }
        }
        self.ask_to_join(out);
    }

    pub(super) fn ask_to_join<K>(&self, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        for address in self.contacts() {
            self.join_by(address, out);
        }
    }

    fn join_by<K>(&self, address: SocketAddr, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let seed = self.setup.seed.clone();
        self.call(address, None, Body::Join { seed }, out);
    }

    pub(super) fn others(&self) -> impl Iterator<Item = &Seed> {
        let own = &self.setup.seed.name;
        let seeds = match &self.setup.roster {
            Roster::Listed { seeds } => seeds.as_slice(),
            Roster::Open { .. } => &[],
        };
        seeds.iter().filter(move |seed| &seed.name != own)
    }

    /// Where other replicas may be reached without a membership.
    fn contacts(&self) -> Vec<SocketAddr> {
        let own = self.setup.seed.address;
        match &self.setup.roster {
            Roster::Listed { .. } => self.others().map(|seed| seed.address).collect(),
            Roster::Open { contacts, .. } => {
                let known = self.membership.peers.iter().map(|peer| peer.seed.address);
                let all: BTreeSet<SocketAddr> = contacts.iter().copied().chain(known).collect();
                all.into_iter().filter(|&address| address != own).collect()
            }
        }
    }

    /// Takes over the VMs by which to join the fleet; others are not forgotten
    /// as long as they are members.
    pub(super) fn take_contacts(&mut self, addresses: &[SocketAddr]) {
        if let Roster::Open { contacts, .. } = &mut self.setup.roster {
            *contacts = addresses.to_vec();
        }
    }

    pub(super) fn call<K>(&self, address: SocketAddr, to: Option<Id>, body: Body<S>, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let message = Message {
            from: self.setup.id,
            reply: self.setup.seed.address,
            to,
            term: self.vote.term,
            body,
        };
        out.push(Command::Send { address, message });
    }

    /// Passes a wish to join on to the leader, which the new replica can't know.
    pub(super) fn pass_join<K>(&self, message: &Message<S>, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        // A message that was passed on carries an addressee and goes no further.
        let (Some(leader), None) = (self.leader, message.to) else {
            return;
        };
        let message = Message {
            to: Some(leader),
            ..message.clone()
        };
        self.emit(leader, message, out);
    }

    /// Takes in a message for an earlier life of this disk.
    ///
    /// It has no effect, but its sender leads a fleet that this replica belongs to
    /// and perhaps can't find by its contacts, which may all have been restarted too.
    pub(super) fn take_stray<K>(&self, message: &Message<S>, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let leads = matches!(message.body, Body::Append { .. } | Body::Install { .. });
        if leads && self.is_fresh() && self.leader.is_none() {
            self.join_by(message.reply, out);
        }
    }

    /// Whether the membership may change: one change at a time, and only after
    /// an entry of the present term is committed.
    pub(super) fn may_change(&self) -> bool {
        match self.role {
            Role::Leader { first, .. } => {
                self.commit >= first.max(self.membership_index) && !self.disk.stalled
            }
            _ => false,
        }
    }

    pub(super) fn change<K>(&mut self, now: Instant, membership: Membership, out: &mut K) -> u64
    where
        K: Sink<Command = Command<S>>,
    {
        let index = self.append(Content::Membership(membership.clone()));
        self.membership = membership;
        self.membership_index = index;
        self.adopt_peers(now);
        self.replicate(now, false, out);
        index
    }

    pub(super) fn take_join<K>(&mut self, now: Instant, from: Id, seed: &Seed, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let known = self.membership.peer(from).is_some();
        if known || !self.may_change() || !self.membership.admits(&seed.name) {
            return;
        }
        let mut membership = self.membership.clone();
        // A learner of the same VM is an earlier life of its disk.
        membership
            .peers
            .retain(|peer| peer.voter || peer.seed.name != seed.name);
        membership.peers.push(Peer {
            id: from,
            seed: seed.clone(),
            voter: false,
        });
        self.change(now, membership, out);
    }

    /// Moves a learner that has caught up one step towards its vote.
    pub(super) fn tend<K>(&mut self, now: Instant, id: Id, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let caught_up = self
            .matched(id)
            .is_some_and(|matched| matched >= self.commit);
        let learner = self.membership.peer(id).filter(|peer| !peer.voter);
        let learner = learner.filter(|peer| !peer.seed.observer);
        let Some(learner) = learner.filter(|_| caught_up && self.may_change()) else {
            return;
        };
        let name = learner.seed.name.clone();
        let mut membership = self.membership.clone();
        let earlier = |peer: &Peer| peer.id != id && peer.seed.name == name;
        if membership.peers.iter().any(earlier) {
            membership.peers.retain(|peer| !earlier(peer));
        } else {
            for peer in membership.peers.iter_mut().filter(|peer| peer.id == id) {
                peer.voter = true;
            }
        }
        self.change(now, membership, out);
    }

    pub(super) fn wish<K>(&mut self, now: Instant, call: u64, wish: Wish<'_>, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let mut membership = self.membership.clone();
        match wish {
            Wish::Add(name) => {
                membership.names.insert(name.to_owned());
            }
            Wish::Remove(name) => {
                membership.names.remove(name);
                membership.peers.retain(|peer| peer.seed.name != name);
            }
        }
        if self.leads() && membership == self.membership && self.may_change() {
            out.push(Command::Granted { call });
            return;
        }
        let leaves = membership.peer(self.setup.id).is_none();
        if !self.may_change() || membership.voters().next().is_none() {
            out.push(Command::Lost { call });
        } else if leaves {
            // Another leader carries out the removal of this one.
            out.push(Command::Lost { call });
            self.resign(now, out);
        } else {
            let index = self.change(now, membership, out);
            self.waiting.insert(index, call);
        }
    }
}

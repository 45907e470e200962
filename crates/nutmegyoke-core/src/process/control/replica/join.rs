//! Membership changes: replicas that join, become voters or are removed.
//!
//! A replica with an empty disk asks to join and becomes a learner. Once it has
//! synced all committed entries, the leader removes the VM's previous replica,
//! whose disk was lost, and then makes the learner a voter. Each step is a
//! membership entry of its own and waits until the one before is committed.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

use super::{
    Body, Change, Command, Content, Id, Membership, Message, Peer, Replica, Role, Roster, Seed,
    Sink, State,
};

/// How many contacts a replica asks at a time to let it join; any of them forwards the request
/// to the leader. Without a leader all replicas ask, and their contacts are all replicas.
const JOIN_FANOUT: usize = 3;

impl<S: State> Replica<S> {
    /// Asks to join a fleet, or bootstraps one. Only for a replica that doesn't vote.
    pub(super) fn join_or_bootstrap<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        self.timeout_at = now + self.heartbeat_interval();
        let leader_silent = now >= self.leader_heard_at + self.setup.election_timeout * 2;
        if self.is_fresh() && self.leader.is_none() {
            if self.may_bootstrap() && self.is_founder() {
                self.bootstrap(now);
                return;
            }
        } else if !leader_silent {
            return;
        }
        if self.may_bootstrap() {
            for address in self.contacts() {
                self.send_to_address(address, None, Body::Probe, out);
            }
        }
        self.request_join(out);
    }

    /// Asks some contacts, drawn at random, to let this replica join.
    pub(super) fn request_join<K>(&mut self, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let contacts = self.contacts();
        for address in self.random.choose_multiple(contacts, JOIN_FANOUT) {
            self.send_join(address, out);
        }
    }

    fn send_join<K>(&self, address: SocketAddr, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let seed = self.setup.seed.clone();
        self.send_to_address(address, None, Body::Join { seed }, out);
    }

    /// The other control VMs that the settings list; none with an open roster.
    pub(super) fn other_seeds(&self) -> impl Iterator<Item = &Seed> {
        let own = &self.setup.seed.name;
        let seeds = match &self.setup.roster {
            Roster::Listed { seeds } => seeds.as_slice(),
            Roster::Open { .. } => &[],
        };
        seeds.iter().filter(move |seed| &seed.name != own)
    }

    /// The addresses at which to look for the fleet: those of the settings and, with
    /// an open roster, of the known members.
    fn contacts(&self) -> Vec<SocketAddr> {
        let own = self.setup.seed.address;
        match &self.setup.roster {
            Roster::Listed { .. } => self.other_seeds().map(|seed| seed.address).collect(),
            Roster::Open { contacts, .. } => {
                let members = self.membership.peers.iter().map(|peer| peer.seed.address);
                let all: BTreeSet<SocketAddr> = contacts.iter().copied().chain(members).collect();
                all.into_iter().filter(|&address| address != own).collect()
            }
        }
    }

    /// Replaces the contacts of an open roster. The addresses of known members
    /// remain in use.
    pub(super) fn set_contacts(&mut self, addresses: &[SocketAddr]) {
        if let Roster::Open { contacts, .. } = &mut self.setup.roster {
            *contacts = addresses.to_vec();
        }
    }

    pub(super) fn send_to_address<K>(
        &self,
        address: SocketAddr,
        to: Option<Id>,
        body: Body<S>,
        out: &mut K,
    ) where
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

    /// Forwards a request to join to the leader, which the new replica can't know.
    pub(super) fn forward_join<K>(&self, message: &Message<S>, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        // A message with a receiver id was forwarded already and is dropped.
        let (Some(leader), None) = (self.leader, message.to) else {
            return;
        };
        let message = Message {
            to: Some(leader),
            ..message.clone()
        };
        self.send_now(leader, message, out);
    }

    /// Handles a message addressed to another id, that of this VM's previous replica.
    ///
    /// Its content is ignored. But if the sender leads, a fresh replica asks it to
    /// join: the replica may be unable to find the fleet through its contacts, which
    /// may all have been restarted too. A voter that polls learns from the request that the
    /// previous replica's disk is lost.
    pub(super) fn handle_misaddressed<K>(&self, message: &Message<S>, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let from_leader = matches!(message.body, Body::Append { .. } | Body::Install { .. });
        let poll = matches!(message.body, Body::Poll { .. });
        if (poll || from_leader && self.is_fresh()) && self.leader.is_none() {
            self.send_join(message.reply, out);
        }
    }

    /// Whether this replica may change the membership: one change at a time, and only
    /// after an entry of the current term is committed.
    pub(super) fn may_change_membership(&self) -> bool {
        match self.role {
            Role::Leader { first, .. } => {
                self.commit_index >= first.max(self.membership_index) && !self.disk.full
            }
            _ => false,
        }
    }

    /// Appends a membership, which is in force at once, and returns its index.
    pub(super) fn change_membership<K>(
        &mut self,
        now: Instant,
        membership: Membership,
        out: &mut K,
    ) -> u64
    where
        K: Sink<Command = Command<S>>,
    {
        let index = self.append(Content::Membership(membership.clone()));
        self.adopt_membership(membership, index);
        self.track_peers(now);
        self.replicate(now, false, out);
        index
    }

    pub(super) fn handle_join<K>(&mut self, now: Instant, from: Id, seed: &Seed, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let is_member = self.membership.peer(from).is_some();
        if is_member || !self.may_change_membership() || !self.membership.admits(&seed.name) {
            return;
        }
        let mut membership = self.membership.clone();
        // Another learner of the same VM is its previous replica, whose disk was lost.
        membership
            .peers
            .retain(|peer| peer.voter || peer.seed.name != seed.name);
        membership.peers.push(Peer {
            id: from,
            seed: seed.clone(),
            voter: false,
        });
        self.change_membership(now, membership, out);
    }

    /// Takes the next step to make a learner that has caught up a voter: removes the
    /// VM's previous replica, or, if there is none, makes the learner a voter.
    pub(super) fn promote_learner<K>(&mut self, now: Instant, id: Id, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let caught_up = self
            .matched(id)
            .is_some_and(|matched| matched >= self.commit_index);
        let learner = self.membership.peer(id).filter(|peer| !peer.voter);
        let learner = learner.filter(|peer| !peer.seed.observer);
        let Some(learner) = learner.filter(|_| caught_up && self.may_change_membership()) else {
            return;
        };
        let name = learner.seed.name.clone();
        let mut membership = self.membership.clone();
        let is_predecessor = |peer: &Peer| peer.id != id && peer.seed.name == name;
        if membership.peers.iter().any(is_predecessor) {
            membership.peers.retain(|peer| !is_predecessor(peer));
        } else {
            for peer in membership.peers.iter_mut().filter(|peer| peer.id == id) {
                peer.voter = true;
            }
        }
        self.change_membership(now, membership, out);
    }

    pub(super) fn propose_membership<K>(
        &mut self,
        now: Instant,
        call: u64,
        change: Change<'_>,
        out: &mut K,
    ) where
        K: Sink<Command = Command<S>>,
    {
        let mut membership = self.membership.clone();
        match change {
            Change::Add(name) => {
                membership.names.insert(name.to_owned());
            }
            Change::Remove(name) => {
                let keep_voters = membership.open && !self.has_surplus_voter();
                membership.names.remove(name);
                membership
                    .peers
                    .retain(|peer| peer.seed.name != name || (peer.voter && keep_voters));
            }
        }
        if self.is_leader() && membership == self.membership && self.may_change_membership() {
            out.push(Command::MembershipChanged { call });
            return;
        }
        let removes_self = membership.peer(self.setup.id).is_none();
        if !self.may_change_membership() || membership.voters().next().is_none() {
            out.push(Command::Redirect { call });
        } else if removes_self {
            // The next leader removes this replica when the caller retries there.
            out.push(Command::Redirect { call });
            self.step_down(now, out);
        } else {
            let index = self.change_membership(now, membership, out);
            self.pending_calls.entry(index).or_default().push(call);
        }
    }
}

//! One replica of the replicated log and of the durable state built from it.
//!
//! The voters elect a leader by majority, one per term. The leader appends
//! changes to its log and sends them to the other replicas. A change is
//! committed once a majority of the voters has synced it. All replicas apply
//! the committed changes in the same order. The leader returns the outcome of a
//! change to the call that proposed it; any other replica redirects the call.
//!
//! * [`election`]: elects a leader and ends its lease;
//! * [`replication`]: sends entries from the leader to the other replicas;
//! * [`transfer`]: limits the large messages among them;
//! * [`follower`]: dispatches messages and appends the leader's entries;
//! * [`snapshot`]: replaces a long log by a snapshot of the state;
//! * [`bootstrap`]: creates the first membership of a fleet;
//! * [`join`], [`pruning`]: add and remove replicas;
//! * [`quorum`]: the voters of which majorities decide;
//! * [`reseat`]: replaces a voter whose disk was lost while there is no leader;
//! * [`disk`]: tracks what is synced. Only synced data is acknowledged.

mod bootstrap;
pub mod disk;
pub mod election;
pub mod event;
pub mod follower;
pub mod join;
pub mod log;
pub mod membership;
pub mod message;
mod pruning;
mod quorum;
pub mod replication;
mod reseat;
pub mod snapshot;
pub mod transfer;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bootstrap::Probes;
pub use disk::Disk;
pub use event::{Batch, Command, Event, Recovered, Setup, Vote};
pub use log::{Content, Entry, Log, Position};
pub use membership::{Change, Id, Membership, Peer, Roster, Seed};
pub use message::{Body, Message};
use quorum::Quorum;
pub use replication::Progress;
use reseat::{Request, Reseat};
pub use snapshot::Snapshot;

use crate::process::{Machine, Sink};

/// How many heartbeats a leader sends per election timeout.
const HEARTBEATS_PER_ELECTION_TIMEOUT: u32 = 5;

/// The replicated state. All replicas apply the same changes in the same order.
pub trait State: Clone + Debug + Default {
    /// A change as stored in the log.
    type Change: Clone + Debug;
    /// The result of a change, returned to its proposer.
    type Outcome: Clone + Debug;

    /// Applies one change. The result must depend only on the state and the change.
    fn apply(&mut self, change: &Self::Change) -> Self::Outcome;

    /// Whether `change` repeats `earlier`, so that the outcome of one is that of the other.
    fn is_repeat(change: &Self::Change, earlier: &Self::Change) -> bool;

    /// The approximate size of a change in the log, in bytes.
    fn change_size(change: &Self::Change) -> usize;

    /// The approximate size of a snapshot of the state, in bytes.
    fn snapshot_size(&self) -> usize;
}

/// The current role of a replica.
#[derive(Clone, Debug)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks the voters whether it could win an election (pre-vote), which leaves
    /// a working leader undisturbed.
    Polling { granted: BTreeSet<Id> },
    /// Campaigns for election in the current term.
    Candidate {
        granted: BTreeSet<Id>,
        /// The lost voter to replace once it is elected.
        reseat: Option<Reseat>,
    },
    /// Leads the current term. Only the leader appends new entries.
    Leader {
        progress: BTreeMap<Id, Progress>,
        /// The index of its first entry, which commits all entries before it.
        first: u64,
    },
}

/// The state machine of one replica.
#[derive(Debug)]
pub struct Replica<S: State> {
    setup: Setup,
    random: fastrand::Rng,
    opened_at: Instant,
    role: Role,
    leader: Option<Id>,
    /// When the last message of a leader arrived. Opening the replica counts as one, see
    /// [`Replica::start_election_timer`].
    leader_heard_at: Instant,
    /// When the timer of the current role expires: heartbeats, election or joining.
    timeout_at: Instant,
    vote: Vote,
    log: Log<S::Change>,
    disk: Disk,
    snapshot: Option<Rc<Snapshot<S>>>,
    /// Size of the changes applied since the last snapshot.
    bytes_since_snapshot: usize,
    state: S,
    commit_index: u64,
    applied_index: u64,
    applied_membership: Membership,
    membership: Membership,
    membership_index: u64,
    /// The voters of the memberships that may be in force.
    quorum: Quorum,
    /// Requests to join that arrived without a leader, one for each lost voter.
    requests: Vec<Request>,
    /// The last index up to which the log is known to match that of this term's leader.
    agreed_index: u64,
    /// The stamp of the leader's latest message, echoed in answers to it.
    leader_stamp: u64,
    /// When the leader's latest append came by which no committed entry was lacking.
    current_at: Option<Instant>,
    /// Messages to send once the current vote is synced.
    held_messages: Vec<(Id, Message<S>)>,
    /// The calls that wait for an entry to be applied, by the entry's index.
    pending_calls: BTreeMap<u64, Vec<u64>>,
    /// The address from which each replica last sent a message.
    addresses: BTreeMap<Id, SocketAddr>,
    /// The answers to this replica's probes.
    probes: Probes,
    /// Whether a membership was found to have another contact as a voter.
    founded: bool,
}

impl<S: State> Replica<S> {
    /// Opens a replica with the data recovered from its disk.
    #[must_use]
    pub fn open(now: Instant, setup: Setup, recovered: Recovered<S>) -> Self {
        let snapshot = recovered.snapshot;
        let base = snapshot.as_ref().map(|snapshot| snapshot.position);
        let base = base.unwrap_or_default();
        let mut log = Log::open(base);
        for entry in recovered.entries {
            if entry.position.index > base.index {
                log.truncate(entry.position.index);
                log.push(entry);
            }
        }
        let (state, membership) = snapshot.as_ref().map_or_else(Default::default, |snapshot| {
            (snapshot.state.clone(), snapshot.membership.clone())
        });
        let random = fastrand::Rng::with_seed(setup.random_seed);
        let mut replica = Self {
            random,
            opened_at: now,
            role: Role::Follower,
            leader: None,
            leader_heard_at: now,
            timeout_at: now,
            vote: recovered.vote,
            disk: Disk::open(recovered.vote, log.last().index),
            log,
            snapshot,
            bytes_since_snapshot: 0,
            state,
            commit_index: base.index,
            applied_index: base.index,
            applied_membership: membership.clone(),
            membership,
            membership_index: base.index,
            quorum: Quorum::default(),
            requests: Vec::new(),
            agreed_index: 0,
            leader_stamp: 0,
            current_at: None,
            held_messages: Vec::new(),
            pending_calls: BTreeMap::new(),
            addresses: BTreeMap::new(),
            probes: Probes::default(),
            founded: false,
            setup,
        };
        replica.reload_membership();
        if replica.is_voter() {
            replica.start_election_timer(now);
        }
        replica
    }

    /// This replica's id.
    #[must_use]
    pub fn id(&self) -> Id {
        self.setup.id
    }

    /// The state after the last applied entry.
    #[must_use]
    pub fn state(&self) -> &S {
        &self.state
    }

    /// The highest term seen.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.vote.term
    }

    /// Whether this replica leads in [`Replica::term`].
    #[must_use]
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    /// Whether this replica leads and has applied an entry of its own term, so that
    /// its state includes every change that was ever acknowledged.
    #[must_use]
    pub fn is_ready_leader(&self) -> bool {
        matches!(self.role, Role::Leader { first, .. } if self.applied_index >= first)
    }

    /// The known leader, which may be this replica.
    #[must_use]
    pub fn leader(&self) -> Option<&Peer> {
        self.membership.peer(self.leader?)
    }

    /// The latest membership in the log, committed or not.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The index of the latest membership.
    #[must_use]
    pub fn membership_index(&self) -> u64 {
        self.membership_index
    }

    /// The last index that this replica knows to be committed.
    #[must_use]
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// The part of the log that is held in memory.
    #[must_use]
    pub fn log(&self) -> &Log<S::Change> {
        &self.log
    }

    /// The last index that `id` has synced, as known to this leader; `None` if this
    /// replica doesn't lead or `id` is not a member.
    #[must_use]
    pub fn matched(&self, id: Id) -> Option<u64> {
        let Role::Leader { progress, .. } = &self.role else {
            return None;
        };
        if id == self.setup.id {
            return Some(self.disk.synced);
        }
        progress.get(&id).map(|progress| progress.matched)
    }

    /// Whether this replica is a voter in the latest membership of its log.
    fn is_voter(&self) -> bool {
        self.membership.is_voter(self.setup.id)
    }

    /// Whether the log is empty, so the replica has never belonged to a fleet.
    fn is_fresh(&self) -> bool {
        self.log.last().index == 0
    }

    /// The time between two heartbeats of a leader.
    fn heartbeat_interval(&self) -> Duration {
        self.setup.election_timeout / HEARTBEATS_PER_ELECTION_TIMEOUT
    }

    /// Sends a message, but not before the current vote is synced.
    fn send<K>(&mut self, to: Id, body: Body<S>, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let message = Message {
            from: self.setup.id,
            reply: self.setup.seed.address,
            to: Some(to),
            term: self.vote.term,
            body,
        };
        if self.disk.vote == self.vote {
            self.send_now(to, message, out);
        } else {
            self.held_messages.push((to, message));
        }
    }

    /// Sends a message at once; drops it if the receiver's address is unknown.
    fn send_now<K>(&self, to: Id, message: Message<S>, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        // A new replica has no membership yet and knows only the senders of messages.
        let peer = self.membership.peer(to).map(|peer| peer.seed.address);
        let known = || self.addresses.get(&to).copied();
        if let Some(address) = peer.or_else(|| self.quorum.address(to)).or_else(known) {
            out.push(Command::Send { address, message });
        }
    }

    /// Starts to write what the disk lacks, unless a batch is in flight.
    fn persist<K>(&mut self, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let last = self.log.last();
        if !self.disk.needs_batch(self.vote, last) {
            return;
        }
        let entries = self.log.entries_from(self.disk.next).cloned().collect();
        let replace_journal = self.disk.replace_journal;
        let ticket = self.disk.start(self.vote, last);
        let batch = Batch {
            ticket,
            vote: self.vote,
            snapshot: self.snapshot.clone().filter(|_| replace_journal),
            entries,
        };
        out.push(Command::Persist { batch });
    }

    fn handle_synced<K>(&mut self, now: Instant, ticket: u64, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        self.disk.finish(ticket, &self.log);
        if self.disk.vote == self.vote {
            for (to, message) in std::mem::take(&mut self.held_messages) {
                self.send_now(to, message, out);
            }
            self.count_own_vote(now, out);
        }
        if self.is_leader() {
            if self.advance_commit_index(out) {
                self.replicate(now, true, out);
            }
        } else {
            self.acknowledge(out);
        }
    }

    /// Applies the committed entries.
    fn apply<K>(&mut self, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        while self.applied_index < self.commit_index {
            let index = self.applied_index + 1;
            let Some(entry) = self.log.entry(index) else {
                return;
            };
            self.applied_index = index;
            // Calls wait only while this replica leads, so the entry is the one proposed.
            let pending = self.pending_calls.remove(&index).unwrap_or_default();
            match &entry.content {
                Content::Blank => {}
                Content::Membership(membership) => {
                    self.applied_membership = membership.clone();
                    for call in pending {
                        out.push(Command::MembershipChanged { call });
                    }
                }
                Content::Change(change) => {
                    self.bytes_since_snapshot += S::change_size(change);
                    let outcome = self.state.apply(change);
                    for call in pending {
                        let outcome = outcome.clone();
                        out.push(Command::Outcome { call, outcome });
                    }
                }
            }
        }
        self.compact();
    }

    /// Redirects all pending calls to another replica.
    fn redirect_pending<K>(&mut self, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        for call in std::mem::take(&mut self.pending_calls)
            .into_values()
            .flatten()
        {
            out.push(Command::Redirect { call });
        }
    }
}

impl<S: State + 'static> Machine for Replica<S> {
    type Event<'a> = Event<'a, S>;
    type Command = Command<S>;

    fn handle<K>(&mut self, now: Instant, event: Event<'_, S>, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        // A process that was paused must not act on a lease that expired meanwhile.
        self.check_lease(now, out);
        match event {
            Event::Received { message } => self.receive(now, message, out),
            Event::Synced { ticket } => self.handle_synced(now, ticket, out),
            Event::DiskFull => self.handle_disk_full(now, out),
            Event::Proposed { call, change } => self.propose(now, call, change, out),
            Event::MembershipProposed { call, change } => {
                self.propose_membership(now, call, change, out);
            }
            Event::ContactsChanged { contacts } => self.set_contacts(contacts),
            Event::Stopping => self.step_down(now, out),
            Event::Ticked => {}
        }
        if now >= self.timeout_at {
            self.on_timeout(now, out);
        }
        self.persist(out);
    }

    fn tick() -> Event<'static, S> {
        Event::Ticked
    }

    fn deadline(&self) -> Option<Instant> {
        Some(self.timeout_at)
    }
}

//! What a replica is told and what it tells its host to do.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::log::Entry;
use super::membership::Change;
use super::{Id, Message, Roster, Seed, Snapshot, State};

/// What identifies a replica and paces it.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The life of its disk.
    pub id: Id,
    /// Its own VM.
    pub seed: Seed,
    /// The control VMs that the settings name, its own included or not.
    pub roster: Roster,
    /// The shortest time without a leader after which a replica campaigns.
    pub election_timeout: Duration,
    /// The seed of its randomness.
    pub random_seed: u64,
}

/// What a replica found on its disk.
#[derive(Clone, Debug)]
pub struct Recovered<S: State> {
    /// The last synced vote.
    pub vote: Vote,
    /// The last synced snapshot.
    pub snapshot: Option<Rc<Snapshot<S>>>,
    /// The synced entries, in order; those that the snapshot covers may be among them.
    pub entries: Vec<Entry<S::Change>>,
}

impl<S: State> Default for Recovered<S> {
    fn default() -> Self {
        Self {
            vote: Vote::default(),
            snapshot: None,
            entries: Vec::new(),
        }
    }
}

/// The term and the vote given in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Vote {
    /// The highest term seen.
    pub term: u64,
    /// Who got the vote in that term.
    pub candidate: Option<Id>,
}

/// What has to be synced together. One batch is in flight at a time.
#[derive(Clone, Debug)]
pub struct Batch<S: State> {
    /// Names the batch when it is reported as synced.
    pub ticket: u64,
    /// The vote.
    pub vote: Vote,
    /// Replaces all that is on the disk, together with `entries`.
    pub snapshot: Option<Rc<Snapshot<S>>>,
    /// Entries to append; one with an index that is there replaces it and all after it.
    pub entries: Vec<Entry<S::Change>>,
}

/// What happened to a replica.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a, S: State> {
    /// A message arrived.
    Received { message: &'a Message<S> },
    /// A batch is on the disk for good.
    Synced { ticket: u64 },
    /// The disk is full; the host tries the batch in flight again.
    DiskFull,
    /// A caller wants a change; `call` is unique in this run.
    Proposed { call: u64, change: &'a S::Change },
    /// An operator wants a change of the membership.
    MembershipProposed { call: u64, change: Change<'a> },
    /// The settings name other VMs by which to join the fleet.
    ContactsChanged { contacts: &'a [SocketAddr] },
    /// The process is about to stop.
    Resigned,
    /// The machine's deadline passed.
    Ticked,
}

/// What the host of a replica shall do.
#[derive(Debug)]
pub enum Command<S: State> {
    /// Send a message; it may get lost.
    Send {
        address: SocketAddr,
        message: Message<S>,
    },
    /// Write and sync a batch, then report it.
    Persist { batch: Batch<S> },
    /// A proposed change is committed.
    Outcome { call: u64, outcome: S::Outcome },
    /// A wished change of the membership is in the log.
    MembershipChanged { call: u64 },
    /// The change may or may not be committed: ask the leader.
    Redirect { call: u64 },
}

//! The events and commands of a replica.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::log::Entry;
use super::membership::Change;
use super::{Id, Message, Roster, Seed, Snapshot, State};

/// The identity and the settings of a replica.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The id of the replica, drawn with its disk.
    pub id: Id,
    /// The VM it runs on.
    pub seed: Seed,
    /// The control VMs named in the settings, with or without its own.
    pub roster: Roster,
    /// The minimum time without a leader before a replica campaigns.
    pub election_timeout: Duration,
    /// How many voters may be lost at the same time; `None` if the settings don't say.
    pub tolerated_losses: Option<usize>,
    /// The seed of its random number generator.
    pub random_seed: u64,
}

/// The data recovered from a replica's disk.
#[derive(Clone, Debug)]
pub struct Recovered<S: State> {
    /// The last synced vote.
    pub vote: Vote,
    /// The last synced snapshot.
    pub snapshot: Option<Rc<Snapshot<S>>>,
    /// The synced entries in order, possibly including some that the snapshot covers.
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

/// The current term and the vote cast in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Vote {
    /// The highest term seen.
    pub term: u64,
    /// The candidate voted for in that term.
    pub candidate: Option<Id>,
}

/// A vote and entries to sync together. One batch is in flight at a time.
#[derive(Clone, Debug)]
pub struct Batch<S: State> {
    /// Identifies the batch in [`Event::Synced`].
    pub ticket: u64,
    /// The current term and vote.
    pub vote: Vote,
    /// If set, replaces the whole journal, together with `entries`.
    pub snapshot: Option<Rc<Snapshot<S>>>,
    /// The entries to append. An entry whose index is already on the disk replaces
    /// that entry and all after it.
    pub entries: Vec<Entry<S::Change>>,
}

/// An event for a replica to handle.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a, S: State> {
    /// A message of another replica arrived.
    Received { message: &'a Message<S> },
    /// A batch is synced to the disk.
    Synced { ticket: u64 },
    /// The disk is full. The host retries the batch in flight.
    DiskFull,
    /// A caller proposes a change of the state; `call` is unique in this run.
    Proposed { call: u64, change: &'a S::Change },
    /// An operator proposes a change of the membership.
    MembershipProposed { call: u64, change: Change<'a> },
    /// The settings name different contacts through which to join the fleet.
    ContactsChanged { contacts: &'a [SocketAddr] },
    /// The process is about to stop; a leader hands its leadership over.
    Stopping,
    /// The deadline of the state machine passed.
    Ticked,
}

/// A command for the host of a replica to carry out.
#[derive(Debug)]
pub enum Command<S: State> {
    /// Send a message; it may be lost.
    Send {
        address: SocketAddr,
        message: Message<S>,
    },
    /// Write and sync a batch, then report it by [`Event::Synced`].
    Persist { batch: Batch<S> },
    /// A proposed change is committed and applied.
    Outcome { call: u64, outcome: S::Outcome },
    /// A proposed change of the membership is committed.
    MembershipChanged { call: u64 },
    /// This replica no longer leads, because a majority has not answered within the lease.
    LeaseLost {
        /// The size of what was sent and is not acknowledged, in bytes.
        unacknowledged_bytes: usize,
        /// How late this was noticed: the process was paused or busy for that long.
        late: Duration,
    },
    /// This replica, elected by half of the voters, gives the seat of a voter whose disk was lost
    /// to the new replica of the same VM.
    Reseated { name: String },
    /// The caller must ask the leader; the change may or may not be committed.
    Redirect { call: u64 },
}

//! What replicas tell each other.

use std::net::SocketAddr;
use std::rc::Rc;

use super::log::{Entry, Position};
use super::{Id, Seed, Snapshot, State};

/// A message between two replicas.
#[derive(Clone, Debug)]
pub struct Message<S: State> {
    /// Who sent it.
    pub from: Id,
    /// Where the sender is reached.
    pub reply: SocketAddr,
    /// Whom it is for; `None` where only the address is known.
    pub to: Option<Id>,
    /// The sender's term when it was made.
    pub term: u64,
    /// What it says.
    pub body: Body<S>,
}

/// What a message says.
#[derive(Clone, Debug)]
pub enum Body<S: State> {
    /// Would the receiver vote for the sender? Changes nothing at the receiver.
    Poll { last: Position },
    /// Answers a poll.
    Polled { granted: bool },
    /// Asks for the vote; `forced` if the leader handed over.
    Solicit { last: Position, forced: bool },
    /// Gives the vote.
    Voted,
    /// The entries after `previous`; with none, a heartbeat.
    Append {
        previous: Position,
        entries: Vec<Entry<S::Change>>,
        commit: u64,
        /// The leader's time of sending, echoed in the answer.
        stamp: u64,
    },
    /// The log agrees with the leader's, and is synced, up to `matched`.
    Appended { matched: u64, stamp: u64 },
    /// The entry before those appended is not there; `last` is the last that may agree.
    Diverged {
        previous: u64,
        last: u64,
        stamp: u64,
    },
    /// The state in place of entries that are compacted away.
    Install {
        snapshot: Rc<Snapshot<S>>,
        stamp: u64,
    },
    /// The receiver shall campaign at once, because the leader leaves.
    Handover,
    /// The receiver's term is higher; the sender's message had no effect.
    Outdated,
    /// A replica without a place in the membership wants one.
    Join { seed: Seed },
    /// Does the receiver hold any state?
    Probe,
    /// Answers a probe; `founder` if the sender may found the fleet.
    Probed {
        name: String,
        fresh: bool,
        founder: bool,
    },
}

//! The messages between replicas.

use std::net::SocketAddr;
use std::rc::Rc;

use super::log::{Content, Entry, Position};
use super::{Id, Seed, Snapshot, State};

/// A message between two replicas.
#[derive(Clone, Debug)]
pub struct Message<S: State> {
    /// The sender.
    pub from: Id,
    /// The sender's address, for answers.
    pub reply: SocketAddr,
    /// The receiver; `None` if the sender knows only its address.
    pub to: Option<Id>,
    /// The sender's term when it created the message.
    pub term: u64,
    /// The content.
    pub body: Body<S>,
}

impl<S: State> Message<S> {
    /// The approximate size of the entries or the snapshot in the message, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        match &self.body {
            Body::Append { entries, .. } => {
                let changes = entries.iter().filter_map(|entry| match &entry.content {
                    Content::Change(change) => Some(S::change_size(change)),
                    Content::Blank | Content::Membership(_) => None,
                });
                changes.sum()
            }
            Body::Install { snapshot, .. } => snapshot.state.snapshot_size(),
            _ => 0,
        }
    }
}

/// The content of a message.
#[derive(Clone, Debug)]
pub enum Body<S: State> {
    /// Asks whether the receiver would vote for the sender (pre-vote), without
    /// changing the receiver's state. `last` is the sender's last entry.
    Poll { last: Position },
    /// Answers a poll.
    Polled { granted: bool },
    /// Requests a vote. With `forced`, after a handover by the leader, the receiver
    /// considers it even if it has recently heard from that leader.
    Solicit { last: Position, forced: bool },
    /// Grants the vote.
    Voted,
    /// The entries after `previous`; a heartbeat if there are none.
    Append {
        previous: Position,
        entries: Vec<Entry<S::Change>>,
        commit: u64,
        /// When the leader sent it, in milliseconds since it started; echoed in the
        /// answer.
        stamp: u64,
    },
    /// Accepts an append: the sender's log matches the leader's and is synced up to
    /// `matched`.
    Appended { matched: u64, stamp: u64 },
    /// Rejects an append: the entry at `previous` is missing or differs. `last` is the
    /// last index that may still match.
    Diverged {
        previous: u64,
        last: u64,
        stamp: u64,
    },
    /// A snapshot that replaces entries which the leader has compacted.
    Install {
        snapshot: Rc<Snapshot<S>>,
        stamp: u64,
    },
    /// The leader steps down; the receiver must campaign at once.
    Handover,
    /// Rejects a message of an earlier term, which had no effect.
    Outdated,
    /// Asks the leader to add the sender to the membership.
    Join { seed: Seed },
    /// Asks whether the receiver holds any state.
    Probe,
    /// Answers a probe: `fresh` if the sender's log is empty, `founder` if it may
    /// bootstrap the fleet.
    Probed {
        name: String,
        fresh: bool,
        founder: bool,
    },
}

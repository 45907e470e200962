//! Replaces a voter whose disk was lost while there is no leader.
//!
//! Half of an even number of voters is no majority, but has a voter in common with each
//! majority, so it holds every committed entry. If one of the others comes back with an empty
//! disk, the half elects a leader whose first entry gives the lost voter's seat to the
//! new replica. See `docs/design/membership.md` for why this is safe.

use std::collections::BTreeSet;
use std::time::Instant;

use super::{Command, Id, Membership, Peer, Replica, Seed, Sink, State};

/// For how many election timeouts a request to join shows that a replica runs. It asks several
/// times within one.
const REQUEST_TIMEOUTS: u32 = 2;

/// The seat of a lost voter and the replica that takes it.
#[derive(Clone, Debug)]
pub struct Reseat {
    /// The voter whose disk was lost.
    pub lost: Id,
    /// The new replica on the same VM.
    pub successor: Peer,
}

/// A request to join, received without a leader, of a VM whose previous replica votes.
#[derive(Clone, Debug)]
pub struct Request {
    reseat: Reseat,
    received_at: Instant,
}

impl<S: State> Replica<S> {
    /// Remembers a request to join of the VM of a voter, whose disk must then be lost.
    pub(super) fn note_join(&mut self, now: Instant, from: Id, seed: &Seed) {
        let predecessor = self.quorum.predecessor(from, &seed.name);
        let Some(lost) = predecessor.filter(|_| !seed.observer) else {
            return;
        };
        let successor = Peer {
            id: from,
            seed: seed.clone(),
            voter: true,
        };
        self.requests.retain(|request| request.reseat.lost != lost);
        self.requests.push(Request {
            reseat: Reseat { lost, successor },
            received_at: now,
        });
    }

    /// The lost voter that can be replaced by the votes in `granted`.
    pub(super) fn find_reseat(&mut self, now: Instant, granted: &BTreeSet<Id>) -> Option<Reseat> {
        let timeout = self.setup.election_timeout * REQUEST_TIMEOUTS;
        let voters = self.quorum.voters();
        self.requests.retain(|request| {
            now < request.received_at + timeout && voters.contains(&request.reseat.lost)
        });
        let reseats = self.requests.iter().map(|request| &request.reseat);
        let mut possible = reseats.filter(|reseat| self.may_reseat(reseat, granted));
        possible.next().cloned()
    }

    /// Whether the votes in `granted` suffice to replace a lost voter. Only one seat may differ
    /// from the membership that is known to be committed.
    pub(super) fn may_reseat(&self, reseat: &Reseat, granted: &BTreeSet<Id>) -> bool {
        let same_seat = self.quorum.reseated.is_none_or(|id| id == reseat.lost);
        let is_half = |id: Id| granted.contains(&id);
        same_seat && self.quorum.is_half_without(reseat.lost, is_half)
    }

    /// The membership in which the seat of the lost voter is taken.
    pub(super) fn reseated_membership<K>(&self, reseat: &Reseat, out: &mut K) -> Membership
    where
        K: Sink<Command = Command<S>>,
    {
        let successor = &reseat.successor;
        out.push(Command::Reseated {
            name: successor.seed.name.clone(),
        });
        let mut membership = self.membership.clone();
        membership
            .peers
            .retain(|peer| peer.seed.name != successor.seed.name);
        membership.peers.push(successor.clone());
        membership
    }
}

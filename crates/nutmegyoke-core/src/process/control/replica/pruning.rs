//! Removes voters that no longer answer or that stop, and lets removed voters join again.

use std::time::{Duration, Instant};

use super::{Command, Id, Replica, Role, Roster, Sink, State};

/// The time without an answer after which a voter of an odd number may be removed; longer
/// than a restart or a pause of the process.
const DEAD_VOTER_TIMEOUT: Duration = Duration::from_secs(6);

/// The same for an even number, in election timeouts. It is short, because the fleet tolerates
/// more failures without the voter at once, and a voter that was only paused joins again.
const SURPLUS_VOTER_TIMEOUTS: u32 = 2;

/// The number of voters that always stay.
const MIN_VOTERS: usize = 3;

impl<S: State> Replica<S> {
    /// The number of voters below which none is removed. Majorities of `2f + 1` are held by
    /// `f + 1` disks, so an acknowledged change outlives the loss of any `f` of them.
    fn min_voters(&self) -> usize {
        self.setup
            .tolerated_losses
            .map_or(MIN_VOTERS, |losses| MIN_VOTERS.max(2 * losses + 1))
    }

    /// Whether the fleet tolerates more failures with one voter less: a majority of four is
    /// three, and one of three is two.
    pub(super) fn has_surplus_voter(&self) -> bool {
        let voters = self.membership.voters().count();
        voters > self.min_voters() && voters.is_multiple_of(2)
    }

    /// Whether an odd number of voters may be reduced to the next lower one.
    ///
    /// A voter that doesn't answer still holds its disk, and fewer voters tolerate fewer lost
    /// disks. Without the tolerated losses in the settings an odd number is not reduced.
    fn may_reduce_odd(&self) -> bool {
        let voters = self.membership.voters().count();
        self.setup.tolerated_losses.is_some() && voters >= self.min_voters() + 2
    }

    /// Removes one dead voter, if the fleet tolerates more failures without it.
    ///
    /// Only for open memberships, where replicas join without an operator. Removing
    /// a voter lowers the quorum only if their number is even: it is 3 of 4, but 2
    /// of 3 and 2 of 2. So a dead voter is removed from an even number, or from an
    /// odd one if another voter is dead too and enough voters stay.
    pub(super) fn remove_dead_voter<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let Role::Leader { progress, .. } = &self.role else {
            return;
        };
        let own_id = self.setup.id;
        let surplus = self.has_surplus_voter();
        let timeout = if surplus {
            self.setup.election_timeout * SURPLUS_VOTER_TIMEOUTS
        } else {
            DEAD_VOTER_TIMEOUT
        };
        let voters: Vec<Id> = self.membership.voters().map(|peer| peer.id).collect();
        let acked_sent_at = |id: &Id| progress.get(id).map(|peer| peer.acked_sent_at);
        let dead = voters.iter().filter(|&&id| id != own_id).filter(|id| {
            let at = acked_sent_at(id);
            at.is_some_and(|at| at + timeout <= now)
        });
        let dead: Vec<Id> = dead.copied().collect();
        let is_odd = !voters.len().is_multiple_of(2);
        let improves_tolerance = surplus || (is_odd && dead.len() > 1 && self.may_reduce_odd());
        let longest_dead = dead.iter().min_by_key(|id| acked_sent_at(id));
        let Some(&id) = longest_dead
            .filter(|_| improves_tolerance && self.membership.open && self.may_change_membership())
        else {
            return;
        };
        let mut membership = self.membership.clone();
        membership.peers.retain(|peer| peer.id != id);
        self.change_membership(now, membership, out);
    }

    /// Whether this replica should leave the membership before its process stops: it votes, and
    /// the fleet tolerates more failures without it. If it doesn't leave, its vote counts as
    /// that of a dead voter from its stop on.
    #[must_use]
    pub fn should_leave(&self) -> bool {
        self.is_voter() && self.membership.open && self.has_surplus_voter()
    }

    /// Asks to join again, as a voter without a leader may have been removed from the
    /// membership. A leader ignores the request of a replica that is still a member.
    pub(super) fn rejoin<K>(&mut self, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        if matches!(self.setup.roster, Roster::Open { .. }) {
            self.request_join(out);
        }
    }
}

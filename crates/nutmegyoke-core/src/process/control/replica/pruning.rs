//! Voters that are gone, and those that come back after the others went on without them.

use std::time::{Duration, Instant};

use super::{Command, Id, Replica, Role, Roster, Sink, State};

/// How long a voter must not have answered to make way, where that lets more of the
/// others be lost: longer than a restart or a pause takes.
const DEAD_VOTER_TIMEOUT: Duration = Duration::from_secs(6);

impl<S: State> Replica<S> {
    /// Removes a voter that is gone, where others join without an operator.
    ///
    /// A majority of three is as small as one of two and smaller than one of four, so
    /// the one that is gone leaves an even number, or goes with another one.
    pub(super) fn remove_dead_voter<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let Role::Leader { progress, .. } = &self.role else {
            return;
        };
        let own_id = self.setup.id;
        let voters: Vec<Id> = self.membership.voters().map(|peer| peer.id).collect();
        let acked_sent_at = |id: &Id| progress.get(id).map(|peer| peer.acked_sent_at);
        let dead = voters.iter().filter(|&&id| id != own_id).filter(|id| {
            let at = acked_sent_at(id);
            at.is_some_and(|at| at + DEAD_VOTER_TIMEOUT <= now)
        });
        let dead: Vec<Id> = dead.copied().collect();
        let improves_tolerance =
            voters.len() > 3 && (voters.len().is_multiple_of(2) || dead.len() > 1);
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

    /// Asks for a place again, for a voter that hears no leader: the others may have
    /// gone on without it. Whoever still counts it as a member passes over this.
    pub(super) fn rejoin<K>(&self, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        if matches!(self.setup.roster, Roster::Open { .. }) {
            self.request_join(out);
        }
    }
}

//! Voters that are gone, and those that come back after the others went on without them.

use std::time::{Duration, Instant};

use super::{Command, Id, Replica, Role, Roster, Sink, State};

/// How long a voter must not have answered to make way, where that lets more of the
/// others be lost: longer than a restart or a pause takes.
const GONE: Duration = Duration::from_secs(6);

impl<S: State> Replica<S> {
    /// Removes a voter that is gone, where others join without an operator.
    ///
    /// A majority of three is as small as one of two and smaller than one of four, so
    /// the one that is gone leaves an even number, or goes with another one.
    pub(super) fn prune<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let Role::Leader { progress, .. } = &self.role else {
            return;
        };
        let own = self.setup.id;
        let voters: Vec<Id> = self.membership.voters().map(|peer| peer.id).collect();
        let answered = |id: &Id| progress.get(id).map(|row| row.answered);
        let gone = voters.iter().filter(|&&id| id != own).filter(|id| {
            let at = answered(id);
            at.is_some_and(|at| at + GONE <= now)
        });
        let gone: Vec<Id> = gone.copied().collect();
        let helps = voters.len() > 3 && (voters.len().is_multiple_of(2) || gone.len() > 1);
        let longest = gone.iter().min_by_key(|id| answered(id));
        let Some(&id) = longest.filter(|_| helps && self.membership.open && self.may_change())
        else {
            return;
        };
        let mut membership = self.membership.clone();
        membership.peers.retain(|peer| peer.id != id);
        self.change(now, membership, out);
    }

    /// Asks for a place again, for a voter that hears no leader: the others may have
    /// gone on without it. Whoever still counts it as a member passes over this.
    pub(super) fn return_to_fleet<K>(&self, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        if matches!(self.setup.roster, Roster::Open { .. }) {
            self.ask_to_join(out);
        }
    }
}

//! Leader election and the leader's lease.
//!
//! A replica without a leader first polls the voters (pre-vote), so that a
//! replica which was partitioned does not depose a working leader when it
//! returns. Voters refuse while they have recently heard from a leader. A leader
//! steps down when a majority has not answered within the lease, which is three
//! quarters of the election timeout, counted from when the answered messages were
//! sent. No other leader can be elected before the lease expires.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::{
    Body, Command, Content, Id, Message, Position, Replica, Reseat, Role, Sink, State, Vote,
};

impl<S: State> Replica<S> {
    /// How long a leader may lead without answers from a majority before it steps down.
    pub(super) fn lease(&self) -> Duration {
        self.setup.election_timeout * 3 / 4
    }

    /// Starts the election timer when the replica opens, to expire soon after a lease.
    ///
    /// An answer sent before the restart lets its leader lead for one more lease at most.
    /// Waiting longer would only delay the election when all replicas restart together.
    pub(super) fn start_election_timer(&mut self, now: Instant) {
        let lease = self.lease();
        let heard_at = now.checked_sub(self.setup.election_timeout.saturating_sub(lease));
        self.leader_heard_at = heard_at.unwrap_or(now);
        self.timeout_at = now + lease + self.heartbeat_interval().mul_f64(self.random.f64());
    }

    /// Restarts the election timer, at a random time of one to two election timeouts.
    pub(super) fn restart_election_timer(&mut self, now: Instant) {
        let timeout = self.setup.election_timeout;
        self.timeout_at = now + timeout + timeout.mul_f64(self.random.f64());
    }

    /// Acts on the expired timer of the current role.
    pub(super) fn on_timeout<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        match self.role {
            Role::Leader { .. } => {
                self.timeout_at = now + self.heartbeat_interval();
                self.remove_dead_voter(now, out);
                self.replicate(now, true, out);
            }
            _ if self.is_voter() => self.poll(now, out),
            _ => self.join_or_bootstrap(now, out),
        }
    }

    /// Starts a pre-vote: asks the voters whether they would elect this replica.
    fn poll<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        // A poll changes no state of the other replicas, so it may be repeated soon.
        let interval = self.heartbeat_interval();
        self.timeout_at = now + interval + interval.mul_f64(self.random.f64());
        if self.disk.full {
            return;
        }
        if !self.quorum.is_settled() {
            // The commit index may have moved since.
            self.refresh_quorum();
        }
        self.leader = None;
        self.role = Role::Polling {
            granted: BTreeSet::from([self.setup.id]),
        };
        let last = self.log.last();
        self.send_to_voters(|| Body::Poll { last }, out);
        self.rejoin(out);
        self.count_votes(now, out);
    }

    /// Becomes a candidate in the next term and asks the voters for their votes.
    ///
    /// With `forced`, after a handover, they vote even if they have recently heard from a
    /// leader. With `reseat` half of them elect it, to replace a lost voter.
    pub(super) fn campaign<K>(
        &mut self,
        now: Instant,
        forced: bool,
        reseat: Option<Reseat>,
        out: &mut K,
    ) where
        K: Sink<Command = Command<S>>,
    {
        self.restart_election_timer(now);
        self.leader = None;
        self.vote = Vote {
            term: self.vote.term + 1,
            candidate: Some(self.setup.id),
        };
        self.agreed_index = 0;
        self.role = Role::Candidate {
            granted: BTreeSet::new(),
            reseat,
        };
        let last = self.log.last();
        self.send_to_voters(|| Body::Solicit { last, forced }, out);
    }

    fn send_to_voters<K>(&mut self, body: impl Fn() -> Body<S>, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let own = self.setup.id;
        let voters = self.quorum.voters();
        for id in voters.into_iter().filter(|&id| id != own) {
            self.send(id, body(), out);
        }
    }

    /// Counts the candidate's own vote once it is synced.
    pub(super) fn count_own_vote<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        if let Role::Candidate { granted, .. } = &mut self.role {
            granted.insert(self.setup.id);
            self.count_votes(now, out);
        }
    }

    fn count_votes<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        match &self.role {
            Role::Polling { granted } => {
                if self.quorum.is_majority(|id| granted.contains(&id)) {
                    return self.campaign(now, false, None, out);
                }
                let granted = granted.clone();
                let reseat = self.find_reseat(now, &granted);
                if reseat.is_some() {
                    self.campaign(now, false, reseat, out);
                }
            }
            Role::Candidate { granted, reseat } => {
                let elected = match reseat {
                    Some(reseat) => self.may_reseat(reseat, granted),
                    None => self.quorum.is_majority(|id| granted.contains(&id)),
                };
                if elected {
                    let reseat = reseat.clone();
                    self.become_leader(now, reseat.as_ref(), out);
                }
            }
            _ => {}
        }
    }

    fn become_leader<K>(&mut self, now: Instant, reseat: Option<&Reseat>, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let first = self.log.last().index + 1;
        self.leader = Some(self.setup.id);
        self.timeout_at = now + self.heartbeat_interval();
        self.role = Role::Leader {
            progress: BTreeMap::new(),
            first,
        };
        if let Some(reseat) = reseat {
            let membership = self.reseated_membership(reseat, out);
            self.append(Content::Membership(membership.clone()));
            self.adopt_membership(membership, first);
        } else {
            self.append(Content::Blank);
        }
        self.track_peers(now);
        self.replicate(now, true, out);
    }

    /// Becomes a follower in the current term, without a known leader.
    pub(super) fn become_follower<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        self.role = Role::Follower;
        self.leader = None;
        self.restart_election_timer(now);
        self.redirect_pending(out);
    }

    /// Enters a higher term as a follower that has not voted.
    pub(super) fn enter_term<K>(&mut self, now: Instant, term: u64, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        self.vote = Vote {
            term,
            candidate: None,
        };
        self.agreed_index = 0;
        self.become_follower(now, out);
    }

    /// Steps down if a majority has not answered within the lease.
    pub(super) fn check_lease<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let Role::Leader { progress, .. } = &self.role else {
            return;
        };
        let lease = self.lease();
        let is_responsive = |id| {
            let acked_sent_at = progress.get(&id).map(|progress| progress.acked_sent_at);
            id == self.setup.id || acked_sent_at.is_some_and(|at| at + lease > now)
        };
        if !self.quorum.is_majority(is_responsive) {
            out.push(Command::LeaseLost {
                unacknowledged_bytes: self.unacknowledged_bytes(),
                late: now.saturating_duration_since(self.timeout_at),
            });
            self.become_follower(now, out);
        }
    }

    /// Whether a message of a leader arrived within the election timeout, so that it may
    /// still lead.
    fn has_recent_leader(&self, now: Instant) -> bool {
        self.is_leader() || now < self.leader_heard_at + self.setup.election_timeout
    }

    pub(super) fn handle_poll<K>(
        &mut self,
        now: Instant,
        message: &Message<S>,
        last: Position,
        out: &mut K,
    ) where
        K: Sink<Command = Command<S>>,
    {
        let granted = message.term >= self.vote.term
            && last >= self.log.last()
            && !self.has_recent_leader(now);
        self.send(message.from, Body::Polled { granted }, out);
    }

    pub(super) fn handle_solicit<K>(&mut self, now: Instant, from: Id, last: Position, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let may_vote = self
            .vote
            .candidate
            .is_none_or(|candidate| candidate == from);
        if may_vote && last >= self.log.last() {
            self.vote.candidate = Some(from);
            self.restart_election_timer(now);
            self.send(from, Body::Voted, out);
        }
    }

    /// Whether to ignore a vote request, because a leader may still lead.
    pub(super) fn ignores_solicit(&self, now: Instant, body: &Body<S>) -> bool {
        matches!(body, Body::Solicit { forced: false, .. }) && self.has_recent_leader(now)
    }

    /// Counts a granted vote or, with `pre_vote`, a granted poll.
    pub(super) fn handle_grant<K>(&mut self, now: Instant, from: Id, pre_vote: bool, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        match &mut self.role {
            Role::Polling { granted } if pre_vote => granted.insert(from),
            Role::Candidate { granted, .. } if !pre_vote => granted.insert(from),
            _ => return,
        };
        // A candidate may become leader only after its own vote is synced.
        if pre_vote || self.disk.vote == self.vote {
            self.count_votes(now, out);
        }
    }

    /// Enters the higher term of a voter that refused a poll. Otherwise that voter
    /// would refuse all later polls too, even of a replica with a longer log.
    pub(super) fn handle_poll_refusal<K>(&mut self, now: Instant, term: u64, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        if matches!(self.role, Role::Polling { .. }) && term > self.vote.term {
            self.enter_term(now, term, out);
        }
    }

    /// Steps down and takes no proposals until a batch can be written again.
    pub(super) fn handle_disk_full<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        self.disk.full = true;
        self.step_down(now, out);
    }

    /// Steps down and hands leadership to the voter with the longest synced log.
    pub(super) fn step_down<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let Role::Leader { progress, .. } = &self.role else {
            return;
        };
        let others = self.membership.voters();
        let others = others.filter(|peer| peer.id != self.setup.id);
        let best = others.max_by_key(|peer| progress.get(&peer.id).map(|peer| peer.matched));
        let best = best.map(|peer| peer.id);
        self.become_follower(now, out);
        if let Some(id) = best {
            self.send(id, Body::Handover, out);
        }
    }
}

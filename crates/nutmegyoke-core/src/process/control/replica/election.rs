//! Who leads, and when a leader stops by itself.
//!
//! A replica that hears no leader first polls the voters (pre-vote), so that
//! one which was cut off does not depose a working leader on its return.
//! Voters refuse while they hear a leader. A leader that was not answered by a
//! majority within three quarters of the election timeout, counted from when
//! the answered messages were sent, steps down; no other can be elected before.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::{
    Body, Command, Content, Entry, Id, Message, Position, Replica, Role, Sink, State, Vote,
};

impl<S: State> Replica<S> {
    /// The time after which a leader that no majority answers stops by itself.
    pub(super) fn lease(&self) -> Duration {
        self.setup.election_timeout * 3 / 4
    }

    /// Begins to wait for a leader after the start.
    ///
    /// What this replica answered a leader in an earlier run makes that one lead for
    /// a lease at most. All may have been restarted together, so no more is waited.
    pub(super) fn start_election_timer(&mut self, now: Instant) {
        let lease = self.lease();
        let heard_at = now.checked_sub(self.setup.election_timeout.saturating_sub(lease));
        self.leader_heard_at = heard_at.unwrap_or(now);
        self.timeout_at = now + lease + self.heartbeat().mul_f64(self.random.f64());
    }

    /// Waits a random time for a leader before campaigning.
    pub(super) fn restart_election_timer(&mut self, now: Instant) {
        let timeout = self.setup.election_timeout;
        self.timeout_at = now + timeout + timeout.mul_f64(self.random.f64());
    }

    /// Does what is due at the alarm.
    pub(super) fn on_timeout<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        match self.role {
            Role::Leader { .. } => {
                self.timeout_at = now + self.heartbeat();
                self.remove_dead_voter(now, out);
                self.replicate(now, true, out);
            }
            _ if self.is_voter() => self.poll(now, out),
            _ => self.join_or_bootstrap(now, out),
        }
    }

    fn poll<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        // A poll changes nothing at the others, so it may be repeated soon.
        let heartbeat = self.heartbeat();
        self.timeout_at = now + heartbeat + heartbeat.mul_f64(self.random.f64());
        if self.disk.full {
            return;
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

    /// Stands for election in the next term.
    pub(super) fn campaign<K>(&mut self, now: Instant, forced: bool, out: &mut K)
    where
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
        };
        let last = self.log.last();
        self.send_to_voters(|| Body::Solicit { last, forced }, out);
    }

    fn send_to_voters<K>(&mut self, body: impl Fn() -> Body<S>, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let own = self.setup.id;
        let voters: Vec<Id> = self.membership.voters().map(|peer| peer.id).collect();
        for id in voters.into_iter().filter(|&id| id != own) {
            self.send(id, body(), out);
        }
    }

    /// Counts the own vote once it is synced.
    pub(super) fn count_own_vote<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        if let Role::Candidate { granted } = &mut self.role {
            granted.insert(self.setup.id);
            self.count_votes(now, out);
        }
    }

    fn count_votes<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let (Role::Polling { granted } | Role::Candidate { granted }) = &self.role else {
            return;
        };
        let granted = granted.iter().filter(|&&id| self.membership.is_voter(id));
        if granted.count() < self.membership.quorum() {
            return;
        }
        if matches!(self.role, Role::Polling { .. }) {
            self.campaign(now, false, out);
        } else {
            self.become_leader(now, out);
        }
    }

    fn become_leader<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let first = self.log.last().index + 1;
        self.leader = Some(self.setup.id);
        self.timeout_at = now + self.heartbeat();
        self.role = Role::Leader {
            progress: BTreeMap::new(),
            first,
        };
        self.track_peers(now);
        self.log.push(Entry {
            position: Position {
                term: self.vote.term,
                index: first,
            },
            content: Content::Blank,
        });
        self.replicate(now, true, out);
    }

    /// Leaves any other role and follows in the present term.
    pub(super) fn become_follower<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        self.role = Role::Follower;
        self.leader = None;
        self.restart_election_timer(now);
        self.redirect_pending(out);
    }

    /// Enters a higher term.
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

    /// Steps down if a majority has not answered for too long.
    pub(super) fn check_lease<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let Role::Leader { progress, .. } = &self.role else {
            return;
        };
        let lease = self.lease();
        let responsive = self.membership.voters().filter(|peer| {
            let acked_sent_at = progress
                .get(&peer.id)
                .map(|progress| progress.acked_sent_at);
            peer.id == self.setup.id || acked_sent_at.is_some_and(|at| at + lease > now)
        });
        if responsive.count() < self.membership.quorum() {
            self.become_follower(now, out);
        }
    }

    /// Whether a leader was heard of so lately that it may still lead.
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

    /// Whether to leave a solicitation unheard, because a leader still works.
    pub(super) fn ignores_solicit(&self, now: Instant, body: &Body<S>) -> bool {
        matches!(body, Body::Solicit { forced: false, .. }) && self.has_recent_leader(now)
    }

    pub(super) fn handle_grant<K>(&mut self, now: Instant, from: Id, pre_vote: bool, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        match &mut self.role {
            Role::Polling { granted } if pre_vote => granted.insert(from),
            Role::Candidate { granted } if !pre_vote => granted.insert(from),
            _ => return,
        };
        // A candidate leads only after its own vote is synced.
        if pre_vote || self.disk.vote == self.vote {
            self.count_votes(now, out);
        }
    }

    /// Enters the higher term of a voter that refused, or no later poll could
    /// win its vote, however long the own log.
    pub(super) fn handle_poll_refusal<K>(&mut self, now: Instant, term: u64, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        if matches!(self.role, Role::Polling { .. }) && term > self.vote.term {
            self.enter_term(now, term, out);
        }
    }

    /// Stops proposing, because nothing can be written.
    pub(super) fn handle_disk_full<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        self.disk.full = true;
        self.resign(now, out);
    }

    /// Hands leadership to the voter that is furthest.
    pub(super) fn resign<K>(&mut self, now: Instant, out: &mut K)
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

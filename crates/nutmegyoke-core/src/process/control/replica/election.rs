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
        self.setup.election * 3 / 4
    }

    /// Begins to wait for a leader after the start.
    ///
    /// What this replica answered a leader in an earlier run makes that one lead for
    /// a lease at most. All may have been restarted together, so no more is waited.
    pub(super) fn wait_at_start(&mut self, now: Instant) {
        let lease = self.lease();
        let heard = now.checked_sub(self.setup.election.saturating_sub(lease));
        self.heard = heard.unwrap_or(now);
        self.alarm = now + lease + self.heartbeat().mul_f64(self.random.f64());
    }

    /// Waits a random time for a leader before campaigning.
    pub(super) fn rest(&mut self, now: Instant) {
        let election = self.setup.election;
        self.alarm = now + election + election.mul_f64(self.random.f64());
    }

    /// Does what is due at the alarm.
    pub(super) fn ring<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        match self.role {
            Role::Leader { .. } => {
                self.alarm = now + self.heartbeat();
                self.prune(now, out);
                self.replicate(now, true, out);
            }
            _ if self.votes() => self.poll(now, out),
            _ => self.look_for_fleet(now, out),
        }
    }

    fn poll<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        // A poll changes nothing at the others, so it may be repeated soon.
        let heartbeat = self.heartbeat();
        self.alarm = now + heartbeat + heartbeat.mul_f64(self.random.f64());
        if self.disk.stalled {
            return;
        }
        self.leader = None;
        self.role = Role::Polling {
            granted: BTreeSet::from([self.setup.id]),
        };
        let last = self.log.last();
        self.ask_voters(|| Body::Poll { last }, out);
        self.return_to_fleet(out);
        self.count(now, out);
    }

    /// Stands for election in the next term.
    pub(super) fn campaign<K>(&mut self, now: Instant, forced: bool, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        self.rest(now);
        self.leader = None;
        self.vote = Vote {
            term: self.vote.term + 1,
            candidate: Some(self.setup.id),
        };
        self.verified = 0;
        self.role = Role::Candidate {
            granted: BTreeSet::new(),
        };
        let last = self.log.last();
        self.ask_voters(|| Body::Solicit { last, forced }, out);
    }

    fn ask_voters<K>(&mut self, body: impl Fn() -> Body<S>, out: &mut K)
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
            self.count(now, out);
        }
    }

    fn count<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let (Role::Polling { granted } | Role::Candidate { granted }) = &self.role else {
            return;
        };
        let granted = granted.iter().filter(|&&id| self.membership.votes(id));
        if granted.count() < self.membership.quorum() {
            return;
        }
        if matches!(self.role, Role::Polling { .. }) {
            self.campaign(now, false, out);
        } else {
            self.lead(now, out);
        }
    }

    fn lead<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let first = self.log.last().index + 1;
        self.leader = Some(self.setup.id);
        self.alarm = now + self.heartbeat();
        self.role = Role::Leader {
            progress: BTreeMap::new(),
            first,
        };
        self.adopt_peers(now);
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
    pub(super) fn follow<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        self.role = Role::Follower;
        self.leader = None;
        self.rest(now);
        self.lose(out);
    }

    /// Enters a higher term.
    pub(super) fn enter<K>(&mut self, now: Instant, term: u64, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        self.vote = Vote {
            term,
            candidate: None,
        };
        self.verified = 0;
        self.follow(now, out);
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
        let heard = self.membership.voters().filter(|peer| {
            let answered = progress.get(&peer.id).map(|progress| progress.answered);
            peer.id == self.setup.id || answered.is_some_and(|at| at + lease > now)
        });
        if heard.count() < self.membership.quorum() {
            self.follow(now, out);
        }
    }

    /// Whether a leader was heard of so lately that it may still lead.
    fn hears_leader(&self, now: Instant) -> bool {
        self.leads() || now < self.heard + self.setup.election
    }

    pub(super) fn take_poll<K>(
        &mut self,
        now: Instant,
        message: &Message<S>,
        last: Position,
        out: &mut K,
    ) where
        K: Sink<Command = Command<S>>,
    {
        let granted =
            message.term >= self.vote.term && last >= self.log.last() && !self.hears_leader(now);
        self.send(message.from, Body::Polled { granted }, out);
    }

    pub(super) fn take_solicit<K>(&mut self, now: Instant, from: Id, last: Position, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let free = self
            .vote
            .candidate
            .is_none_or(|candidate| candidate == from);
        if free && last >= self.log.last() {
            self.vote.candidate = Some(from);
            self.rest(now);
            self.send(from, Body::Voted, out);
        }
    }

    /// Whether to leave a solicitation unheard, because a leader still works.
    pub(super) fn ignores_solicit(&self, now: Instant, body: &Body<S>) -> bool {
        matches!(body, Body::Solicit { forced: false, .. }) && self.hears_leader(now)
    }

    pub(super) fn take_granted<K>(&mut self, now: Instant, from: Id, polled: bool, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        match &mut self.role {
            Role::Polling { granted } if polled => granted.insert(from),
            Role::Candidate { granted } if !polled => granted.insert(from),
            _ => return,
        };
        // A candidate leads only after its own vote is synced.
        if polled || self.disk.vote == self.vote {
            self.count(now, out);
        }
    }

    /// Enters the higher term of a voter that refused, or no later poll could
    /// win its vote, however long the own log.
    pub(super) fn take_denied<K>(&mut self, now: Instant, term: u64, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        if matches!(self.role, Role::Polling { .. }) && term > self.vote.term {
            self.enter(now, term, out);
        }
    }

    /// Stops proposing, because nothing can be written.
    pub(super) fn stall<K>(&mut self, now: Instant, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        self.disk.stalled = true;
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
        let best = others.max_by_key(|peer| progress.get(&peer.id).map(|row| row.matched));
        let best = best.map(|peer| peer.id);
        self.follow(now, out);
        if let Some(id) = best {
            self.send(id, Body::Handover, out);
        }
    }
}

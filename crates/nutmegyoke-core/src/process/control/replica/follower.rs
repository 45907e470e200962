//! Dispatches the messages of other replicas and appends the leader's entries.

use std::time::Instant;

use super::{Body, Command, Content, Entry, Message, Position, Replica, Role, Sink, State};

impl<S: State> Replica<S> {
    pub(super) fn receive<K>(&mut self, now: Instant, message: &Message<S>, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        if message.to.is_some_and(|id| id != self.setup.id) {
            return self.handle_misaddressed(message, out);
        }
        self.addresses.insert(message.from, message.reply);
        match &message.body {
            Body::Poll { last } => self.handle_poll(now, message, *last, out),
            Body::Polled { granted: true } => self.handle_grant(now, message.from, true, out),
            Body::Polled { granted: false } => self.handle_poll_refusal(now, message.term, out),
            Body::Join { seed } if self.is_leader() => {
                self.handle_join(now, message.from, seed, out);
            }
            Body::Join { seed } => {
                self.note_join(now, message.from, seed);
                self.forward_join(message, out);
            }
            Body::Probe => self.answer_probe(message, out),
            Body::Probed {
                name,
                fresh,
                founder,
            } => self.handle_probed(message.reply, name, *fresh, *founder),
            body => {
                if self.ignores_solicit(now, body) || self.reject_outdated(message, out) {
                    return;
                }
                if message.term > self.vote.term {
                    self.enter_term(now, message.term, out);
                }
                self.handle_in_term(now, message, out);
            }
        }
    }

    /// Whether the leader's messages arrive, so that the log brings what this replica lacks. An
    /// observer that lacks nothing gets one in each election timeout.
    #[must_use]
    pub fn hears_leader(&self, now: Instant) -> bool {
        self.leader.is_some() && now < self.leader_heard_at + self.setup.election_timeout * 2
    }

    /// When this replica last had all that was committed: now if it leads, else when it received
    /// the latest message of the leader by which it lacked nothing.
    #[must_use]
    pub fn current_at(&self, now: Instant) -> Option<Instant> {
        if self.is_ready_leader() {
            Some(now)
        } else {
            self.current_at
        }
    }

    /// Returns whether a message belongs to an earlier term. Answers an append or a
    /// snapshot by [`Body::Outdated`], so that its sender stops leading.
    fn reject_outdated<K>(&mut self, message: &Message<S>, out: &mut K) -> bool
    where
        K: Sink<Command = Command<S>>,
    {
        let outdated = message.term < self.vote.term;
        if outdated && matches!(message.body, Body::Append { .. } | Body::Install { .. }) {
            self.send(message.from, Body::Outdated, out);
        }
        outdated
    }

    /// Handles a message of the current term.
    fn handle_in_term<K>(&mut self, now: Instant, message: &Message<S>, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let from = message.from;
        match &message.body {
            Body::Solicit { last, .. } => self.handle_solicit(now, from, *last, out),
            Body::Voted => self.handle_grant(now, from, false, out),
            Body::Append {
                previous,
                entries,
                commit,
                stamp,
            } => {
                self.follow_leader(now, message, *stamp);
                self.handle_append(*previous, entries, *commit, out);
                if *commit <= self.applied_index {
                    self.current_at = Some(now);
                }
            }
            Body::Appended { matched, stamp } => {
                self.handle_appended(now, from, *matched, *stamp, out);
            }
            Body::Diverged {
                previous,
                last,
                stamp,
            } => self.handle_diverged(now, from, [*previous, *last], *stamp, out),
            Body::Install { snapshot, stamp } => {
                self.follow_leader(now, message, *stamp);
                self.install_snapshot(snapshot);
                self.agreed_index = self.agreed_index.max(self.commit_index);
                self.acknowledge(out);
            }
            Body::Handover if self.is_voter() && self.leader == Some(from) => {
                self.campaign(now, true, None, out);
            }
            _ => {}
        }
    }

    /// Follows the leader of the current term, which sent `message`.
    fn follow_leader(&mut self, now: Instant, message: &Message<S>, stamp: u64) {
        self.role = Role::Follower;
        self.leader = Some(message.from);
        self.leader_heard_at = now;
        self.leader_stamp = stamp;
        self.restart_election_timer(now);
    }

    fn handle_append<K>(
        &mut self,
        previous: Position,
        entries: &[Entry<S::Change>],
        commit: u64,
        out: &mut K,
    ) where
        K: Sink<Command = Command<S>>,
    {
        // Committed entries match the log of every later leader.
        let agrees = previous.index <= self.commit_index
            || self.log.term(previous.index) == Some(previous.term);
        if !agrees {
            self.reject_append(previous, out);
            return;
        }
        for entry in entries {
            self.append_entry(entry);
        }
        let last_appended = previous.index + entries.len() as u64;
        self.agreed_index = self.agreed_index.max(self.commit_index).max(last_appended);
        self.commit_index = self.commit_index.max(commit.min(self.agreed_index));
        self.apply(out);
        self.acknowledge(out);
    }

    /// Answers an append whose `previous` entry is missing here or differs.
    fn reject_append<K>(&mut self, previous: Position, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let last = self.log.last().index;
        let body = Body::Diverged {
            previous: previous.index,
            last: if last < previous.index {
                last
            } else {
                self.commit_index
            },
            stamp: self.leader_stamp,
        };
        if let Some(leader) = self.leader {
            self.send(leader, body, out);
        }
    }

    /// Appends an entry unless it is present; drops entries that differ from the leader's.
    fn append_entry(&mut self, entry: &Entry<S::Change>) {
        let index = entry.position.index;
        let present_term = self.log.term(index);
        if index <= self.commit_index || present_term == Some(entry.position.term) {
            return;
        }
        if present_term.is_some() {
            self.log.truncate(index);
            self.disk.truncate(index);
            self.reload_membership();
        }
        self.log.push(entry.clone());
        match &entry.content {
            Content::Membership(membership) => self.adopt_membership(membership.clone(), index),
            Content::Blank if !self.quorum.is_settled() => self.refresh_quorum(),
            Content::Blank | Content::Change(_) => {}
        }
    }

    /// Acknowledges to the leader the index up to which the log matches its own and
    /// is synced.
    pub(super) fn acknowledge<K>(&mut self, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let Some(leader) = self.leader.filter(|&leader| leader != self.setup.id) else {
            return;
        };
        let body = Body::Appended {
            matched: self.disk.synced.min(self.agreed_index),
            stamp: self.leader_stamp,
        };
        self.send(leader, body, out);
    }
}

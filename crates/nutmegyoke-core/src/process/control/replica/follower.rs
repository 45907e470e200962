//! How a replica takes in what the others tell it.

use std::time::Instant;

use super::{Body, Command, Content, Entry, Message, Position, Replica, Role, Sink, State};

impl<S: State> Replica<S> {
    pub(super) fn receive<K>(&mut self, now: Instant, message: &Message<S>, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        if message.to.is_some_and(|id| id != self.setup.id) {
            return self.take_stray(message, out);
        }
        self.addresses.insert(message.from, message.reply);
        match &message.body {
            Body::Poll { last } => self.take_poll(now, message, *last, out),
            Body::Polled { granted: true } => self.take_granted(now, message.from, true, out),
            Body::Polled { granted: false } => self.take_denied(now, message.term, out),
            Body::Join { seed } if self.leads() => self.take_join(now, message.from, seed, out),
            Body::Join { .. } => self.pass_join(message, out),
            Body::Probe => self.answer_probe(message, out),
            Body::Probed {
                name,
                fresh,
                founder,
            } => self.take_probed(message.reply, name, *fresh, *founder),
            body => {
                if self.ignores_solicit(now, body) || self.is_outdated(message, out) {
                    return;
                }
                if message.term > self.vote.term {
                    self.enter(now, message.term, out);
                }
                self.take(now, message, out);
            }
        }
    }

    fn is_outdated<K>(&mut self, message: &Message<S>, out: &mut K) -> bool
    where
        K: Sink<Command = Command<S>>,
    {
        let outdated = message.term < self.vote.term;
        if outdated && matches!(message.body, Body::Append { .. } | Body::Install { .. }) {
            self.send(message.from, Body::Outdated, out);
        }
        outdated
    }

    /// Takes a message of the present term.
    fn take<K>(&mut self, now: Instant, message: &Message<S>, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let from = message.from;
        match &message.body {
            Body::Solicit { last, .. } => self.take_solicit(now, from, *last, out),
            Body::Voted => self.take_granted(now, from, false, out),
            Body::Append {
                previous,
                entries,
                commit,
                stamp,
            } => {
                self.hear(now, message, *stamp);
                self.take_append(*previous, entries, *commit, out);
            }
            Body::Appended { matched, stamp } => {
                self.take_appended(now, from, *matched, *stamp, out);
            }
            Body::Diverged {
                previous,
                last,
                stamp,
            } => self.take_diverged(now, from, [*previous, *last], *stamp, out),
            Body::Install { snapshot, stamp } => {
                self.hear(now, message, *stamp);
                self.install(snapshot);
                self.verified = self.verified.max(self.commit);
                self.acknowledge(out);
            }
            Body::Handover if self.votes() && self.leader == Some(from) => {
                self.campaign(now, true, out);
            }
            _ => {}
        }
    }

    /// Notes that the leader of the present term works.
    fn hear(&mut self, now: Instant, message: &Message<S>, stamp: u64) {
        self.role = Role::Follower;
        self.leader = Some(message.from);
        self.heard = now;
        self.stamp = stamp;
        self.rest(now);
    }

    fn take_append<K>(
        &mut self,
        previous: Position,
        entries: &[Entry<S::Change>],
        commit: u64,
        out: &mut K,
    ) where
        K: Sink<Command = Command<S>>,
    {
        // What is committed agrees with every later leader.
        let agrees =
            previous.index <= self.commit || self.log.term(previous.index) == Some(previous.term);
        if !agrees {
            self.refuse_append(previous, out);
            return;
        }
        for entry in entries {
            self.take_entry(entry);
        }
        let reached = previous.index + entries.len() as u64;
        self.verified = self.verified.max(self.commit).max(reached);
        self.commit = self.commit.max(commit.min(self.verified));
        self.apply(out);
        self.acknowledge(out);
    }

    fn refuse_append<K>(&mut self, previous: Position, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let last = self.log.last().index;
        let body = Body::Diverged {
            previous: previous.index,
            last: if last < previous.index {
                last
            } else {
                self.commit
            },
            stamp: self.stamp,
        };
        if let Some(leader) = self.leader {
            self.send(leader, body, out);
        }
    }

    fn take_entry(&mut self, entry: &Entry<S::Change>) {
        let index = entry.position.index;
        let held = self.log.term(index);
        if index <= self.commit || held == Some(entry.position.term) {
            return;
        }
        if held.is_some() {
            self.log.truncate(index);
            self.disk.truncate(index);
            self.find_membership();
        }
        if let Content::Membership(membership) = &entry.content {
            self.membership = membership.clone();
            self.membership_index = index;
        }
        self.log.push(entry.clone());
    }

    /// Tells the leader how far the log agrees with its own and is synced.
    pub(super) fn acknowledge<K>(&mut self, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let Some(leader) = self.leader.filter(|&leader| leader != self.setup.id) else {
            return;
        };
        let body = Body::Appended {
            matched: self.disk.synced.min(self.verified),
            stamp: self.stamp,
        };
        self.send(leader, body, out);
    }
}

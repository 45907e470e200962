//! Replication of the leader's log to the other replicas.

use std::time::{Duration, Instant};

use super::{Body, Command, Content, Entry, Id, Position, Replica, Role, Sink, State};

/// The maximum number of entries in one message.
const MAX_MESSAGE_ENTRIES: usize = 512;

/// The size of a message, in bytes, from which on no further entry is added.
const MESSAGE_FULL_BYTES: usize = 1024 * 1024;

/// The maximum number of unacknowledged entries sent to one replica.
const MAX_IN_FLIGHT_ENTRIES: u64 = 4096;

/// The size of the unacknowledged entries sent to one replica, in bytes, from which on no
/// further ones are sent: enough to fill one message. All of them are kept in memory.
const MAX_IN_FLIGHT_BYTES: usize = MESSAGE_FULL_BYTES;

/// How many times as large as the state the committed entries that a replica lacks have to be
/// so that it gets a snapshot in place of them. A snapshot rewrites the journal.
const SNAPSHOT_ADVANTAGE: usize = 2;

/// What the leader knows of another replica's log.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// The index of the next entry to send.
    pub next: u64,
    /// The stamp of the time when `next` was last moved back.
    moved_back: u64,
    /// The last index that the replica has synced.
    pub matched: u64,
    /// When the leader sent the latest message that the replica has answered.
    pub acked_sent_at: Instant,
    /// The last index in a snapshot that was sent and is not acknowledged, and when it is
    /// considered lost and sent again.
    snapshot: Option<(u64, Instant)>,
    /// When the latest append was sent, and the commit index in it.
    last_sent: Option<(Instant, u64)>,
    /// When the leader sent the first message since the replica last answered.
    unanswered_since: Option<Instant>,
}

impl Progress {
    /// Whether the replica has not answered for `timeout`. It may be frozen; then everything that
    /// is sent to it stays in memory, here or there, until it goes on.
    fn is_silent(&self, now: Instant, timeout: Duration) -> bool {
        let since = self.unanswered_since;
        since.is_some_and(|since| since + timeout <= now)
    }
}

impl<S: State> Replica<S> {
    /// Tracks the replicas of the current membership and forgets all others.
    pub(super) fn track_peers(&mut self, now: Instant) {
        let next = self.log.last().index + 1;
        let Role::Leader { progress, .. } = &mut self.role else {
            return;
        };
        progress.retain(|&id, _| self.membership.peer(id).is_some());
        for peer in &self.membership.peers {
            // A full lease, as if `now` were answered: a new leader was just elected by a
            // majority, and a new member has not been sent anything yet.
            progress.entry(peer.id).or_insert(Progress {
                next,
                moved_back: 0,
                matched: 0,
                acked_sent_at: now,
                snapshot: None,
                last_sent: None,
                unanswered_since: None,
            });
        }
    }

    /// Appends a change, whose outcome answers `call`; redirects the call if this replica
    /// does not lead or its disk is full.
    pub(super) fn propose<K>(&mut self, now: Instant, call: u64, change: &S::Change, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        if !self.is_leader() || self.disk.full {
            out.push(Command::Redirect { call });
            return;
        }
        let index = self.append(Content::Change(change.clone()));
        self.pending_calls.insert(index, call);
        self.replicate(now, false, out);
    }

    /// Appends an entry as the leader and returns its index.
    pub(super) fn append(&mut self, content: Content<S::Change>) -> u64 {
        let position = Position {
            term: self.vote.term,
            index: self.log.last().index + 1,
        };
        self.log.push(Entry { position, content });
        position.index
    }

    /// Sends each replica the entries that it lacks. With `heartbeat`, also sends an
    /// empty append to those that lack none.
    pub(super) fn replicate<K>(&mut self, now: Instant, heartbeat: bool, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let own_id = self.setup.id;
        let ids: Vec<Id> = self.membership.peers.iter().map(|peer| peer.id).collect();
        for id in ids.into_iter().filter(|&id| id != own_id) {
            self.send_missing(now, id, heartbeat, out);
        }
    }

    /// Whether a replica that lacks the entries from `next` on gets a snapshot in place of
    /// them: they are compacted, or much larger than the state.
    fn needs_snapshot(&self, next: u64) -> bool {
        if next <= self.log.base().index {
            return true;
        }
        let limit = MESSAGE_FULL_BYTES.max(self.state.snapshot_size() * SNAPSHOT_ADVANTAGE);
        let lacking = self.log.entries_from(next);
        let lacking = lacking.take_while(|entry| entry.position.index <= self.applied_index);
        exceeds::<S>(lacking, limit)
    }

    /// Sends the latest snapshot, and takes one first if too much would be missing after it.
    fn send_snapshot<K>(&mut self, now: Instant, id: Id, stamp: u64, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let latest = self.snapshot.as_ref();
        let included = latest.map_or(0, |snapshot| snapshot.position.index);
        if self.needs_snapshot(included + 1) {
            self.force_snapshot();
        }
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let resend_at = now + self.setup.election_timeout;
        if let Role::Leader { progress, .. } = &mut self.role
            && let Some(peer) = progress.get_mut(&id)
        {
            peer.snapshot = Some((snapshot.position.index, resend_at));
        }
        self.send(id, Body::Install { snapshot, stamp }, out);
    }

    /// Whether more entries may be sent to a replica that has been sent all before `next` and
    /// has acknowledged those up to `matched`.
    fn is_window_open(&self, next: u64, matched: u64) -> bool {
        let sent = self.log.entries_from(matched + 1);
        let sent = sent.take_while(|entry| entry.position.index < next);
        next <= matched + MAX_IN_FLIGHT_ENTRIES && !exceeds::<S>(sent, MAX_IN_FLIGHT_BYTES)
    }

    /// Sends `id` the entries that it lacks, or a snapshot if that is shorter. A silent replica
    /// gets heartbeats only.
    fn send_missing<K>(&mut self, now: Instant, id: Id, heartbeat: bool, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let stamp = self.stamp(now);
        let election_timeout = self.setup.election_timeout;
        let heartbeat_interval = self.heartbeat_interval();
        let observer = self
            .membership
            .peer(id)
            .is_some_and(|peer| peer.seed.observer);
        let Role::Leader { progress, .. } = &self.role else {
            return;
        };
        let Some(&peer) = progress.get(&id) else {
            return;
        };
        let silent = peer.is_silent(now, election_timeout);
        let needs_snapshot = !silent && self.needs_snapshot(peer.next);
        let window_open = !silent && self.is_window_open(peer.next, peer.matched);
        let Role::Leader { progress, .. } = &mut self.role else {
            return;
        };
        let Some(peer) = progress.get_mut(&id) else {
            return;
        };
        let base = self.log.base().index;
        if needs_snapshot {
            if peer.snapshot.is_some_and(|(_, resend_at)| now < resend_at) {
                return;
            }
            peer.unanswered_since.get_or_insert(now);
            self.send_snapshot(now, id, stamp, out);
            return;
        }
        let entries = if window_open {
            entries_for_message::<S>(self.log.entries_from(peer.next))
        } else {
            Vec::new()
        };
        let skip_heartbeat = peer.last_sent.is_some_and(|(at, commit)| {
            if silent {
                return now < at + heartbeat_interval;
            }
            // Observers count for neither lease nor quorum, so they need few heartbeats.
            observer && commit == self.commit_index && now < at + election_timeout
        });
        if entries.is_empty() && (!heartbeat || skip_heartbeat) {
            return;
        }
        peer.last_sent = Some((now, self.commit_index));
        peer.unanswered_since.get_or_insert(now);
        let index = base.max(peer.next - 1);
        let term = self.log.term(index).unwrap_or_default();
        peer.next += entries.len() as u64;
        let body = Body::Append {
            previous: Position { term, index },
            entries,
            commit: self.commit_index,
            stamp,
        };
        self.send(id, body, out);
    }

    /// The stamp of a message sent now: the milliseconds since this replica opened.
    fn stamp(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.opened_at);
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }

    /// Records that `id` answered the message of this term that was sent at `stamp`.
    fn record_ack(&mut self, id: Id, stamp: u64) -> Option<&mut Progress> {
        let Role::Leader { progress, .. } = &mut self.role else {
            return None;
        };
        let peer = progress.get_mut(&id)?;
        peer.acked_sent_at = peer
            .acked_sent_at
            .max(self.opened_at + Duration::from_millis(stamp));
        peer.unanswered_since = None;
        Some(peer)
    }

    pub(super) fn handle_appended<K>(
        &mut self,
        now: Instant,
        from: Id,
        matched: u64,
        stamp: u64,
        out: &mut K,
    ) where
        K: Sink<Command = Command<S>>,
    {
        let Some(peer) = self.record_ack(from, stamp) else {
            return;
        };
        peer.matched = peer.matched.max(matched);
        peer.snapshot = peer.snapshot.filter(|&(index, _)| matched < index);
        peer.next = peer.next.max(matched + 1);
        if self.advance_commit_index(out) {
            // Lets the other replicas apply the entries before the next heartbeat.
            self.replicate(now, true, out);
        }
        self.promote_learner(now, from, out);
        self.send_missing(now, from, false, out);
    }

    pub(super) fn handle_diverged<K>(
        &mut self,
        now: Instant,
        from: Id,
        [previous, last]: [u64; 2],
        stamp: u64,
        out: &mut K,
    ) where
        K: Sink<Command = Command<S>>,
    {
        let now_stamp = self.stamp(now);
        let Some(peer) = self.record_ack(from, stamp) else {
            return;
        };
        // Messages sent before `next` was last moved back may all be rejected; the entries that
        // the replica lacks were sent since.
        let is_new = stamp >= peer.moved_back;
        if is_new && previous > peer.matched && previous < peer.next {
            peer.next = (peer.matched + 1).max(previous.min(last + 1));
            peer.moved_back = now_stamp;
        }
        self.send_missing(now, from, false, out);
    }

    /// Commits and applies the entries that a majority has synced.
    ///
    /// Returns whether the commit index moved.
    pub(super) fn advance_commit_index<K>(&mut self, out: &mut K) -> bool
    where
        K: Sink<Command = Command<S>>,
    {
        let Role::Leader { progress, .. } = &self.role else {
            return false;
        };
        let matched = |id| match progress.get(&id) {
            _ if id == self.setup.id => self.disk.synced,
            Some(peer) => peer.matched,
            None => 0,
        };
        let mut synced: Vec<u64> = self
            .membership
            .voters()
            .map(|peer| matched(peer.id))
            .collect();
        synced.sort_unstable_by(|one, other| other.cmp(one));
        let Some(&index) = synced.get(self.membership.quorum() - 1) else {
            return false;
        };
        // Entries of earlier terms are committed only through a later one of this term.
        let committed = index > self.commit_index && self.log.term(index) == Some(self.vote.term);
        if committed {
            self.commit_index = index;
            self.apply(out);
        }
        committed
    }
}

/// Whether the changes in `entries` are larger than `limit`, in bytes.
fn exceeds<'a, S: State + 'a>(
    entries: impl Iterator<Item = &'a Entry<S::Change>>,
    limit: usize,
) -> bool {
    let mut bytes = 0;
    let mut entries = entries;
    entries.any(|entry| {
        if let Content::Change(change) = &entry.content {
            bytes += S::change_size(change);
        }
        bytes > limit
    })
}

/// The first of `entries` that fit into one message.
fn entries_for_message<'a, S: State + 'a>(
    entries: impl Iterator<Item = &'a Entry<S::Change>>,
) -> Vec<Entry<S::Change>> {
    let mut bytes = 0;
    let fitting = entries.take(MAX_MESSAGE_ENTRIES).take_while(|entry| {
        let full = bytes >= MESSAGE_FULL_BYTES;
        if let Content::Change(change) = &entry.content {
            bytes += S::change_size(change);
        }
        !full
    });
    fitting.cloned().collect()
}

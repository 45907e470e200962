//! Replication of the leader's log to the other replicas.
//!
//! Large messages are sent to few replicas at a time, see [`super::transfer`]. Observers are sent
//! only committed entries, so that the leader's link is free for the voters until then.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::transfer::{TRANSFER_BYTES, Transfer};
use super::{Body, Command, Content, Entry, Id, Peer, Position, Replica, Role, Sink, State};

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
    /// The stamp of the time when `next` was last moved back or a snapshot was sent.
    moved_back: u64,
    /// The last index that the replica has synced.
    pub matched: u64,
    /// When the leader sent the latest message that the replica has answered.
    pub acked_sent_at: Instant,
    /// The large message that was sent and is not acknowledged.
    pub(super) transfer: Option<Transfer>,
    /// Whether the replica votes.
    pub(super) voter: bool,
    /// Whether the replica has answered this leader. One that may be down is sent no transfer.
    pub(super) answered: bool,
    /// When the latest append was sent, and the commit index in it.
    last_sent: Option<(Instant, u64)>,
    /// When the leader sent the first message since the replica last answered.
    unanswered_since: Option<Instant>,
}

impl Progress {
    /// Whether the replica has not answered for `timeout`. It may be frozen; then everything that
    /// is sent to it stays in memory, here or there, until it goes on.
    pub(super) fn is_silent(&self, now: Instant, timeout: Duration) -> bool {
        let since = self.unanswered_since;
        since.is_some_and(|since| since + timeout <= now)
    }
}

impl<S: State> Replica<S> {
    /// Tracks the replicas of the current membership, and the voters that it removed until that
    /// is committed, and forgets all others.
    pub(super) fn track_peers(&mut self, now: Instant) {
        self.forget_removed_peers();
        let next = self.log.last().index + 1;
        let Role::Leader { progress, .. } = &mut self.role else {
            return;
        };
        let peers = self
            .membership
            .peers
            .iter()
            .map(|peer| (peer.id, peer.voter));
        let removed = self.quorum.voters().into_iter().map(|id| (id, true));
        let removed = removed.filter(|(id, _)| self.membership.peer(*id).is_none());
        for (id, voter) in peers.chain(removed) {
            // A full lease, as if `now` were answered: a new leader was just elected by a
            // majority, and a new member has not been sent anything yet.
            let progress = progress.entry(id).or_insert(Progress {
                next,
                moved_back: 0,
                matched: 0,
                acked_sent_at: now,
                transfer: None,
                voter,
                answered: false,
                last_sent: None,
                unanswered_since: None,
            });
            progress.voter = voter;
        }
    }

    fn forget_removed_peers(&mut self) {
        let voters = self.quorum.voters();
        if let Role::Leader { progress, .. } = &mut self.role {
            progress.retain(|&id, _| self.membership.peer(id).is_some() || voters.contains(&id));
        }
    }

    /// Appends a change, whose outcome answers `call`; redirects the call if this replica
    /// does not lead, its disk is full, or too few others vote yet. A change that an uncommitted entry already makes is not
    /// appended again.
    pub(super) fn propose<K>(&mut self, now: Instant, call: u64, change: &S::Change, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        if !self.is_leader() || self.disk.full || !self.is_founded() {
            out.push(Command::Redirect { call });
            return;
        }
        if let Some(index) = self.uncommitted_repeat(change) {
            self.pending_calls.entry(index).or_default().push(call);
            return;
        }
        let index = self.append(Content::Change(change.clone()));
        self.pending_calls.entry(index).or_default().push(call);
        self.replicate(now, false, out);
    }

    /// The index of an uncommitted entry with the same outcome as `change`.
    fn uncommitted_repeat(&self, change: &S::Change) -> Option<u64> {
        let mut uncommitted = self.log.entries_from(self.commit_index + 1);
        let repeat = uncommitted.find(|entry| match &entry.content {
            Content::Change(earlier) => S::is_repeat(change, earlier),
            Content::Blank | Content::Membership(_) => false,
        });
        repeat.map(|entry| entry.position.index)
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
        let peers = &self.membership.peers;
        let voters = peers.iter().filter(|peer| peer.voter);
        let mut others: Vec<&Peer> = peers.iter().filter(|peer| !peer.voter).collect();
        // Those that lack most come first; otherwise a series of documents starves the last.
        others.sort_by_key(|peer| self.matched(peer.id));
        let mut ids: Vec<Id> = voters.chain(others).map(|peer| peer.id).collect();
        // A removed voter's answers count until its removal is committed.
        let removed = self.quorum.voters().into_iter();
        ids.extend(removed.filter(|&id| self.membership.peer(id).is_none()));
        for id in ids.into_iter().filter(|&id| id != own_id) {
            self.send_missing(now, id, heartbeat, out);
        }
    }

    /// Whether a replica that lacks the entries from `next` on gets a snapshot in place of
    /// them: they are compacted, or larger than the state; for a voter much larger, because the
    /// snapshot rewrites its journal.
    fn needs_snapshot(&self, next: u64, observer: bool) -> bool {
        if next <= self.log.base().index {
            return true;
        }
        let state = self.state.snapshot_size();
        let limit = if observer {
            TRANSFER_BYTES.max(state)
        } else {
            MESSAGE_FULL_BYTES.max(state * SNAPSHOT_ADVANTAGE)
        };
        let lacking = self.log.entries_from(next);
        let lacking = lacking.take_while(|entry| entry.position.index <= self.applied_index);
        exceeds::<S>(lacking, limit)
    }

    /// Sends a snapshot: to an observer one of the applied state, to others the latest, which is
    /// taken anew if too much would be missing after it.
    fn send_snapshot<K>(&mut self, now: Instant, id: Id, stamp: u64, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let snapshot = if self.is_observer(id) {
            self.applied_snapshot().map(Rc::new)
        } else {
            let latest = self.snapshot.as_ref();
            let included = latest.map_or(0, |snapshot| snapshot.position.index);
            if self.needs_snapshot(included + 1, false) {
                self.force_snapshot();
            }
            self.snapshot.clone()
        };
        let Some(snapshot) = snapshot else {
            return;
        };
        let transfer =
            self.open_transfer(now, snapshot.position.index, snapshot.state.snapshot_size());
        if let Role::Leader { progress, .. } = &mut self.role
            && let Some(peer) = progress.get_mut(&id)
        {
            peer.transfer = Some(transfer);
            // Rejections of messages sent before the snapshot ask for nothing that it lacks.
            peer.moved_back = stamp;
            peer.unanswered_since.get_or_insert(now);
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

    /// Sends `id` the entries that it lacks, or a snapshot if that is shorter. A silent replica,
    /// and one that a transfer is in flight to, gets heartbeats only.
    fn send_missing<K>(&mut self, now: Instant, id: Id, heartbeat: bool, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let stamp = self.stamp(now);
        let election_timeout = self.setup.election_timeout;
        let Role::Leader { progress, .. } = &mut self.role else {
            return;
        };
        let Some(peer) = progress.get_mut(&id) else {
            return;
        };
        let silent = peer.is_silent(now, election_timeout);
        let lost = peer.transfer.is_some_and(|sent| sent.resend_at <= now);
        if lost && !silent {
            peer.transfer = None;
            peer.next = peer.matched + 1;
        }
        let peer = *peer;
        if silent || peer.transfer.is_some() {
            return self.send_heartbeat(now, id, heartbeat, out);
        }
        if self.needs_snapshot(peer.next, self.is_observer(id)) {
            if self.may_transfer(now, &peer) {
                self.send_snapshot(now, id, stamp, out);
            } else {
                self.send_heartbeat(now, id, heartbeat, out);
            }
            return;
        }
        let entries = self.entries_to_send(id, &peer);
        let size = entries.iter().map(change_size::<S>).sum();
        let large = size >= TRANSFER_BYTES;
        if entries.is_empty() || (large && !self.may_transfer(now, &peer)) {
            return self.send_heartbeat(now, id, heartbeat, out);
        }
        let previous = self.log_position(peer.next - 1);
        let next = peer.next + entries.len() as u64;
        let transfer = large.then(|| self.open_transfer(now, next - 1, size));
        self.record_sent(now, id, |peer| {
            peer.next = next;
            peer.transfer = transfer;
        });
        let body = Body::Append {
            previous,
            entries,
            commit: self.commit_index,
            stamp,
        };
        self.send(id, body, out);
    }

    /// Sends `id` an empty append if `due`, unless it has been sent one recently and needs few.
    fn send_heartbeat<K>(&mut self, now: Instant, id: Id, due: bool, out: &mut K)
    where
        K: Sink<Command = Command<S>>,
    {
        let election_timeout = self.setup.election_timeout;
        let Role::Leader { progress, .. } = &self.role else {
            return;
        };
        let Some(&peer) = progress.get(&id).filter(|_| due) else {
            return;
        };
        let silent = peer.is_silent(now, election_timeout);
        let observer = self.is_observer(id);
        let recent = peer.last_sent.is_some_and(|(at, commit)| {
            if silent {
                return now < at + self.heartbeat_interval();
            }
            // Observers count for neither lease nor quorum, so they need few heartbeats. During a
            // transfer only heartbeats show that they are not silent.
            let few = observer && peer.transfer.is_none() && commit == self.commit_index;
            few && now < at + election_timeout
        });
        if recent {
            return;
        }
        // It overtakes a transfer, so it follows what all logs have in common.
        let overtakes = peer.transfer.is_some() || peer.next <= self.log.base().index;
        let previous = if overtakes {
            Position::default()
        } else {
            self.log_position(peer.next - 1)
        };
        self.record_sent(now, id, |_| {});
        let body = Body::Append {
            previous,
            entries: Vec::new(),
            commit: self.commit_index,
            stamp: self.stamp(now),
        };
        self.send(id, body, out);
    }

    /// Records that `id` is sent an append now, and what that changes of its progress.
    fn record_sent(&mut self, now: Instant, id: Id, change: impl FnOnce(&mut Progress)) {
        let commit = self.commit_index;
        if let Role::Leader { progress, .. } = &mut self.role
            && let Some(peer) = progress.get_mut(&id)
        {
            peer.last_sent = Some((now, commit));
            peer.unanswered_since.get_or_insert(now);
            change(peer);
        }
    }

    /// The size of the entries and snapshots that were sent to all replicas and are not
    /// acknowledged, in bytes.
    pub(super) fn unacknowledged_bytes(&self) -> usize {
        let Role::Leader { progress, .. } = &self.role else {
            return 0;
        };
        let bytes = progress.values().map(|peer| {
            let sent = self.log.entries_from(peer.matched + 1);
            let sent = sent.take_while(|entry| entry.position.index < peer.next);
            let snapshot = peer.transfer.filter(|sent| sent.last >= peer.next);
            let snapshot = snapshot.map_or(0, |_| self.state.snapshot_size());
            snapshot + sent.map(change_size::<S>).sum::<usize>()
        });
        bytes.sum()
    }

    /// The position of the entry at `index`, which is not compacted.
    fn log_position(&self, index: u64) -> Position {
        let term = self.log.term(index).unwrap_or_default();
        Position { term, index }
    }

    fn is_observer(&self, id: Id) -> bool {
        let peer = self.membership.peer(id);
        peer.is_some_and(|peer| peer.seed.observer)
    }

    /// The next entries for a replica, none if too many are on their way to it.
    fn entries_to_send(&self, id: Id, peer: &Progress) -> Vec<Entry<S::Change>> {
        if !self.is_window_open(peer.next, peer.matched) {
            return Vec::new();
        }
        let limit = if self.is_observer(id) {
            self.commit_index
        } else {
            u64::MAX
        };
        let entries = self.log.entries_from(peer.next);
        entries_for_message::<S>(entries.take_while(|entry| entry.position.index <= limit))
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
        peer.answered = true;
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
        let transferred = peer.transfer.is_some_and(|sent| sent.last <= matched);
        if transferred {
            peer.transfer = None;
        }
        peer.next = peer.next.max(matched + 1);
        if self.advance_commit_index(out) {
            // Lets the other replicas apply the entries before the next heartbeat.
            self.replicate(now, true, out);
        } else if transferred {
            // Another transfer may begin.
            self.replicate(now, false, out);
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
        // Messages sent before `next` was last moved back may all be rejected; what the replica
        // lacks was sent since.
        let is_new = stamp >= peer.moved_back;
        if is_new && previous > peer.matched && previous < peer.next {
            peer.next = (peer.matched + 1).max(previous.min(last + 1));
            peer.moved_back = now_stamp;
            peer.transfer = None;
        }
        self.send_missing(now, from, false, out);
    }

    /// Records in the log that the latest voters are committed, see
    /// [`Replica::refresh_quorum`].
    fn confirm_voters(&mut self) {
        self.append(Content::Blank);
        self.refresh_quorum();
        self.forget_removed_peers();
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
        let index = self.quorum.reached(matched);
        // Entries of earlier terms are committed only through a later one of this term.
        let committed = index > self.commit_index && self.log.term(index) == Some(self.vote.term);
        if committed {
            let unsettled = !self.quorum.is_settled() && index >= self.membership_index;
            self.commit_index = index;
            self.apply(out);
            if unsettled {
                self.confirm_voters();
            }
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
        bytes += change_size::<S>(entry);
        bytes > limit
    })
}

/// The size of the change in an entry, in bytes.
fn change_size<S: State>(entry: &Entry<S::Change>) -> usize {
    match &entry.content {
        Content::Change(change) => S::change_size(change),
        Content::Blank | Content::Membership(_) => 0,
    }
}

/// The first of `entries` that fit into one message.
fn entries_for_message<'a, S: State + 'a>(
    entries: impl Iterator<Item = &'a Entry<S::Change>>,
) -> Vec<Entry<S::Change>> {
    let mut bytes = 0;
    let fitting = entries.take(MAX_MESSAGE_ENTRIES).take_while(|entry| {
        let full = bytes >= MESSAGE_FULL_BYTES;
        bytes += change_size::<S>(entry);
        !full
    });
    fitting.cloned().collect()
}

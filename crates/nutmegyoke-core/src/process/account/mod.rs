//! The account of what a process holds for the connections that others opened to it.
//!
//! It bounds the bytes that all connections hold together and the number of connections. When
//! there is no room, the connections that make no progress give theirs up, the one that has been
//! without progress for the longest time first. A request that may have run is never given up
//! unless its client does not read the answer.
//!
//! Time is as of the last [`Account::sweep`], so that no clock is read for a request. Time in which
//! the process was paused or too busy to sweep does not count: the clients' bytes may have been
//! waiting for it.

mod capacity;

use std::time::{Duration, Instant};

use strum::{Display, EnumIter, IntoStaticStr};

pub use capacity::Capacity;

/// How long a client may take to read the refusal of a request before its connection is closed
/// all the same.
const CLOSING_TIME: Duration = Duration::from_secs(2);

/// What a connection costs without a request, in bytes: two buffers of 8 KiB for the socket, those
/// of hyper, the task and the table of headers. Measured with 400 connections: 31 KiB of resident
/// memory for an idle one, 38 KiB for one with 15 KB of an unfinished head.
pub const CONNECTION_BYTES: usize = 40 * 1024;

/// The share of each connection beside its own cost, in bytes. A request of the longest prompts, 9,000
/// tokens, has 50 KB and its answer is shorter.
pub const SHARE_BYTES: usize = 256 * 1024;

/// One part in this number is kept for connections within their share, so that they are served
/// while large requests use up the rest.
const RESERVED_PART: usize = 8;

/// One part in this number is kept for [`Side::Peers`]: 4.7 MB with 160 MB of memory. Control takes
/// 23 KB a second for each gateway, so it is enough while clients hold all else.
const PEERS_PART: usize = 16;

/// How long a connection makes no progress before it gives up its room to others. Retransmission
/// of a lost packet takes 200 ms, and a second one 600 ms.
const STALL_TIME: Duration = Duration::from_secs(1);

/// The bytes between two sweeps that count as progress under pressure: 4 KiB a second. A body of
/// 4 MiB would take 17 minutes at this rate, longer than any client waits.
const MIN_PROGRESS: u64 = 1024;

/// The period of the sweeps.
pub const SWEEP_PERIOD: Duration = Duration::from_millis(250);

/// The longest time between two sweeps that counts.
const MAX_STEP: Duration = SWEEP_PERIOD.saturating_mul(2);

/// How long an answer may stay unread. A client that reads more than the system's send buffer of
/// 256 KiB in that time is never closed.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(30);

/// How long the client of a connection may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// For the head of a request, from its first byte on.
    pub head: Duration,
    /// Between requests.
    pub idle: Duration,
    /// Between two parts of a body.
    pub body: Duration,
}

/// Who connects to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Clients and callers, who may take three quarters of the connections, and the bytes but for
    /// those kept for the others.
    Callers,
    /// Endpoints, operators and other processes, who may take half of them.
    Peers,
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It waits for a request.
    Idle,
    /// The head of a request arrives.
    Head,
    /// The body of a request arrives.
    Body,
    /// A request was read whole and has no complete answer.
    Busy,
}

/// Why a connection is closed or a request refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, IntoStaticStr, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Cause {
    /// It was idle for too long.
    Idle,
    /// The head was longer than allowed.
    HeadTooLong,
    /// The head took too long.
    HeadTimeout,
    /// The body made no progress.
    BodyStalled,
    /// The answer stayed unread.
    Unread,
    /// Other connections needed the memory, and this one made no progress.
    MemoryNeeded,
    /// There was no memory for more of the request.
    MemoryFull,
    /// Another connection needed the place, and this one had been idle for the longest time.
    Displaced,
    /// All connections are in use.
    ConnectionsFull,
}

impl Cause {
    /// The stable name in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        self.into()
    }
}

/// A connection in the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Id(pub usize);

/// A connection that has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Eviction {
    pub id: Id,
    pub cause: Cause,
}

/// There is no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

#[derive(Clone, Debug)]
struct Connection {
    listener: usize,
    side: Side,
    held: usize,
    phase: Phase,
    /// When the phase began.
    since: Instant,
    /// When bytes last moved.
    progressed: Instant,
    /// The bytes that moved since the last sweep.
    moved: u64,
    /// Whether bytes wait for the client to read.
    blocked: bool,
    /// Why it is being closed; its room counts as free.
    closing: Option<Cause>,
    timeouts: Timeouts,
}

/// The account of a process.
#[derive(Clone, Debug)]
pub struct Account {
    /// The time of the account, which no step advances by more than [`MAX_STEP`].
    now: Instant,
    /// When it was swept last.
    swept: Instant,
    capacity: Capacity,
    held: usize,
    /// By id; `None` is free.
    connections: Vec<Option<Connection>>,
    free: Vec<usize>,
    /// The open connections of each listener.
    listeners: Vec<usize>,
}

impl Account {
    /// Opens an account without connections.
    #[must_use]
    pub fn open(now: Instant, capacity: Capacity) -> Self {
        Self {
            now,
            swept: now,
            capacity,
            held: 0,
            connections: Vec::new(),
            free: Vec::new(),
            listeners: Vec::new(),
        }
    }

    /// Adds a listener and returns its number.
    pub fn listen(&mut self) -> usize {
        self.listeners.push(0);
        self.listeners.len() - 1
    }

    /// The bytes held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held
    }

    /// The number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.listeners.iter().sum()
    }

    /// Adds a connection that was accepted, and those that have to be closed for it. One of
    /// [`Side::Callers`] displaces only such connections, and no link between processes.
    ///
    /// # Errors
    ///
    /// All connections are in use.
    pub fn admit(
        &mut self,
        listener: usize,
        side: Side,
        timeouts: Timeouts,
    ) -> Result<(Id, Vec<Eviction>), Full> {
        let share = match side {
            Side::Callers => self.capacity.connections / 4 * 3,
            Side::Peers => self.capacity.connections / 2,
        };
        // A displaced connection held at least as much as the new one will.
        let evictions = if self.listeners[listener] >= share {
            let displaced = self.displace(|connection| connection.listener == listener);
            vec![displaced.ok_or(Full)?]
        } else if self.open_connections() >= self.capacity.connections {
            vec![self.evict_idle(side).ok_or(Full)?]
        } else if let Ok(evictions) = self.make_room(CONNECTION_BYTES, self.limit(side)) {
            evictions
        } else {
            vec![self.evict_idle(side).ok_or(Full)?]
        };
        let connection = Connection {
            listener,
            side,
            held: CONNECTION_BYTES,
            phase: Phase::Idle,
            since: self.now,
            progressed: self.now,
            moved: 0,
            blocked: false,
            closing: None,
            timeouts,
        };
        self.held += CONNECTION_BYTES;
        self.listeners[listener] += 1;
        let id = self.free.pop().unwrap_or_else(|| {
            self.connections.push(None);
            self.connections.len() - 1
        });
        self.connections[id] = Some(connection);
        Ok((Id(id), evictions))
    }

    /// Closes the longest idle connection, or else the one whose head takes the longest, for a new
    /// one of `side`, for example because accepting failed for want of file descriptors.
    pub fn evict_idle(&mut self, side: Side) -> Option<Eviction> {
        self.displace(|connection| side == Side::Peers || connection.side == Side::Callers)
    }

    /// Takes `bytes` more for a connection, and returns those that have to be closed for it.
    ///
    /// # Errors
    ///
    /// There is no room, and nothing was taken.
    pub fn hold(&mut self, id: Id, bytes: usize) -> Result<Vec<Eviction>, Full> {
        let Some(&mut Connection { side, held, .. }) = self.get(id) else {
            return Ok(Vec::new());
        };
        let is_large = held + bytes > CONNECTION_BYTES + SHARE_BYTES;
        let limit = if is_large && !self.is_reserved(side, bytes) {
            self.limit(side) - self.capacity.bytes / RESERVED_PART
        } else {
            self.limit(side)
        };
        let evictions = self.make_room(bytes, limit)?;
        self.take(id, bytes);
        Ok(evictions)
    }

    /// Takes `bytes` more for an answer, as [`Account::hold`] does. Answers may take what requests
    /// can't, as a request returns its bytes only when its answer is complete.
    ///
    /// # Errors
    ///
    /// There is no room, and nothing was taken.
    pub fn hold_answer(&mut self, id: Id, bytes: usize) -> Result<Vec<Eviction>, Full> {
        let evictions = self.make_room(bytes, self.capacity.bytes)?;
        self.take(id, bytes);
        Ok(evictions)
    }

    /// Takes `bytes` that are held already, although there may be no room.
    pub fn take(&mut self, id: Id, bytes: usize) {
        if let Some(connection) = self.get(id)
            && connection.closing.is_none()
        {
            connection.held += bytes;
            self.held += bytes;
        }
    }

    /// Returns `bytes` of a connection.
    pub fn release(&mut self, id: Id, bytes: usize) {
        if let Some(connection) = self.get(id) {
            let bytes = bytes.min(connection.held);
            connection.held -= bytes;
            self.held -= bytes;
        }
    }

    /// Removes a connection that is closed.
    pub fn close(&mut self, Id(id): Id) {
        if let Some(connection) = self.connections[id].take() {
            self.held -= connection.held;
            self.listeners[connection.listener] -= 1;
            self.free.push(id);
        }
    }

    /// Begins another phase of a connection.
    pub fn enter(&mut self, id: Id, phase: Phase) {
        let now = self.now;
        if let Some(connection) = self.get(id) {
            connection.phase = phase;
            connection.since = now;
            connection.progressed = now;
        }
    }

    /// The phase of a connection.
    #[must_use]
    pub fn phase(&self, id: Id) -> Option<Phase> {
        self.connections[id.0]
            .as_ref()
            .map(|connection| connection.phase)
    }

    /// Sets how long the client may take from now on.
    pub fn set_timeouts(&mut self, id: Id, timeouts: Timeouts) {
        if let Some(connection) = self.get(id) {
            connection.timeouts = timeouts;
        }
    }

    /// Counts bytes that were received from the client, or taken by it. The first bytes after a
    /// request begin the head of the next one.
    pub fn receive(&mut self, id: Id, bytes: usize) {
        let idle = self.phase(id) == Some(Phase::Idle);
        if idle {
            self.enter(id, Phase::Head);
        }
        self.advance(id, bytes);
    }

    /// Counts bytes that moved.
    pub fn advance(&mut self, id: Id, bytes: usize) {
        if let Some(connection) = self.get(id) {
            connection.moved += bytes as u64;
        }
    }

    /// Sets whether bytes wait for the client to read.
    pub fn block(&mut self, id: Id, blocked: bool) {
        let now = self.now;
        if let Some(connection) = self.get(id) {
            connection.blocked = blocked;
            connection.progressed = now;
        }
    }

    /// Advances the time and returns the connections that took too long.
    pub fn sweep(&mut self, now: Instant) -> Vec<Eviction> {
        let step = now.saturating_duration_since(self.swept);
        self.swept = now;
        self.now += step.min(MAX_STEP);
        let now = self.now;
        let least = if self.is_pressed() { MIN_PROGRESS } else { 1 };
        let mut evictions = Vec::new();
        for id in 0..self.connections.len() {
            let Some(connection) = &mut self.connections[id] else {
                continue;
            };
            if let Some(cause) = connection.closing {
                if now.saturating_duration_since(connection.since) > CLOSING_TIME {
                    connection.since = now;
                    evictions.push(Eviction { id: Id(id), cause });
                }
                continue;
            }
            let moved = std::mem::take(&mut connection.moved);
            if moved >= least || (connection.blocked && moved > 0) {
                connection.progressed = now;
            }
            if let Some(cause) = connection.overdue(now) {
                evictions.push(self.begin_closing(id, cause));
            }
        }
        evictions
    }

    fn get(&mut self, Id(id): Id) -> Option<&mut Connection> {
        self.connections[id].as_mut()
    }

    /// Whether half of the bytes or connections are in use, so that slow clients may be in the way of
    /// others.
    fn is_pressed(&self) -> bool {
        self.held > self.capacity.bytes / 2
            || self.open_connections() > self.capacity.connections / 2
    }

    /// The bytes that may be held in all for a connection of `side` to take more.
    fn limit(&self, side: Side) -> usize {
        match side {
            Side::Callers => self.capacity.bytes - self.capacity.bytes / PEERS_PART,
            Side::Peers => self.capacity.bytes,
        }
    }

    /// Whether `bytes` more for a connection of `side` are within those kept for peers.
    fn is_reserved(&self, side: Side, bytes: usize) -> bool {
        let connections = self.connections.iter().flatten();
        let peers = connections.filter(|connection| connection.side == Side::Peers);
        let held = peers.map(|peer| peer.held.saturating_sub(CONNECTION_BYTES));
        side == Side::Peers && held.sum::<usize>() + bytes <= self.capacity.bytes / PEERS_PART
    }

    /// Closes connections without progress until `bytes` more fit into `limit`. Closes none if that
    /// does not suffice: the caller of a failed hold learns of no eviction.
    fn make_room(&mut self, bytes: usize, limit: usize) -> Result<Vec<Eviction>, Full> {
        let mut excess = (self.held + bytes).saturating_sub(limit);
        if excess == 0 {
            return Ok(Vec::new());
        }
        let mut stalled: Vec<(Instant, usize, usize)> = Vec::new();
        for (id, connection) in self.connections.iter().enumerate() {
            let open = connection.as_ref().filter(|open| open.closing.is_none());
            if let Some(open) = open
                && let Some(since) = open.stalled_since()
                && self.now.saturating_duration_since(since) >= STALL_TIME
            {
                stalled.push((since, id, open.held));
            }
        }
        stalled.sort_unstable();
        let mut chosen = 0;
        while excess > 0 {
            let &(_, _, held) = stalled.get(chosen).ok_or(Full)?;
            excess = excess.saturating_sub(held);
            chosen += 1;
        }
        let chosen = stalled[..chosen].iter();
        Ok(chosen
            .map(|&(_, id, _)| self.begin_closing(id, Cause::MemoryNeeded))
            .collect())
    }

    /// Closes the longest idle connection, or else the one whose head takes the longest.
    fn displace(&mut self, eligible: impl Fn(&Connection) -> bool) -> Option<Eviction> {
        let oldest = |account: &Self, phase: Phase| {
            account.longest(|connection| {
                // The end of an answer may still be on its way.
                let suits = connection.phase == phase && !connection.blocked;
                let suits = suits && eligible(connection);
                suits.then_some(connection.since)
            })
        };
        let id = oldest(self, Phase::Idle).or_else(|| oldest(self, Phase::Head))?;
        Some(self.begin_closing(id, Cause::Displaced))
    }

    /// The connection with the earliest time, of those that have one and aren't being closed.
    fn longest(&self, time: impl Fn(&Connection) -> Option<Instant>) -> Option<usize> {
        let connections = self.connections.iter().enumerate();
        let times = connections.filter_map(|(id, connection)| {
            let connection = connection
                .as_ref()
                .filter(|connection| connection.closing.is_none())?;
            Some((time(connection)?, id))
        });
        times.min().map(|(_, id)| id)
    }

    /// Counts the room of a connection as free. It is closed within the same turn of the loop.
    fn begin_closing(&mut self, id: usize, cause: Cause) -> Eviction {
        if let Some(connection) = &mut self.connections[id] {
            connection.closing = Some(cause);
            connection.since = self.now;
            self.held -= std::mem::take(&mut connection.held);
        }
        Eviction { id: Id(id), cause }
    }
}

impl Connection {
    /// Since when it makes no progress, if that is the client's doing.
    fn stalled_since(&self) -> Option<Instant> {
        let is_clients = self.blocked || matches!(self.phase, Phase::Head | Phase::Body);
        is_clients.then_some(self.progressed)
    }

    fn overdue(&self, now: Instant) -> Option<Cause> {
        let exceeds =
            |since: Instant, limit: Duration| now.saturating_duration_since(since) > limit;
        match self.phase {
            Phase::Idle if !self.blocked => {
                exceeds(self.since, self.timeouts.idle).then_some(Cause::Idle)
            }
            Phase::Head => exceeds(self.since, self.timeouts.head).then_some(Cause::HeadTimeout),
            Phase::Body => {
                exceeds(self.progressed, self.timeouts.body).then_some(Cause::BodyStalled)
            }
            Phase::Idle | Phase::Busy => {
                let unread = self.blocked && exceeds(self.progressed, UNREAD_TIMEOUT);
                unread.then_some(Cause::Unread)
            }
        }
    }
}

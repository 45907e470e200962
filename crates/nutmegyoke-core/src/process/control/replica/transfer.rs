//! Large messages of the leader, such as documents and snapshots.
//!
//! Few of them are in flight at a time, those to voters first, with heartbeats beside them:
//! otherwise the leader's link is busy for longer than its lease, the more so the more replicas
//! there are. The host sends them on connections of their own.

use std::time::{Duration, Instant};

use super::{Progress, Replica, Role, State};

/// The size of a message, in bytes, from which on it is a transfer.
pub const TRANSFER_BYTES: usize = 64 * 1024;

/// The maximum number of transfers in flight to voters, and to others. Those to voters don't
/// wait for slow observers.
const MAX_TRANSFERS: usize = 5;

/// The same without those that are slow, which take little of the leader's link unless all are.
const MAX_FAST_TRANSFERS: usize = 3;

/// The rate below which a transfer is slow, in bytes a second.
const FAST_RATE: u64 = 2_000_000;

/// The rate below which a transfer is considered lost, in bytes a second.
const MIN_RATE: u64 = 200_000;

/// How long a transfer may take besides, in election timeouts: the host sends it again, on a new
/// connection, if the first is silent.
const RESEND_ELECTION_TIMEOUTS: u32 = 4;

/// A large message to a replica, which is sent only heartbeats until it has acknowledged it.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    /// The last index in the message.
    pub last: u64,
    /// When it is slow.
    slow_at: Instant,
    /// When it is considered lost and sent again.
    pub resend_at: Instant,
}

impl<S: State> Replica<S> {
    /// A transfer of `bytes`, up to the entry `last`, that is sent now.
    pub(super) fn open_transfer(&self, now: Instant, last: u64, bytes: usize) -> Transfer {
        let election_timeout = self.setup.election_timeout;
        let time = |rate| Duration::from_millis(bytes as u64 * 1000 / rate);
        Transfer {
            last,
            slow_at: now + election_timeout / 4 + time(FAST_RATE),
            resend_at: now + election_timeout * RESEND_ELECTION_TIMEOUTS + time(MIN_RATE),
        }
    }

    /// Whether a transfer to `peer` may begin: the replica answers, and few others are in flight.
    pub(super) fn may_transfer(&self, now: Instant, peer: &Progress) -> bool {
        let Role::Leader { progress, .. } = &self.role else {
            return false;
        };
        let election_timeout = self.setup.election_timeout;
        let others = progress
            .values()
            .filter(|other| other.voter == peer.voter && !other.is_silent(now, election_timeout));
        let in_flight: Vec<Transfer> = others.filter_map(|other| other.transfer).collect();
        let fast = in_flight.iter().filter(|sent| now < sent.slow_at);
        peer.answered && in_flight.len() < MAX_TRANSFERS && fast.count() < MAX_FAST_TRANSFERS
    }
}

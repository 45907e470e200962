//! Flap damping: delays listing a process that is lost repeatedly.
//!
//! The first losses cause no delay, so a restarted process is listed again at once.
//! Each further loss within [`LOSS_RETENTION`] of the previous one doubles the delay,
//! up to [`MAX_DELAY`]. Otherwise a process that keeps crashing would cause an update
//! of every entry's directory once a second.

use std::time::{Duration, Instant};

/// The number of losses that cause no delay.
const UNDELAYED_LOSSES: u32 = 2;

/// The delay after the first loss beyond [`UNDELAYED_LOSSES`].
const BASE_DELAY: Duration = Duration::from_secs(2);

/// The maximum delay.
pub const MAX_DELAY: Duration = Duration::from_secs(32);

/// The time without a loss after which earlier losses are forgotten.
pub const LOSS_RETENTION: Duration = Duration::from_mins(10);

/// The loss history of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Damping {
    losses: u32,
    last_loss: Option<Instant>,
}

impl Damping {
    /// Records a loss at `now`.
    pub fn record_loss(&mut self, now: Instant) {
        let forgotten = self
            .last_loss
            .is_none_or(|last_loss| now >= last_loss + LOSS_RETENTION);
        self.losses = if forgotten { 1 } else { self.losses + 1 };
        self.last_loss = Some(now);
    }

    /// Whether the process must not be listed yet.
    #[must_use]
    pub fn is_suppressed(&self, now: Instant) -> bool {
        self.last_loss
            .is_some_and(|last_loss| now < last_loss + self.delay())
    }

    fn delay(&self) -> Duration {
        let Some(doublings) = self.losses.checked_sub(UNDELAYED_LOSSES + 1) else {
            return Duration::ZERO;
        };
        let factor = 2_u32.saturating_pow(doublings);
        BASE_DELAY.saturating_mul(factor).min(MAX_DELAY)
    }
}

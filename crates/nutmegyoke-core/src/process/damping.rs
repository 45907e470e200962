//! Holds back a process that comes and goes.
//!
//! The first losses cost nothing: a restart is listed again at once. Each
//! further loss within [`MEMORY`] doubles the pause before the next listing, up
//! to [`LONGEST`], so that a process that keeps crashing does not make every
//! entry learn of it once a second.

use std::time::{Duration, Instant};

/// Losses after which a process is listed again at once.
const FREE: u32 = 2;

/// The pause after the first loss beyond [`FREE`].
const PAUSE: Duration = Duration::from_secs(2);

/// The longest pause.
pub const MAX_DELAY: Duration = Duration::from_secs(32);

/// How long without a loss until the earlier ones are forgotten.
pub const LOSS_RETENTION: Duration = Duration::from_mins(10);

/// The losses of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Damping {
    losses: u32,
    last: Option<Instant>,
}

impl Damping {
    /// Counts a loss.
    pub fn record_loss(&mut self, now: Instant) {
        let forgotten = self.last.is_none_or(|last| now >= last + LOSS_RETENTION);
        self.losses = if forgotten { 1 } else { self.losses + 1 };
        self.last = Some(now);
    }

    /// Whether the process is not to be listed yet.
    #[must_use]
    pub fn is_suppressed(&self, now: Instant) -> bool {
        self.last.is_some_and(|last| now < last + self.pause())
    }

    fn pause(&self) -> Duration {
        let Some(beyond) = self.losses.checked_sub(FREE + 1) else {
            return Duration::ZERO;
        };
        let factor = 2_u32.saturating_pow(beyond);
        PAUSE.saturating_mul(factor).min(MAX_DELAY)
    }
}

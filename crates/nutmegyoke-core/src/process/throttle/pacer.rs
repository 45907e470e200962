//! Admits requests to endpoints at the rates that these take.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The lowest rate at which requests are admitted, in requests a second. An endpoint that
/// takes none could not say that it takes some again.
const MIN_RATE: f64 = 0.1;

/// The highest rate that is enforced, in requests a second; no gateway reaches it.
const MAX_RATE: f64 = 1_000_000.0;

/// The most requests that are admitted at once after a pause, or those of [`BURST_TIME`] if
/// that is more. A burst of one would make many requests wait that the rate allows.
const MIN_BURST: f64 = 3.0;

/// The longest time whose requests are admitted at once after a pause.
const BURST_TIME: Duration = Duration::from_secs(1);

/// How long an endpoint without requests is remembered.
const RETENTION: Duration = Duration::from_mins(1);

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// It may be sent after a wait, which is counted already.
    Granted { wait: Duration },
    /// It may not be sent. A request would be admitted after `retry_after` if there were no
    /// others until then.
    Denied { retry_after: Duration },
}

/// The admissions to each endpoint, by its id: a token bucket each, kept as the time at which
/// it will be full again.
#[derive(Debug, Default)]
pub struct Pacer {
    full_at: HashMap<String, Instant>,
}

impl Pacer {
    /// Admits a request to an endpoint that takes `rate` requests a second, if its turn comes
    /// within `max_wait`.
    ///
    /// The bucket of an endpoint that is not known begins empty, because another gateway may
    /// have admitted requests until now.
    pub fn admit(&mut self, now: Instant, endpoint: &str, rate: f64, max_wait: Duration) -> Permit {
        // Another gateway's rate may be anything.
        let rate = if rate.is_nan() { MIN_RATE } else { rate };
        let rate = rate.clamp(MIN_RATE, MAX_RATE);
        let interval = Duration::from_secs_f64(1.0 / rate);
        let burst = MIN_BURST.max(rate * BURST_TIME.as_secs_f64());
        let capacity = Duration::from_secs_f64((burst - 1.0) / rate);
        let full_at = self.full_at.get(endpoint).copied();
        let full_at = full_at.map_or(now + capacity, |at| at.max(now));
        let turn = full_at.checked_sub(capacity).unwrap_or(now).max(now);
        let wait = turn.saturating_duration_since(now);
        if wait > max_wait {
            return Permit::Denied { retry_after: wait };
        }
        self.full_at.insert(endpoint.to_owned(), full_at + interval);
        Permit::Granted { wait }
    }

    /// Forgets the endpoints that had no requests for long.
    pub fn expire(&mut self, now: Instant) {
        self.full_at.retain(|_, &mut at| now < at + RETENTION);
    }
}

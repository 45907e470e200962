//! Follows what an endpoint says in its answers of itself: its limit, its departure, and for how
//! long it wants no requests from this gateway.
//!
//! A departure is recorded like that of an endpoint whose heartbeat says it, so that all gateways
//! and the placement learn it in the same way. A pause concerns this gateway only.

use std::time::{Duration, Instant};

use super::call::Call;
use super::{Command, Gateway, Sink};
use crate::process::registry::Row;
use crate::process::signal::{Departure, Pause, Signal};

/// The longest pause of an endpoint. A longer one is likely to be a mistake, and would take the
/// endpoint out of use for good.
const MAX_PAUSE: Duration = Duration::from_hours(1);

impl Gateway {
    /// Records what the endpoint of a request says of itself. Returns whether that changes which
    /// endpoints take requests.
    pub(super) fn record_signal<S>(
        &mut self,
        now: Instant,
        number: u64,
        started_ms: u64,
        signal: &Signal,
        out: &mut S,
    ) -> bool
    where
        S: Sink<Command = Command>,
    {
        let mut changed = false;
        let id = self.calls.get(&number).and_then(Call::endpoint);
        let row = id.and_then(|id| self.registry.row(id));
        // The endpoint may have started again since, and not mean it any more.
        let Some(row) = row.filter(|row| row.stamp.started_ms == started_ms) else {
            return false;
        };
        let id = row.announcement.id.clone();
        self.record_limit(now, &id, started_ms, signal.limit, out);
        if signal.departure == Departure::Leaving {
            changed = self.registry.record_departure(now, &id, started_ms);
            if changed {
                let endpoint = id.clone();
                out.push(Command::ReportDeparture { endpoint });
            }
            self.wake_on_change(now, changed);
        }
        let mut malformed =
            signal.departure == Departure::Malformed || signal.pause == Pause::Malformed;
        let tracker = self.trackers.entry(id.clone()).or_default();
        tracker.reset_if_restarted(started_ms);
        if let Pause::For(pause) = signal.pause
            && !pause.is_zero()
        {
            malformed |= pause > MAX_PAUSE;
            let pause = pause.min(MAX_PAUSE);
            if tracker.pause(now + pause) {
                let endpoint = id.clone();
                out.push(Command::ReportPause { endpoint, pause });
                // Requests that wait for this endpoint alone are refused.
                self.queue.wake();
                changed = true;
            }
        }
        if malformed && !std::mem::replace(&mut tracker.malformed_reported, true) {
            out.push(Command::ReportMalformedSignal { endpoint: id });
        }
        changed
    }

    /// Whether an endpoint takes requests of this gateway.
    pub(super) fn takes_requests(&self, now: Instant, row: &Row) -> bool {
        let tracker = self.trackers.get(&row.announcement.id);
        let paused = tracker.and_then(|tracker| tracker.paused_until(row.stamp.started_ms));
        row.accepts_requests() && paused.is_none_or(|until| until <= now)
    }
}

//! What the requests of a gateway show of one endpoint.

use std::time::{Duration, Instant};

use super::{Estimate, Failures, Speed};

/// The observations of one endpoint since its start.
#[derive(Debug, Default)]
pub struct Observed {
    /// The speed learned from its responses.
    pub speed: Speed,
    /// The outcomes of its requests.
    pub failures: Failures,
    /// The requests that wait for their first event, in the order in which they were sent.
    waiting: Vec<Waiting>,
}

/// A request that was sent and waits for its first event.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    call: u64,
    sent: Instant,
    priority: u8,
    /// Its own work.
    work: f64,
    /// What is expected of it, if its wait shows the speed of the endpoint.
    expected: Option<Estimate>,
    /// Whether a request that was sent later and is not served before it has been answered, so that
    /// its wait shows nothing of the others'.
    overtaken: bool,
}

impl Observed {
    /// Records that the request `call` was sent, with `work` units of its own.
    pub fn record_sent(
        &mut self,
        now: Instant,
        call: u64,
        priority: u8,
        work: f64,
        expected: Option<Estimate>,
    ) {
        self.waiting.push(Waiting {
            call,
            sent: now,
            priority,
            work,
            expected,
            overtaken: false,
        });
    }

    /// Ends the wait of a request. Returns how long it took and what was expected; `None` if it
    /// did not wait, or its wait does not show the speed.
    pub fn end_wait(&mut self, now: Instant, call: u64) -> Option<(Duration, Estimate)> {
        let index = self.waiting.iter().position(|row| row.call == call)?;
        let row = self.waiting.remove(index);
        for earlier in &mut self.waiting[..index] {
            earlier.overtaken |= earlier.priority <= row.priority;
        }
        let expected = row.expected?;
        Some((now.saturating_duration_since(row.sent), expected))
    }

    /// The work of the waiting requests that are served before a new one of this priority.
    #[must_use]
    pub fn ahead(&self, priority: u8) -> f64 {
        let ahead = self.waiting.iter().filter(|row| row.priority <= priority);
        ahead.map(|row| row.work).sum()
    }

    /// By how much the first event of a waiting request that is served before a new one of this
    /// priority is late, in milliseconds. It shows that an endpoint has become slow before any
    /// response does.
    #[must_use]
    pub fn overdue_ms(&self, now: Instant, priority: u8) -> f64 {
        let ahead = self.waiting.iter();
        let ahead = ahead.filter(|row| row.priority <= priority && !row.overtaken);
        let late = ahead.filter_map(|row| {
            let waited = now.saturating_duration_since(row.sent);
            Some(waited.as_secs_f64() * 1e3 - row.expected?.expected_ms)
        });
        late.fold(0.0, f64::max)
    }
}

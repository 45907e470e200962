//! What the requests of a gateway show of all endpoints of a service together.

use std::time::{Duration, Instant};

use super::{Failures, Speed};

/// The time over which the rate of requests is averaged: longer than the reports of other gateways
/// are old.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(6);

/// The factor by which each request lowers the weight of earlier ones in the averages of requests:
/// the last few hundred count.
const REQUEST_DECAY: f64 = 0.995;

/// The expected duration of a request before any has ended.
const PRIOR_RESIDENCE_MS: f64 = 1000.0;

/// How long a [`Summary`] is used, and how much longer for each endpoint. It changes little in this
/// time, because reports come every 2 s. Computing it reads the state of each endpoint, which takes
/// 0.1 us, so that it takes less than 1 in 5,000 of the time.
const SUMMARY_TTL: Duration = Duration::from_millis(500);
const SUMMARY_TTL_PER_ENDPOINT: Duration = Duration::from_micros(500);

/// The means over the endpoints of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Summary {
    /// The endpoints that accept requests.
    pub endpoints: usize,
    /// The mean of the loads that other gateways reported: work ahead, and requests in flight.
    pub ahead: f64,
    pub in_flight: f64,
    /// The mean age of the reports, in milliseconds.
    pub age_ms: f64,
    /// The number of other gateways.
    pub others: usize,
}

/// The observations of all endpoints of a service.
#[derive(Debug, Default)]
pub struct Pooled {
    /// The speed learned from all responses.
    pub speed: Speed,
    /// The outcomes of all requests.
    pub failures: Failures,
    summary: Option<(Instant, Summary)>,
    /// When a request was last sent, and the decayed work and number of requests.
    sent_at: Option<Instant>,
    sent: (f64, f64),
    /// The decayed work by priority.
    mix: Vec<(u8, f64)>,
    /// The decayed sum of durations and number of requests that ended.
    residence: (f64, f64),
}

impl Pooled {
    /// Records a request that was sent, with its work.
    pub fn record_sent(&mut self, now: Instant, priority: u8, work: f64) {
        let factor = self.decay(now);
        self.sent = (self.sent.0 * factor + work, self.sent.1 * factor + 1.0);
        self.sent_at = Some(now);
        for (_, sum) in &mut self.mix {
            *sum *= REQUEST_DECAY;
        }
        match self.mix.iter_mut().find(|(other, _)| *other == priority) {
            Some((_, sum)) => *sum += work,
            None => self.mix.push((priority, work)),
        }
    }

    /// Records a request that ended after `took`.
    pub fn record_end(&mut self, took: Duration) {
        let (time, count) = self.residence;
        let took = took.as_secs_f64() * 1e3;
        self.residence = (time * REQUEST_DECAY + took, count * REQUEST_DECAY + 1.0);
    }

    /// The mean time that a request is at an endpoint, in milliseconds.
    #[must_use]
    pub fn residence_ms(&self) -> f64 {
        (self.residence.0 + PRIOR_RESIDENCE_MS) / (self.residence.1 + 1.0)
    }

    /// The work of requests that this gateway sent lately, in units in a millisecond.
    #[must_use]
    pub fn rate(&self, now: Instant) -> f64 {
        self.sent.0 * self.decay(now) / (RATE_TIME_CONSTANT.as_secs_f64() * 1e3)
    }

    /// The mean work of a request.
    #[must_use]
    pub fn size(&self) -> f64 {
        if self.sent.1 > 0.0 {
            self.sent.0 / self.sent.1
        } else {
            0.0
        }
    }

    /// The share of all work that is served before a new request of this priority. Other gateways
    /// do not report priorities, and are taken to have the same mix as this one.
    #[must_use]
    pub fn share_before(&self, priority: u8) -> f64 {
        let total: f64 = self.mix.iter().map(|row| row.1).sum();
        let before = self.mix.iter().filter(|row| row.0 <= priority);
        let before: f64 = before.map(|row| row.1).sum();
        if total > 0.0 { before / total } else { 1.0 }
    }

    /// Whether a new summary is due.
    #[must_use]
    pub fn needs_summary(&self, now: Instant) -> bool {
        self.summary.is_none_or(|(at, summary)| {
            let endpoints = u32::try_from(summary.endpoints).unwrap_or(u32::MAX);
            now >= at + SUMMARY_TTL + SUMMARY_TTL_PER_ENDPOINT * endpoints
        })
    }

    /// Replaces the summary.
    pub fn set_summary(&mut self, now: Instant, summary: Summary) {
        self.summary = Some((now, summary));
    }

    /// The latest summary.
    #[must_use]
    pub fn summary(&self) -> Summary {
        self.summary
            .map_or_else(Summary::default, |(_, summary)| summary)
    }

    fn decay(&self, now: Instant) -> f64 {
        let age = self.sent_at.map(|at| now.saturating_duration_since(at));
        age.map_or(0.0, |age| (-age.div_duration_f64(RATE_TIME_CONSTANT)).exp())
    }
}

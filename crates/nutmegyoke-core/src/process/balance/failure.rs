//! The failure rate of an endpoint, its ejection and its gradual return.

use std::time::{Duration, Instant};

/// How long outcomes count. A gateway sees an endpoint a few times in this time. With 8 s, endpoints
/// that had recovered got 1% of the requests 20 s later.
const TIME_CONSTANT: Duration = Duration::from_secs(5);

/// The weight of the service's failure rate as a prior, in requests.
const PRIOR_REQUESTS: f64 = 4.0;

/// The failure rate of a service that is not known yet.
const PRIOR_RATE: f64 = 0.01;

/// An endpoint is ejected if it fails so many times the share of its requests that its service fails,
/// and this share more. If all endpoints fail, some fail more by chance.
const SERVICE_FACTOR: f64 = 1.5;
const EXCESS_TO_EJECT: f64 = 0.12;

/// The least decayed number of failures for an ejection, so that it never depends on a single one.
const MIN_FAILURES: f64 = 1.8;

/// How long an endpoint is first ejected; each further ejection soon after doubles the time.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(1);

/// The most doublings of the ejection time, which then is 8 s.
const MAX_DOUBLINGS: u32 = 3;

/// The time after an ejection in which the share of requests that the endpoint may get rises from
/// [`FIRST_SHARE`] to all.
const RETURN_TIME: Duration = Duration::from_secs(4);

/// The share of its requests that an endpoint may get right after an ejection.
const FIRST_SHARE: f64 = 0.1;

/// At most one of so many endpoints of a service is ejected at once, because the others take over
/// its requests: half as many again at most.
const MAX_EJECTED_DIVISOR: usize = 3;

/// An ejection, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Ejection {
    /// The endpoint that gets no requests.
    pub endpoint: String,
    /// The expected share of its requests that fail.
    pub failing: f64,
    /// How long it gets none.
    pub time: Duration,
}

/// The outcomes of the requests at an endpoint or a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Failures {
    updated: Option<Instant>,
    /// The decayed numbers of failures and of all outcomes.
    failed: f64,
    total: f64,
    /// The end of the latest ejection.
    ejected_until: Option<Instant>,
    /// The ejections without a full return in between.
    ejections: u32,
}

impl Failures {
    /// Records the outcome of a request.
    pub fn record(&mut self, now: Instant, failed: bool) {
        let factor = self.decay(now);
        self.failed = self.failed * factor + f64::from(u8::from(failed));
        self.total = self.total * factor + 1.0;
        self.updated = Some(now);
    }

    /// The expected share of requests that fail, given the service's.
    #[must_use]
    pub fn rate(&self, now: Instant, prior: f64) -> f64 {
        let factor = self.decay(now);
        (self.failed * factor + prior * PRIOR_REQUESTS) / (self.total * factor + PRIOR_REQUESTS)
    }

    /// The failure rate of a service, from the outcomes at all its endpoints.
    #[must_use]
    pub fn service_rate(&self, now: Instant) -> f64 {
        self.rate(now, PRIOR_RATE)
    }

    /// Ejects an endpoint whose failure rate is far above its service's, unless too many of the
    /// service's `endpoints` are ejected already. Returns for how long.
    pub fn eject(
        &mut self,
        now: Instant,
        service_rate: f64,
        ejected: usize,
        endpoints: usize,
    ) -> Option<Duration> {
        let failures = self.failed * self.decay(now);
        let excess = self.rate(now, service_rate) - service_rate * SERVICE_FACTOR;
        // A single failure while the endpoint returns shows that it has not recovered.
        let returning = self.share(now) < 1.0;
        let fails = (failures >= MIN_FAILURES && excess >= EXCESS_TO_EJECT)
            || (returning && excess >= EXCESS_TO_EJECT / 2.0);
        if !fails || self.is_ejected(now) || (ejected + 1) * MAX_EJECTED_DIVISOR > endpoints {
            return None;
        }
        self.ejections = if returning { self.ejections + 1 } else { 1 };
        let doublings = (self.ejections - 1).min(MAX_DOUBLINGS);
        let time = BASE_EJECTION_TIME * 2_u32.pow(doublings);
        self.ejected_until = Some(now + time);
        // It returns by degrees, so what it does then counts, not what it did before.
        (self.failed, self.total) = (0.0, 0.0);
        Some(time)
    }

    /// Whether the endpoint gets no requests.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// The share of its requests that the endpoint may get: it rises after an ejection.
    #[must_use]
    pub fn share(&self, now: Instant) -> f64 {
        let Some(until) = self.ejected_until else {
            return 1.0;
        };
        if now < until {
            return 0.0;
        }
        let progress = (now - until).div_duration_f64(RETURN_TIME);
        (FIRST_SHARE + (1.0 - FIRST_SHARE) * progress).min(1.0)
    }

    fn decay(&self, now: Instant) -> f64 {
        let age = self.updated.map(|at| now.saturating_duration_since(at));
        age.map_or(0.0, |age| (-age.div_duration_f64(TIME_CONSTANT)).exp())
    }
}

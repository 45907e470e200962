//! The state of an endpoint as this gateway's own requests show it: its load, whether it is
//! ejected, and the adapters and prefixes that it holds.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::crash::Outage;
use super::demand::Backlog;
use super::prompt::Cache;
use crate::process::balance::Observed;
use crate::request::{Reason, Verdict};

/// How long an endpoint is first ejected; each further failure doubles the time.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(500);

/// The most doublings of the ejection time, which then is 8 s.
const MAX_EJECTION_DOUBLINGS: u32 = 4;

/// The number of consecutive failures after which an endpoint that can be reached is
/// ejected.
const FAILURES_TO_EJECT: u32 = 3;

/// An endpoint that has requests and sends nothing for this long is ejected. An engine
/// sends several events a second on each stream, even while it prefills other prompts.
const MAX_SILENCE: Duration = Duration::from_millis(700);

/// The greatest age of a heartbeat that comes by gossip: a heartbeat period and some delay,
/// because each message holds the endpoint's latest heartbeat. For this long after a
/// steward's answer, the adapters in heartbeats are ignored, because they may be older.
const GOSSIP_MAX_AGE: Duration = Duration::from_millis(1500);

/// How often the steward is notified that an adapter is in use, so that it does not evict
/// the adapter as idle.
const TOUCH_PERIOD: Duration = Duration::from_secs(1);

/// How long an engine counts as out of adapter slots after its steward declined an adapter:
/// half the time after which an idle adapter may be evicted.
const DECLINE_TTL: Duration = Duration::from_millis(500);

/// What the requests of this gateway show of an endpoint.
#[derive(Debug, Default)]
pub struct Tracker {
    /// The start of the endpoint that the state belongs to, in milliseconds since the Unix
    /// epoch.
    pub started_ms: u64,
    /// Requests in flight, including those whose adapter is being loaded.
    pub in_flight: u32,
    /// The tokens of their prompts and longest answers.
    pub held: u64,
    /// The requests in flight that were sent to the endpoint.
    sent: u32,
    /// Prompt tokens that were sent and are not prefilled yet.
    pub ahead: u64,
    /// The prompt prefixes that the endpoint is expected to cache.
    pub cache: Cache,
    /// The loaded adapters by model and name. The time is when the steward was last notified
    /// of the use, or when the adapter was first listed.
    adapters: BTreeMap<(String, String), Instant>,
    /// When the steward last answered.
    steward_answered: Option<Instant>,
    /// When the steward last declined an adapter or did not answer.
    declined_at: Option<Instant>,
    /// Until when the endpoint admits no requests, because of its limit.
    pub denied_until: Option<Instant>,
    /// The end of the latest pause that the endpoint asked for.
    paused_until: Option<Instant>,
    /// Whether it was reported that a statement of the endpoint could not be read.
    pub malformed_reported: bool,
    /// Failures since the last success. An unreachable or silent endpoint counts as
    /// [`FAILURES_TO_EJECT`] failures.
    consecutive_failures: u32,
    /// When the ejection ends.
    ejected_until: Option<Instant>,
    /// The latest crash of the endpoint that is known.
    pub outage: Option<Outage>,
    /// When the endpoint last sent something, or was sent the first of its requests; `None`
    /// without requests.
    silent_since: Option<Instant>,
    /// What the choice of endpoints by expected time learned of the endpoint.
    pub observed: Observed,
    /// The requests of all gateways at the engine, and when its steward told them.
    reported: Option<(Instant, Backlog)>,
}

impl Tracker {
    /// Resets the state if it belongs to an earlier start of the endpoint. The requests in
    /// flight still end one by one.
    pub fn reset_if_restarted(&mut self, started_ms: u64) {
        if self.started_ms != started_ms {
            self.started_ms = started_ms;
            self.cache.clear();
            self.adapters.clear();
            self.steward_answered = None;
            self.declined_at = None;
            self.denied_until = None;
            self.paused_until = None;
            self.malformed_reported = false;
            self.consecutive_failures = 0;
            self.ejected_until = None;
            self.silent_since = None;
            self.observed = Observed::default();
            self.reported = None;
        }
    }

    /// Records the requests of all gateways at the engine, as its steward told them.
    pub fn record_load(&mut self, now: Instant, load: Backlog) {
        self.reported = Some((now, load));
    }

    /// The requests of all gateways at the engine, if its steward told them within `ttl`.
    #[must_use]
    pub fn reported_load(&self, now: Instant, ttl: Duration) -> Option<Backlog> {
        let reported = self.reported.filter(|(at, _)| now < *at + ttl);
        reported.map(|(_, load)| load)
    }

    /// Records that the endpoint wants no requests before `until`. Returns whether that is later
    /// than known before.
    pub fn pause(&mut self, until: Instant) -> bool {
        let is_later = self.paused_until.is_none_or(|known| known < until);
        if is_later {
            self.paused_until = Some(until);
        }
        is_later
    }

    /// The end of the latest pause, if the endpoint asked for one since this start.
    #[must_use]
    pub fn paused_until(&self, started_ms: u64) -> Option<Instant> {
        self.paused_until.filter(|_| self.started_ms == started_ms)
    }

    /// Whether the endpoint is ejected: it failed repeatedly or is unresponsive.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.is_silent(now) || self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether the endpoint has been sent requests and has not responded for too long.
    fn is_silent(&self, now: Instant) -> bool {
        self.silent_since
            .is_some_and(|since| since + MAX_SILENCE <= now)
    }

    /// Records that the endpoint was chosen for a request with this many tokens.
    pub fn hold(&mut self, tokens: u64) {
        self.in_flight += 1;
        self.held = self.held.saturating_add(tokens);
    }

    /// Records that a request was sent to the endpoint.
    pub fn record_sent(&mut self, now: Instant) {
        self.sent += 1;
        self.silent_since.get_or_insert(now);
    }

    /// Records that the endpoint sent a part of an answer.
    pub fn record_activity(&mut self, now: Instant) {
        self.silent_since = (self.sent > 0).then_some(now);
    }

    /// Records the end of a request with this many tokens that was sent to the endpoint. If the
    /// endpoint was silent, this counts as a failure, so it stays ejected when it has no request
    /// any more.
    pub fn record_end(&mut self, now: Instant, tokens: u64) {
        self.release(tokens);
        self.sent = self.sent.saturating_sub(1);
        if self.is_silent(now) {
            self.record_failure(now, FAILURES_TO_EJECT);
        }
        if self.sent == 0 {
            self.silent_since = None;
        }
    }

    /// Records the end of a request with this many tokens that was not sent to the endpoint.
    pub fn release(&mut self, tokens: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.held = self.held.saturating_sub(tokens);
    }

    /// Records the outcome of an attempt. Failures of an endpoint that can be reached count unless
    /// endpoints are ejected `by_rate`.
    pub fn record_outcome(&mut self, now: Instant, verdict: Verdict, by_rate: bool) {
        let weight = match verdict.reason() {
            None => {
                self.consecutive_failures = 0;
                self.ejected_until = None;
                return self.record_activity(now);
            }
            // There is no other sign of an unreachable endpoint, so it is ejected at once.
            Some(Reason::Unreachable) => FAILURES_TO_EJECT,
            Some(Reason::LinkLost | Reason::EndpointFailed | Reason::Truncated) if !by_rate => 1,
            Some(_) => return,
        };
        self.record_failure(now, weight);
    }

    /// Counts a failure as `weight` failures, and ejects the endpoint if they are too many.
    fn record_failure(&mut self, now: Instant, weight: u32) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(weight);
        if let Some(excess) = self.consecutive_failures.checked_sub(FAILURES_TO_EJECT) {
            self.ejected_until =
                Some(now + BASE_EJECTION_TIME * 2_u32.pow(excess.min(MAX_EJECTION_DOUBLINGS)));
        }
    }

    /// Records that the steward declined to load an adapter or did not answer.
    pub fn record_declined(&mut self, now: Instant) {
        self.declined_at = Some(now);
    }

    /// Whether the steward has declined an adapter within the last [`DECLINE_TTL`].
    #[must_use]
    pub fn declines_adapters(&self, now: Instant) -> bool {
        self.declined_at.is_some_and(|at| now < at + DECLINE_TTL)
    }

    /// Whether the endpoint is known to hold an adapter.
    #[must_use]
    pub fn holds_adapter(&self, model: &str, adapter: &str) -> bool {
        let key = (model.to_owned(), adapter.to_owned());
        self.adapters.contains_key(&key)
    }

    /// Whether to notify the steward that an adapter is in use, once each [`TOUCH_PERIOD`]. If
    /// so, `now` is recorded as the time of the notification.
    pub fn touch_adapter(&mut self, now: Instant, model: &str, adapter: &str) -> bool {
        let key = (model.to_owned(), adapter.to_owned());
        match self.adapters.get_mut(&key) {
            Some(last_touched) if *last_touched + TOUCH_PERIOD <= now => {
                *last_touched = now;
                true
            }
            _ => false,
        }
    }

    /// Updates the adapters from a heartbeat, unless the steward's latest answer may be
    /// newer.
    pub fn update_from_heartbeat(&mut self, now: Instant, adapters: &[String]) {
        if self
            .steward_answered
            .is_none_or(|answered| answered + GOSSIP_MAX_AGE <= now)
        {
            self.set_adapters(now, adapters);
        }
    }

    /// Updates the adapters from an answer of the steward.
    pub fn update_from_steward(&mut self, now: Instant, adapters: &[String]) {
        self.steward_answered = Some(now);
        self.set_adapters(now, adapters);
    }

    /// Replaces the list of adapters, each named MODEL/NAME.
    fn set_adapters(&mut self, now: Instant, adapters: &[String]) {
        let names = adapters.iter().filter_map(|name| name.split_once('/'));
        let mut held = BTreeMap::new();
        for (model, adapter) in names {
            let key = (model.to_owned(), adapter.to_owned());
            let last_touched = self.adapters.get(&key).copied().unwrap_or(now);
            held.insert(key, last_touched);
        }
        self.adapters = held;
    }

    /// Removes an adapter that the endpoint turned out not to hold.
    pub fn remove_adapter(&mut self, model: &str, adapter: &str) {
        let key = (model.to_owned(), adapter.to_owned());
        self.adapters.remove(&key);
    }
}

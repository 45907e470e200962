//! What a gateway knows of an endpoint from its own requests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::prompt::Cache;
use crate::request::{Reason, Verdict};

/// How long an endpoint is passed over after a first failure; doubles with each more.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(500);

/// The most doublings of the pause.
const MAX_EJECTION_DOUBLINGS: u32 = 4;

/// Failures in a row of an endpoint that can be reached, after which it is passed over.
const FAILURES_TO_EJECT: u32 = 3;

/// How long an endpoint that has requests may give no sign of life. An engine makes an
/// event of each stream several times a second, whatever it reads beside it.
const MAX_SILENCE: Duration = Duration::from_millis(700);

/// How old a heartbeat may be that comes through another gateway.
const GOSSIP_MAX_AGE: Duration = Duration::from_millis(1500);

/// How long an adapter may be used before its steward is told again, so that it
/// isn't taken for idle.
const TOUCH_PERIOD: Duration = Duration::from_secs(1);

/// How long an engine counts as full of adapters after its steward said so: half of
/// the time after which an adapter that isn't used makes way.
const DECLINE_TTL: Duration = Duration::from_millis(500);

/// An endpoint as the gateway's own requests found it.
#[derive(Debug, Default)]
pub struct Tracker {
    /// The start of the endpoint that the rest is about.
    pub born: u64,
    /// Requests that it is working on, or that its steward prepares it for.
    pub in_flight: u32,
    /// Those of them that it was sent.
    sent: u32,
    /// Prompt tokens that it still has to read before it can begin the answers.
    pub ahead: u64,
    /// Prompt parts that it read lately.
    pub cache: Cache,
    /// The adapters that it holds, by model and name, and when its steward was told last.
    adapters: BTreeMap<(String, String), Instant>,
    /// When the steward answered last.
    steward_answered: Option<Instant>,
    /// When its steward had no place for another adapter.
    declined_at: Option<Instant>,
    consecutive_failures: u32,
    ejected_until: Option<Instant>,
    /// Since when it has been sent requests and gave no sign of life.
    silent_since: Option<Instant>,
}

impl Tracker {
    /// Forgets what an earlier start of the endpoint held.
    pub fn reset_if_restarted(&mut self, born: u64) {
        if self.born != born {
            self.born = born;
            self.cache.clear();
            self.adapters.clear();
            self.steward_answered = None;
            self.declined_at = None;
            self.consecutive_failures = 0;
            self.ejected_until = None;
            self.silent_since = None;
        }
    }

    /// Whether requests had better go elsewhere.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.is_silent(now) || self.ejected_until.is_some_and(|until| now < until)
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.silent_since
            .is_some_and(|since| since + MAX_SILENCE <= now)
    }

    /// Notes that it was sent a request.
    pub fn record_sent(&mut self, now: Instant) {
        self.sent += 1;
        self.silent_since.get_or_insert(now);
    }

    /// Notes that something of an answer came from it.
    pub fn record_activity(&mut self, now: Instant) {
        self.silent_since = (self.sent > 0).then_some(now);
    }

    /// Notes that a request left it that it was sent.
    pub fn record_end(&mut self, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.sent = self.sent.saturating_sub(1);
        if self.is_silent(now) {
            self.record_failure(now, FAILURES_TO_EJECT);
        }
        if self.sent == 0 {
            self.silent_since = None;
        }
    }

    /// Notes that a request left it before it was sent it.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes in how an attempt ended.
    pub fn record_outcome(&mut self, now: Instant, verdict: Verdict) {
        let weight = match verdict.reason() {
            None => {
                self.consecutive_failures = 0;
                self.ejected_until = None;
                return self.record_activity(now);
            }
            // Nothing else is known of an endpoint that can't be reached.
            Some(Reason::Unreachable) => FAILURES_TO_EJECT,
            Some(Reason::LinkLost | Reason::EndpointFailed | Reason::Truncated) => 1,
            Some(_) => return,
        };
        self.record_failure(now, weight);
    }

    fn record_failure(&mut self, now: Instant, weight: u32) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(weight);
        if let Some(excess) = self.consecutive_failures.checked_sub(FAILURES_TO_EJECT) {
            self.ejected_until =
                Some(now + BASE_EJECTION_TIME * 2_u32.pow(excess.min(MAX_EJECTION_DOUBLINGS)));
        }
    }

    /// Notes that its steward had no place for another adapter.
    pub fn record_declined(&mut self, now: Instant) {
        self.declined_at = Some(now);
    }

    /// Whether its steward had no place for another adapter a moment ago.
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

    /// Notes that an adapter is used. Returns whether the steward should be told.
    pub fn touch_adapter(&mut self, now: Instant, model: &str, adapter: &str) -> bool {
        let key = (model.to_owned(), adapter.to_owned());
        match self.adapters.get_mut(&key) {
            Some(told) if *told + TOUCH_PERIOD <= now => {
                *told = now;
                true
            }
            _ => false,
        }
    }

    /// Takes in what the endpoint itself told of its adapters, which is older than
    /// what its steward answers.
    pub fn update_from_heartbeat(&mut self, now: Instant, adapters: &[String]) {
        if self
            .steward_answered
            .is_none_or(|asked| asked + GOSSIP_MAX_AGE <= now)
        {
            self.set_adapters(now, adapters);
        }
    }

    /// Takes in which adapters its steward says that the endpoint holds.
    pub fn update_from_steward(&mut self, now: Instant, adapters: &[String]) {
        self.steward_answered = Some(now);
        self.set_adapters(now, adapters);
    }

    /// Takes in which adapters the endpoint holds, each as MODEL/NAME.
    fn set_adapters(&mut self, now: Instant, adapters: &[String]) {
        let names = adapters.iter().filter_map(|name| name.split_once('/'));
        let mut held = BTreeMap::new();
        for (model, adapter) in names {
            let key = (model.to_owned(), adapter.to_owned());
            let told = self.adapters.get(&key).copied().unwrap_or(now);
            held.insert(key, told);
        }
        self.adapters = held;
    }

    /// Forgets an adapter that was missing.
    pub fn remove_adapter(&mut self, model: &str, adapter: &str) {
        let key = (model.to_owned(), adapter.to_owned());
        self.adapters.remove(&key);
    }
}

//! What a gateway knows of an endpoint from its own requests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::prompt::Cache;
use crate::request::{Reason, Verdict};

/// How long an endpoint is passed over after a first failure; doubles with each more.
const PAUSE: Duration = Duration::from_millis(500);

/// The most doublings of the pause.
const DOUBLINGS: u32 = 4;

/// Failures in a row of an endpoint that can be reached, after which it is passed over.
const TOLERATED: u32 = 3;

/// How long an endpoint that has requests may give no sign of life. An engine makes an
/// event of each stream several times a second, whatever it reads beside it.
const SILENCE: Duration = Duration::from_millis(700);

/// How old a heartbeat may be that comes through another gateway.
const HEARSAY: Duration = Duration::from_millis(1500);

/// How long an adapter may be used before its steward is told again, so that it
/// isn't taken for idle.
const TOUCH_PERIOD: Duration = Duration::from_secs(1);

/// How long an engine counts as full of adapters after its steward said so: half of
/// the time after which an adapter that isn't used makes way.
const FULL: Duration = Duration::from_millis(500);

/// An endpoint as the gateway's own requests found it.
#[derive(Debug, Default)]
pub struct Seat {
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
    asked: Option<Instant>,
    /// When its steward had no place for another adapter.
    declined: Option<Instant>,
    failures: u32,
    avoided: Option<Instant>,
    /// Since when it has been sent requests and gave no sign of life.
    silent: Option<Instant>,
}

impl Seat {
    /// Forgets what an earlier start of the endpoint held.
    pub fn renew(&mut self, born: u64) {
        if self.born != born {
            self.born = born;
            self.cache.clear();
            self.adapters.clear();
            self.asked = None;
            self.declined = None;
            self.failures = 0;
            self.avoided = None;
            self.silent = None;
        }
    }

    /// Whether requests had better go elsewhere.
    #[must_use]
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.is_silent(now) || self.avoided.is_some_and(|until| now < until)
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.silent.is_some_and(|since| since + SILENCE <= now)
    }

    /// Notes that it was sent a request.
    pub fn send(&mut self, now: Instant) {
        self.sent += 1;
        self.silent.get_or_insert(now);
    }

    /// Notes that something of an answer came from it.
    pub fn live(&mut self, now: Instant) {
        self.silent = (self.sent > 0).then_some(now);
    }

    /// Notes that a request left it that it was sent.
    pub fn leave(&mut self, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.sent = self.sent.saturating_sub(1);
        if self.is_silent(now) {
            self.fail(now, TOLERATED);
        }
        if self.sent == 0 {
            self.silent = None;
        }
    }

    /// Notes that a request left it before it was sent it.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes in how an attempt ended.
    pub fn judge(&mut self, now: Instant, verdict: Verdict) {
        let weight = match verdict.reason() {
            None => {
                self.failures = 0;
                self.avoided = None;
                return self.live(now);
            }
            // Nothing else is known of an endpoint that can't be reached.
            Some(Reason::Unreachable) => TOLERATED,
            Some(Reason::LinkLost | Reason::EndpointFailed | Reason::Truncated) => 1,
            Some(_) => return,
        };
        self.fail(now, weight);
    }

    fn fail(&mut self, now: Instant, weight: u32) {
        self.failures = self.failures.saturating_add(weight);
        if let Some(over) = self.failures.checked_sub(TOLERATED) {
            self.avoided = Some(now + PAUSE * 2_u32.pow(over.min(DOUBLINGS)));
        }
    }

    /// Notes that its steward had no place for another adapter.
    pub fn decline(&mut self, now: Instant) {
        self.declined = Some(now);
    }

    /// Whether its steward had no place for another adapter a moment ago.
    #[must_use]
    pub fn is_full(&self, now: Instant) -> bool {
        self.declined.is_some_and(|at| now < at + FULL)
    }

    /// Whether the endpoint is known to hold an adapter.
    #[must_use]
    pub fn holds(&self, model: &str, adapter: &str) -> bool {
        let key = (model.to_owned(), adapter.to_owned());
        self.adapters.contains_key(&key)
    }

    /// Notes that an adapter is used. Returns whether the steward should be told.
    pub fn touch(&mut self, now: Instant, model: &str, adapter: &str) -> bool {
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
    pub fn learn(&mut self, now: Instant, adapters: &[String]) {
        if self.asked.is_none_or(|asked| asked + HEARSAY <= now) {
            self.hold(now, adapters);
        }
    }

    /// Takes in which adapters its steward says that the endpoint holds.
    pub fn prepared(&mut self, now: Instant, adapters: &[String]) {
        self.asked = Some(now);
        self.hold(now, adapters);
    }

    /// Takes in which adapters the endpoint holds, each as MODEL/NAME.
    fn hold(&mut self, now: Instant, adapters: &[String]) {
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
    pub fn miss(&mut self, model: &str, adapter: &str) {
        let key = (model.to_owned(), adapter.to_owned());
        self.adapters.remove(&key);
    }
}

//! The limits that endpoints name, as this gateway and the others saw them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// How long a limit stays in force after it was last stated. An endpoint states it in each
/// answer, so it is only without requests for so long that a limit expires.
const LIMIT_TTL: Duration = Duration::from_secs(30);

/// For how long a changed limit is sent to other gateways: two gossip intervals and some
/// delay. After that they see it in their own answers.
const NEWS_TTL: Duration = Duration::from_secs(5);

/// A limit that differs from the one known by more than this fraction counts as changed.
const CHANGE_FRACTION: f64 = 0.1;

/// What an answer says of the endpoint's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Notice {
    /// There is no limit.
    #[default]
    Unlimited,
    /// The endpoint takes this many requests a second from all gateways together.
    Limited { rate: f64 },
    /// It names a limit that is not a number that is 0 or more.
    Malformed,
}

/// A limit as gateways tell it each other.
#[derive(Clone, Debug, PartialEq)]
pub struct Statement {
    /// The id of the endpoint.
    pub endpoint: String,
    /// When the endpoint started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// The limit in requests a second; `None` if it has ended.
    pub rate: Option<f64>,
    /// The time since the endpoint stated it.
    pub age: Duration,
}

/// The latest statement of each endpoint that named a limit, by its id.
#[derive(Debug, Default)]
pub struct Limits {
    stated: BTreeMap<String, Stated>,
}

#[derive(Clone, Copy, Debug)]
struct Stated {
    started_ms: u64,
    rate: Option<f64>,
    at: Instant,
    /// When this gateway saw it change; `None` if another gateway did.
    changed_at: Option<Instant>,
}

impl Limits {
    /// The limit in force of an endpoint with this start.
    #[must_use]
    pub fn rate(&self, now: Instant, endpoint: &str, started_ms: u64) -> Option<f64> {
        let stated = self.stated.get(endpoint)?;
        let in_force = stated.started_ms == started_ms && now < stated.at + LIMIT_TTL;
        stated.rate.filter(|_| in_force)
    }

    /// Records what an answer of an endpoint says. Returns whether a limit began or ended.
    pub fn record(
        &mut self,
        now: Instant,
        endpoint: &str,
        started_ms: u64,
        notice: Notice,
    ) -> bool {
        let before = self.rate(now, endpoint, started_ms);
        let rate = match notice {
            Notice::Limited { rate } => Some(rate),
            Notice::Unlimited if before.is_some() => None,
            // An endpoint that names a limit in vain still has the earlier one.
            Notice::Unlimited | Notice::Malformed => return false,
        };
        let known = self.stated.get(endpoint);
        let changed_at = if is_changed(before, rate) {
            Some(now)
        } else {
            known.and_then(|known| known.changed_at)
        };
        let at = now;
        let stated = Stated {
            started_ms,
            rate,
            at,
            changed_at,
        };
        self.stated.insert(endpoint.to_owned(), stated);
        before.is_some() != rate.is_some()
    }

    /// Applies a statement of another gateway, if it is newer than what is known.
    pub fn apply(&mut self, now: Instant, statement: &Statement) {
        let at = now.checked_sub(statement.age).unwrap_or(now);
        let known = self.stated.get(&statement.endpoint);
        if known.is_none_or(|known| (known.started_ms, known.at) < (statement.started_ms, at)) {
            let stated = Stated {
                started_ms: statement.started_ms,
                rate: statement.rate,
                at,
                changed_at: None,
            };
            self.stated.insert(statement.endpoint.clone(), stated);
        }
    }

    /// The statements for other gateways: the limits that this gateway saw change lately.
    #[must_use]
    pub fn statements(&self, now: Instant) -> Vec<Statement> {
        let stated = self.stated.iter();
        let news = stated.filter(|(_, stated)| {
            let changed_at = stated.changed_at;
            changed_at.is_some_and(|changed_at| now < changed_at + NEWS_TTL)
        });
        news.map(|(endpoint, stated)| Statement {
            endpoint: endpoint.clone(),
            started_ms: stated.started_ms,
            rate: stated.rate,
            age: now.saturating_duration_since(stated.at),
        })
        .collect()
    }

    /// Drops the statements that are too old to count.
    pub fn expire(&mut self, now: Instant) {
        self.stated.retain(|_, stated| now < stated.at + LIMIT_TTL);
    }
}

/// Whether a limit began, ended or became another one.
fn is_changed(before: Option<f64>, after: Option<f64>) -> bool {
    match (before, after) {
        (Some(before), Some(after)) => (after - before).abs() > before.max(after) * CHANGE_FRACTION,
        (before, after) => before.is_some() != after.is_some(),
    }
}

//! The choice of an endpoint for an attempt: the one with the lowest cost.

use std::rc::Rc;
use std::time::{Duration, Instant};

use rapidhash::v3::rapidhash_v3;

use super::Gateway;
use super::basis::Basis;
use super::call::Call;
use super::demand::Backlog;
use crate::process::balance::Estimate;
use crate::process::origin::Build;
use crate::process::registry::gossip::GOSSIP_INTERVAL;
use crate::process::registry::{Announcement, RENEWAL_INTERVAL, Row};

/// An endpoint counts as healthy for this many heartbeat periods after its latest heartbeat,
/// so one lost heartbeat and a late one are tolerated. The delay of gossip is added, because
/// heartbeats may come through another gateway.
const LEASE_HEARTBEATS: f64 = 3.5;

/// The cost of each request that the engine runs already, in prompt tokens.
const RUNNING_COST_TOKENS: u64 = 60;

/// Prefilling a prompt stalls the stream of each running request. This costs, for each of
/// them, the uncached prompt tokens divided by this number.
const STALL_COST_DIVISOR: u64 = 10;

/// The cost of loading an adapter, in prompt tokens: at least 10 ms and two orders to the
/// engine, and the evicted adapter has to be loaded again later.
const ADAPTER_LOAD_COST_TOKENS: u64 = 2000;

/// The cost of an engine whose steward recently declined an adapter, in prompt tokens: it
/// is likely to decline again.
const ADAPTERS_FULL_COST_TOKENS: u64 = 20_000;

/// The cost of an engine in another data centre, in prompt tokens: a round trip of 1 to
/// 3 ms, and the charges for the bytes of prompt and answer.
const REMOTE_COST_TOKENS: u64 = 1500;

/// The cost of a plain endpoint in another data centre, in thousandths of a full load.
const REMOTE_COST_PERMILLE: u64 = 150;

/// The cost of an engine other than the one that the affinity key prefers, in prompt tokens.
/// It makes gateways choose the same engine for a prompt without communication.
const AFFINITY_MISS_COST_TOKENS: u64 = 400;

/// The cost of a plain endpoint with all slots taken. The cost is proportional to the slots
/// that are taken.
const FULL_LOAD_PERMILLE: u64 = 1000;

/// The cost of an endpoint that is still slow after its start, in prompt tokens for an
/// engine and in thousandths of a full load for a plain endpoint.
const WARMING_COST: u64 = 500;

/// The cost of an engine that limits its requests, in prompt tokens: about two prompts, so
/// that engines without a limit take what they can.
const LIMITED_COST_TOKENS: u64 = 15_000;

/// The cost of an engine without a free slot, in prompt tokens.
const SLOTS_FULL_COST_TOKENS: u64 = 100_000;

/// The endpoint that was chosen for a request.
pub(super) struct Choice {
    pub endpoint: Rc<Announcement>,
    /// The number of endpoints that it was chosen from.
    pub candidates: usize,
    /// The expected time there, if it was chosen by it.
    pub estimate: Option<Estimate>,
}

impl Gateway {
    /// The endpoint with the lowest cost that has not been tried.
    pub(super) fn pick(&self, now: Instant, call: &Call) -> Option<Choice> {
        let rows = self.usable_rows(now, call);
        if self.setup.options.balance {
            return self.pick_by_time(now, call, rows);
        }
        let key = affinity_key(call);
        let hashed = rows
            .into_iter()
            .map(|row| (rendezvous_hash(&key, row), row));
        let hashed: Vec<(u64, &Row)> = hashed.collect();
        let candidates = hashed.len();
        let &(preferred, _) = hashed.iter().max_by_key(|(hash, row)| {
            let local = row.announcement.data_centre == self.setup.data_centre;
            (local, *hash)
        })?;
        let best = hashed.into_iter().min_by_key(|&(hash, row)| {
            let cost = self.cost(now, call, row, hash == preferred);
            (cost, hash)
        })?;
        Some(Choice {
            endpoint: Rc::clone(&best.1.announcement),
            candidates,
            estimate: None,
        })
    }

    /// The endpoints that the request may be sent to.
    fn usable_rows(&self, now: Instant, call: &Call) -> Vec<&Row> {
        let rows = self.registry.rows().filter(|row| is_usable(call, row));
        let rows = rows.filter(|row| self.denial(now, row).is_none());
        let rows: Vec<&Row> = rows.collect();
        let healthy: Vec<&Row> = rows
            .iter()
            .copied()
            .filter(|row| self.is_healthy(now, row))
            .collect();
        // If no endpoint is healthy, any of them is better than none.
        if healthy.is_empty() { rows } else { healthy }
    }

    /// Whether another healthy endpoint could take the request.
    pub(super) fn has_alternative(&self, now: Instant, call: &Call) -> bool {
        let mut rows = self.registry.rows();
        rows.any(|row| {
            let other = call.endpoint() != Some(row.announcement.id.as_str());
            other
                && is_usable(call, row)
                && self.is_healthy(now, row)
                && self.denial(now, row).is_none()
        })
    }

    /// Whether an endpoint's heartbeats are recent, it is not ejected and has not crashed.
    pub(super) fn is_healthy(&self, now: Instant, row: &Row) -> bool {
        let lease = self.setup.heartbeat_period.mul_f64(LEASE_HEARTBEATS)
            + RENEWAL_INTERVAL
            + GOSSIP_INTERVAL;
        let tracker = self.trackers.get(&row.announcement.id);
        now < row.last_heard + lease
            && !tracker.is_some_and(|tracker| tracker.is_ejected(now))
            && !self.is_down(row)
    }

    /// The requests at an endpoint over all gateways, as far as known.
    pub(super) fn backlog(&self, id: &str) -> Backlog {
        let others = self.demand.backlog(id);
        let tracker = self.trackers.get(id);
        Backlog {
            ahead: tracker.map_or(0, |tracker| tracker.ahead) + others.ahead,
            in_flight: tracker.map_or(0, |tracker| tracker.in_flight) + others.in_flight,
        }
    }

    /// The inputs of the choice of the endpoint `id` for `call`.
    pub(super) fn basis(&self, now: Instant, call: &Call, id: &str) -> Basis {
        let row = self.registry.row(id);
        let heard = row.map_or(Duration::ZERO, |row| {
            now.saturating_duration_since(row.last_heard)
        });
        let Backlog { ahead, in_flight } = self.backlog(id);
        let tracker = self.trackers.get(id);
        Basis {
            routing: self.routing.as_ref().map_or(0, |routing| routing.number()),
            candidates: call.candidates,
            heard_ms: u64::try_from(heard.as_millis()).unwrap_or(u64::MAX),
            in_flight,
            ahead,
            tokens: call.prompt.tokens,
            kept: call.estimate.map_or_else(
                || tracker.map_or(0, |tracker| tracker.cache.cached_tokens(now, &call.prompt)),
                |estimate| estimate.kept,
            ),
            estimate: call.estimate.map(Estimate::rounded),
        }
    }

    /// The cost of sending the request to an endpoint: in prompt tokens of work for an engine,
    /// in thousandths of a full load for a plain endpoint.
    fn cost(&self, now: Instant, call: &Call, row: &Row, preferred: bool) -> u64 {
        let announcement = &row.announcement;
        let tracker = self.trackers.get(&announcement.id);
        let backlog = self.backlog(&announcement.id);
        let backlog = self.reported_backlog(now, &announcement.id, backlog);
        let in_flight = u64::from(backlog.in_flight);
        let slots = u64::from(announcement.slots.max(1));
        let remote = announcement.data_centre != self.setup.data_centre;
        let mut cost = 0;
        if announcement.warmup > Duration::ZERO {
            cost += WARMING_COST;
        }
        let limited = self.limit(now, announcement).is_some();
        let Some(model) = &call.model else {
            cost += if limited { FULL_LOAD_PERMILLE } else { 0 };
            let distance = if remote { REMOTE_COST_PERMILLE } else { 0 };
            return cost + distance + in_flight * FULL_LOAD_PERMILLE / slots;
        };
        if remote {
            cost += REMOTE_COST_TOKENS;
        }
        if limited {
            cost += LIMITED_COST_TOKENS;
        }
        let cached = tracker.map_or(0, |tracker| tracker.cache.cached_tokens(now, &call.prompt));
        let uncached = u64::from(call.prompt.tokens - cached);
        cost += backlog.ahead
            + uncached
            + in_flight * (RUNNING_COST_TOKENS + uncached / STALL_COST_DIVISOR);
        if let Some(adapter) = &call.adapter
            && !tracker.is_some_and(|tracker| tracker.holds_adapter(model.as_str(), adapter))
        {
            let full = tracker.is_some_and(|tracker| tracker.declines_adapters(now));
            cost += if full {
                ADAPTERS_FULL_COST_TOKENS
            } else {
                ADAPTER_LOAD_COST_TOKENS
            };
        }
        if !preferred {
            cost += AFFINITY_MISS_COST_TOKENS;
        }
        if in_flight >= slots {
            cost += SLOTS_FULL_COST_TOKENS;
        }
        cost
    }
}

/// Whether an endpoint can take the request and has not been tried, healthy or not.
pub(super) fn is_usable(call: &Call, row: &Row) -> bool {
    let id = &row.announcement.id;
    let has_no_room = call.declines.iter().any(|decline| decline.endpoint == *id);
    serves(call, row) && !call.tried.contains(id) && !call.declined.contains(id) && !has_no_room
}

/// Whether an endpoint can take the request, tried or not.
pub(super) fn serves(call: &Call, row: &Row) -> bool {
    let announcement = &row.announcement;
    let held = |model| announcement.models.contains(model);
    let fits = |build| Build::of(announcement) == build;
    row.accepts_requests()
        && announcement.service == call.service
        && call.continuation.build().is_none_or(fits)
        && call.model.as_ref().is_none_or(held)
}

/// The part of the request that requests with affinity to the same endpoint have in common.
pub(super) fn affinity_key(call: &Call) -> Vec<u8> {
    // A loaded adapter saves more than a cached prefix. Prefixes are cached for each adapter,
    // so this key also brings requests to the engine with their prefixes.
    match (&call.model, &call.adapter) {
        (Some(model), Some(adapter)) => format!("{model}/{adapter}").into_bytes(),
        (Some(_), None) => call.prompt.shared_prefix().to_le_bytes().to_vec(),
        _ => call.random_point.to_le_bytes().to_vec(),
    }
}

/// The rank of an endpoint for an affinity key, by rendezvous hashing. All gateways compute
/// the same.
pub(super) fn rendezvous_hash(affinity: &[u8], row: &Row) -> u64 {
    rapidhash_v3(&[affinity, row.announcement.id.as_bytes()].concat())
}

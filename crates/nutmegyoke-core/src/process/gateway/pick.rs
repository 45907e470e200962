//! Picks the endpoint of an attempt.

use std::rc::Rc;
use std::time::{Duration, Instant};

use rapidhash::v3::rapidhash_v3;

use super::Gateway;
use super::basis::Basis;
use super::call::Call;
use super::demand::Backlog;
use crate::process::registry::gossip::GOSSIP_INTERVAL;
use crate::process::registry::{Announcement, RENEWAL_INTERVAL, Row};

/// How long an endpoint that isn't heard of counts as alive: three heartbeats
/// and a half, so that one lost heartbeat and a slow one change nothing. Those that
/// came through another gateway are older by the time it keeps them.
const LEASE_BEATS: f64 = 3.5;

/// What a request costs that an engine is running already, in prompt tokens. From
/// days played at 60 and 400, see docs/MEASURES.md.
const RUNNING_COST: u64 = 60;

/// Reading this many prompt tokens costs one more for each request that runs on the
/// engine, because its stream pauses meanwhile.
const DISTURBANCE: u64 = 10;

/// What a load of an adapter costs, in prompt tokens: 10 ms or more, two orders,
/// and the adapter that makes way is loaded again later.
const ADAPTER_COST: u64 = 2000;

/// What an engine costs that had no place for another adapter a moment ago, in prompt
/// tokens: its steward is likely to decline again.
const NO_PLACE_COST: u64 = 20_000;

/// What an endpoint of another data centre costs, in prompt tokens: 1 to 3 ms there
/// and back, and the bytes of prompt and answer, which are paid for.
const FAR_COST: u64 = 1500;

/// What a plain endpoint of another data centre costs, as a part of its slots.
const FAR_SLOT_COST: u64 = 150;

/// What an engine costs that the hash of the prompt does not favour, in prompt
/// tokens. It makes gateways that know nothing of each other agree.
const STRAY_COST: u64 = 400;

/// What an occupied slot of a plain service costs, as a part of its slots.
const SLOT_COST: u64 = 1000;

/// What an endpoint costs that works slowly after its start.
const WARMING_COST: u64 = 500;

/// What an engine costs whose slots are all taken, in prompt tokens.
const FULL_COST: u64 = 100_000;

impl Gateway {
    /// The best endpoint that was not tried yet, and how many there are.
    pub(super) fn pick(&self, now: Instant, call: &Call) -> Option<(Rc<Announcement>, usize)> {
        let rows = self.registry.rows().filter(|row| is_usable(call, row));
        let rows: Vec<&Row> = rows.collect();
        let sound: Vec<&Row> = rows
            .iter()
            .copied()
            .filter(|row| self.is_sound(now, row))
            .collect();
        // Where none is known to work, one that is suspected is better than none.
        let rows = if sound.is_empty() { rows } else { sound };
        let key = affinity(call);
        let hashed = rows.into_iter().map(|row| (favour(&key, row), row));
        let hashed: Vec<(u64, &Row)> = hashed.collect();
        let candidates = hashed.len();
        let &(favourite, _) = hashed.iter().max_by_key(|(hash, row)| {
            let near = row.announcement.data_centre == self.setup.data_centre;
            (near, *hash)
        })?;
        let best = hashed.into_iter().min_by_key(|&(hash, row)| {
            let cost = self.cost(now, call, row, hash == favourite);
            (cost, hash)
        })?;
        Some((Rc::clone(&best.1.announcement), candidates))
    }

    /// Whether another endpoint is known to work that could take the request.
    pub(super) fn has_other(&self, now: Instant, call: &Call) -> bool {
        let mut rows = self.registry.rows();
        rows.any(|row| {
            let other = call.endpoint() != Some(row.announcement.id.as_str());
            other && is_usable(call, row) && self.is_sound(now, row)
        })
    }

    pub(super) fn is_sound(&self, now: Instant, row: &Row) -> bool {
        let lease = self.setup.heartbeat.mul_f64(LEASE_BEATS) + RENEWAL_INTERVAL + GOSSIP_INTERVAL;
        let seat = self.seats.get(&row.announcement.id);
        now < row.last_heard + lease && !seat.is_some_and(|seat| seat.is_avoided(now))
    }

    /// What an endpoint has of the requests of all gateways, as far as known here.
    pub(super) fn backlog(&self, id: &str) -> Backlog {
        let others = self.demand.backlog(id);
        let seat = self.seats.get(id);
        Backlog {
            ahead: seat.map_or(0, |seat| seat.ahead) + others.ahead,
            in_flight: seat.map_or(0, |seat| seat.in_flight) + others.in_flight,
        }
    }

    /// What the choice of the endpoint `id` for `call` is based on.
    pub(super) fn basis(&self, now: Instant, call: &Call, id: &str) -> Basis {
        let row = self.registry.row(id);
        let heard = row.map_or(Duration::ZERO, |row| {
            now.saturating_duration_since(row.last_heard)
        });
        let Backlog { ahead, in_flight } = self.backlog(id);
        let seat = self.seats.get(id);
        Basis {
            routing: self.routing.as_ref().map_or(0, |routing| routing.number()),
            candidates: call.candidates,
            heard_ms: u64::try_from(heard.as_millis()).unwrap_or(u64::MAX),
            in_flight,
            ahead,
            tokens: call.prompt.tokens,
            kept: seat.map_or(0, |seat| seat.cache.kept(now, &call.prompt)),
        }
    }

    /// The work that the request has to wait for and causes, in prompt tokens.
    fn cost(&self, now: Instant, call: &Call, row: &Row, favourite: bool) -> u64 {
        let announcement = &row.announcement;
        let seat = self.seats.get(&announcement.id);
        let backlog = self.backlog(&announcement.id);
        let in_flight = u64::from(backlog.in_flight);
        let slots = u64::from(announcement.slots.max(1));
        let far = announcement.data_centre != self.setup.data_centre;
        let mut cost = 0;
        if announcement.warmup > Duration::ZERO {
            cost += WARMING_COST;
        }
        let Some(model) = &call.model else {
            let distance = if far { FAR_SLOT_COST } else { 0 };
            return cost + distance + in_flight * SLOT_COST / slots;
        };
        if far {
            cost += FAR_COST;
        }
        let kept = seat.map_or(0, |seat| seat.cache.kept(now, &call.prompt));
        let unread = u64::from(call.prompt.tokens - kept);
        cost += backlog.ahead + unread + in_flight * (RUNNING_COST + unread / DISTURBANCE);
        if let Some(adapter) = &call.adapter
            && !seat.is_some_and(|seat| seat.holds(model.as_str(), adapter))
        {
            let full = seat.is_some_and(|seat| seat.is_full(now));
            cost += if full { NO_PLACE_COST } else { ADAPTER_COST };
        }
        if !favourite {
            cost += STRAY_COST;
        }
        if in_flight >= slots {
            cost += FULL_COST;
        }
        cost
    }
}

fn is_usable(call: &Call, row: &Row) -> bool {
    let announcement = &row.announcement;
    let held = |model| announcement.models.contains(model);
    row.accepts_requests()
        && announcement.service == call.service
        && !call.tried.contains(&announcement.id)
        && !call.declined.contains(&announcement.id)
        && call.model.as_ref().is_none_or(held)
}

/// What the request has in common with others that had better go to the same endpoint.
fn affinity(call: &Call) -> Vec<u8> {
    // An adapter is worth more than what is kept of a prompt, and is kept along with it.
    match (&call.model, &call.adapter) {
        (Some(model), Some(adapter)) => format!("{model}/{adapter}").into_bytes(),
        (Some(_), None) => call.prompt.shared().to_le_bytes().to_vec(),
        _ => call.point.to_le_bytes().to_vec(),
    }
}

/// How much an affinity favours an endpoint. All gateways compute the same.
fn favour(affinity: &[u8], row: &Row) -> u64 {
    rapidhash_v3(&[affinity, row.announcement.id.as_bytes()].concat())
}

//! The choice of an endpoint by the time that the request is expected to take there.
//!
//! The parts that need no other state are in [`crate::process::balance`].

use std::rc::Rc;
use std::time::{Duration, Instant};

use rapidhash::v3::rapidhash_v3;

use super::call::Call;
use super::pick::{Choice, affinity_key, rendezvous_hash};
use super::{Gateway, Tracker};
use crate::process::DataCentre;
use crate::process::balance::affinity::PLACES;
use crate::process::balance::estimate::{Penalty, Work};
use crate::process::balance::{Candidate, Drift, Estimate, Pooled, Summary, affinity, choose};
use crate::process::registry::Row;

/// The milliseconds for a prompt token at an engine whose service is not known yet.
const PRIOR_TOKEN_MS: f64 = 0.025;

/// The milliseconds for a request at a plain endpoint whose service is not known yet.
const PRIOR_REQUEST_MS: f64 = 50.0;

/// The weight of the service's speed as a prior of an endpoint's: half of a long prompt, or one
/// request. A gateway sees an endpoint too rarely to wait for more.
const PRIOR_TOKENS: f64 = 4000.0;
const PRIOR_REQUESTS: f64 = 1.0;

/// The cost of loading an adapter, in milliseconds: at least 10 ms and two orders to the engine,
/// and the evicted adapter has to be loaded again later, at a store that allows few loads.
const ADAPTER_LOAD_MS: f64 = 100.0;

/// The cost of an engine whose steward recently declined an adapter, in milliseconds: it is likely
/// to decline again.
const ADAPTERS_FULL_MS: f64 = 500.0;

/// The cost of an engine that is not the first in the rendezvous order, in milliseconds. It makes
/// gateways choose the same engine for a new prompt without communication.
const AFFINITY_MISS_MS: f64 = 10.0;

/// The cost of an endpoint that is still slow after its start, in milliseconds.
const WARMING_MS: f64 = 15.0;

/// The cost of an endpoint that limits its requests, in milliseconds, so that endpoints without a
/// limit take what they can.
const LIMITED_MS: f64 = 375.0;

/// The most by which a late request delays a new one, in milliseconds. A silent endpoint is
/// ejected after this time.
const MAX_OVERDUE_MS: f64 = 700.0;

/// What the estimates for all candidates of a request have in common.
struct View {
    summary: Summary,
    /// The expected milliseconds for a unit of work at an endpoint without samples.
    ms_per_unit: f64,
    failing: f64,
    /// The number of requests with the shared prefix that other gateways are expected to have had
    /// lately.
    elsewhere: f64,
    /// How long an engine is expected to cache a prefix.
    retention: Duration,
    objective_ms: f64,
    max_connections: f64,
    /// How the reported loads moved: prompt tokens ahead at engines, requests at plain endpoints.
    drift: Drift,
    /// The standard deviation of the load of an engine, in prompt tokens.
    deviation: f64,
    /// The share of the reported tokens that is served before the request.
    share_before: f64,
    /// The share of the reported differences of requests in flight that still counts.
    remaining: f64,
}

impl Gateway {
    /// Chooses among `rows` the endpoint where the request is expected to take the least time, or
    /// one of several that are too similar to tell.
    pub(super) fn pick_by_time(
        &self,
        now: Instant,
        call: &Call,
        rows: Vec<&Row>,
    ) -> Option<Choice> {
        let empty = Pooled::default();
        let view = self.view(now, call, self.pooled.get(&call.service).unwrap_or(&empty));
        let key = affinity_key(call);
        let hashed = rows
            .into_iter()
            .map(|row| (rendezvous_hash(&key, row), row));
        let hashed: Vec<(u64, &Row)> = hashed.collect();
        let mut order = Order::default();
        for (hash, row) in &hashed {
            order.insert(&row.announcement.data_centre, *hash);
        }
        let estimate = |&(hash, row): &(u64, &Row)| {
            let Row { announcement, .. } = row;
            let tracker = self.trackers.get(&announcement.id);
            let place = order.place(&announcement.data_centre, hash);
            let estimate = self.estimate(now, call, &view, (row, tracker), place);
            (tracker, estimate)
        };
        let candidates = hashed.iter().map(|row| {
            let (tracker, estimate) = estimate(row);
            Candidate {
                cost: estimate.cost_ms,
                spread: estimate.spread_ms,
                share: tracker.map_or(1.0, |tracker| tracker.observed.failures.share(now)),
            }
        });
        let candidates: Vec<Candidate> = candidates.collect();
        let attempt = call.tried.len() + call.declined.len();
        let mut draws = 0_u64;
        let index = choose(&candidates, || {
            draws += 1;
            let seed = [call.random_point, attempt as u64, draws].map(u64::to_le_bytes);
            fastrand::Rng::with_seed(rapidhash_v3(seed.as_flattened())).f64()
        })?;
        Some(Choice {
            endpoint: Rc::clone(&hashed[index].1.announcement),
            candidates: hashed.len(),
            estimate: Some(estimate(&hashed[index]).1),
        })
    }

    fn view(&self, now: Instant, call: &Call, pooled: &Pooled) -> View {
        let summary = pooled.summary();
        let engine = call.model.is_some();
        let (prior, prior_work) = if engine {
            (PRIOR_TOKEN_MS, PRIOR_TOKENS)
        } else {
            (PRIOR_REQUEST_MS, PRIOR_REQUESTS)
        };
        let prefix = call.prompt.shared_prefix();
        let routing = self.routing.as_ref();
        let pool = routing.and_then(|routing| routing.pool(call.service.as_str()));
        let rate = pooled.rate(now) / count(summary.endpoints.max(1));
        let memory = pool.and_then(|pool| pool.engine.as_ref());
        let memory = memory.map_or(f64::INFINITY, |engine| tokens(engine.cache_tokens));
        let retention = affinity::retention(memory, rate * count(summary.others + 1));
        let drift = Drift {
            age_ms: summary.age_ms,
            mean: if engine {
                summary.ahead
            } else {
                summary.in_flight
            },
            inflow: rate * count(summary.others),
        };
        View {
            summary,
            ms_per_unit: pooled.speed.ms_per_unit(now, prior, prior_work),
            failing: pooled.failures.service_rate(now),
            elsewhere: self
                .sightings
                .elsewhere(now, prefix, summary.others, retention),
            retention,
            objective_ms: call.route.objective.as_secs_f64() * 1e3,
            max_connections: pool.map_or(f64::INFINITY, |pool| f64::from(pool.max_connections)),
            drift,
            deviation: drift.uncertainty(pooled.size()),
            share_before: pooled.share_before(call.priority()),
            remaining: (-summary.age_ms / pooled.residence_ms()).exp() * drift.gain(pooled.size()),
        }
    }

    /// The expected time of the request at an endpoint, at a place in the rendezvous order.
    fn estimate(
        &self,
        now: Instant,
        call: &Call,
        view: &View,
        (row, tracker): (&Row, Option<&Tracker>),
        place: usize,
    ) -> Estimate {
        let announcement = &row.announcement;
        let observed = tracker.map(|tracker| &tracker.observed);
        let own_in_flight = tracker.map_or(0.0, |tracker| f64::from(tracker.in_flight));
        let reported = self.demand.backlog(&announcement.id);
        let failing = observed.map_or(view.failing, |observed| {
            observed.failures.rate(now, view.failing)
        });
        let overdue = observed.map_or(0.0, |observed| observed.overdue_ms(now, call.priority()));
        let mut penalty = Penalty {
            objective_ms: view.objective_ms,
            delay_ms: overdue.min(MAX_OVERDUE_MS),
            remote: announcement.data_centre != self.setup.data_centre,
            failing,
            ..Penalty::default()
        };
        if announcement.warmup > Duration::ZERO {
            penalty.extra_ms += WARMING_MS;
        }
        if self.limit(now, announcement).is_some() {
            penalty.extra_ms += LIMITED_MS;
        }
        let slots = f64::from(announcement.slots.max(1));
        let drift = view.drift;
        let Some(model) = &call.model else {
            let ms_per_unit = observed.map_or(view.ms_per_unit, |observed| {
                let speed = &observed.speed;
                speed.ms_per_unit(now, view.ms_per_unit, PRIOR_REQUESTS)
            });
            let others = drift.aged(f64::from(reported.in_flight), slots / ms_per_unit);
            let load = own_in_flight + others;
            penalty.full = load >= view.max_connections;
            // A request that has ended since no longer matters.
            let recent = Drift {
                age_ms: drift.age_ms.min(ms_per_unit),
                ..drift
            };
            let deviation = recent.uncertainty(1.0);
            let estimate = Estimate::plain(load, slots, ms_per_unit, deviation, penalty);
            return Estimate {
                others,
                age_ms: drift.age_ms,
                place,
                ..estimate
            };
        };
        let ms_per_unit = observed.map_or(view.ms_per_unit, |observed| {
            let speed = &observed.speed;
            speed.tolerant_ms_per_unit(now, view.ms_per_unit, PRIOR_TOKENS)
        });
        let priority = call.priority();
        let others = drift.aged(tokens(reported.ahead), 1.0 / ms_per_unit) * view.share_before;
        let excess = f64::from(reported.in_flight) - view.summary.in_flight;
        let running = own_in_flight + view.summary.in_flight + excess * view.remaining;
        let kept = kept(now, call, view, tracker, place);
        if let Some(adapter) = &call.adapter
            && !tracker.is_some_and(|tracker| tracker.holds_adapter(model.as_str(), adapter))
        {
            let full = tracker.is_some_and(|tracker| tracker.declines_adapters(now));
            penalty.extra_ms += if full {
                ADAPTERS_FULL_MS
            } else {
                ADAPTER_LOAD_MS
            };
        }
        if place > 0 {
            penalty.extra_ms += AFFINITY_MISS_MS;
        }
        penalty.full = running >= slots.min(view.max_connections);
        let work = Work {
            ahead: observed.map_or(0.0, |observed| observed.ahead(priority)),
            others,
            uncached: f64::from(call.prompt.tokens - kept),
            running,
        };
        let estimate = Estimate::engine(work, ms_per_unit, view.deviation, penalty);
        Estimate {
            age_ms: drift.age_ms,
            place,
            kept,
            ..estimate
        }
    }

    /// Updates the means over the endpoints of the service of a request, if they are too old.
    pub(super) fn summarize_service(&mut self, now: Instant, number: u64) {
        if !self.setup.options.balance {
            return;
        }
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        let pooled = self.pooled.get(&call.service);
        if pooled.is_some_and(|pooled| !pooled.needs_summary(now)) {
            return;
        }
        let mut summary = Summary {
            age_ms: self.demand.report_age(now).as_secs_f64() * 1e3,
            others: self.gossip.len(),
            ..Summary::default()
        };
        for row in self.registry.rows() {
            if row.accepts_requests() && row.announcement.service == call.service {
                let reported = self.demand.backlog(&row.announcement.id);
                summary.endpoints += 1;
                summary.ahead += tokens(reported.ahead);
                summary.in_flight += f64::from(reported.in_flight);
            }
        }
        let endpoints = count(summary.endpoints.max(1));
        summary.ahead /= endpoints;
        summary.in_flight /= endpoints;
        let pooled = self.pooled.entry(call.service.clone()).or_default();
        pooled.set_summary(now, summary);
    }
}

/// The prompt tokens that an engine is expected to have in its cache: what this gateway sent
/// there, or the shared prefix if other gateways probably did.
fn kept(now: Instant, call: &Call, view: &View, tracker: Option<&Tracker>, place: usize) -> u32 {
    let own = tracker.and_then(|tracker| tracker.cache.cached(now, &call.prompt));
    let own = own.map_or(0.0, |(tokens, age)| {
        f64::from(tokens) * affinity::remaining(age, view.retention)
    });
    let shared = f64::from(call.prompt.shared_tokens());
    let expected = own.max(affinity::cached(view.elsewhere, place) * shared);
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of a number of this type"
    )]
    let expected = expected as u32;
    expected
}

/// The endpoints that are first in the rendezvous order of each data centre.
#[derive(Debug, Default)]
struct Order<'a> {
    /// Their hashes, in descending order.
    first: Vec<(&'a DataCentre, [u64; PLACES])>,
}

impl<'a> Order<'a> {
    fn insert(&mut self, data_centre: &'a DataCentre, mut hash: u64) {
        let index = self.first.iter().position(|row| row.0 == data_centre);
        let index = index.unwrap_or_else(|| {
            self.first.push((data_centre, [0; PLACES]));
            self.first.len() - 1
        });
        for other in &mut self.first[index].1 {
            if hash > *other {
                std::mem::swap(&mut hash, other);
            }
        }
    }

    /// The place of an endpoint in its data centre, counted from 0; [`PLACES`] if it is not one of
    /// the first.
    fn place(&self, data_centre: &DataCentre, hash: u64) -> usize {
        let row = self.first.iter().find(|row| row.0 == data_centre);
        row.map_or(PLACES, |(_, first)| {
            first.iter().filter(|&&other| other > hash).count()
        })
    }
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

fn tokens(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

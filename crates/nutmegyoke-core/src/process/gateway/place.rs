//! The placement of models on engines, while the replica beside this gateway leads.
//!
//! [`Placement`] decides the steps from the demand and the known engines of a service. The
//! demand is also recorded in the replicated log, for the next leader.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::demand::{Backlog, Work};
use super::{Command, Gateway, Sink};
use crate::process::Placement;
use crate::process::placement::{Fleet, Instance, Step};
use crate::process::registry::Key;
use crate::version::routing::{Engine, Pool};
use crate::version::{Model, Routing};

/// How often the demand for models is recorded. A new leader lacks the demand since the
/// last record, which matters little, because demand is averaged over 6 s.
const DEMAND_RECORD_PERIOD: Duration = Duration::from_secs(4);

impl Gateway {
    /// Starts or stops placing models if leadership has changed.
    pub(super) fn set_leadership(
        &mut self,
        now: Instant,
        term: Option<u64>,
        leader: Option<SocketAddr>,
        demand: &[(Model, f64)],
    ) {
        if self.leader != leader {
            self.leader = leader;
            if let Some(leader) = leader {
                self.gossip.expedite_to(now, leader);
            }
        }
        if self.leader_term != term {
            self.placements.clear();
            self.leader_term = term;
            self.demand.restore(now, demand);
            self.record_due = term.map(|_| now + DEMAND_RECORD_PERIOD);
        }
    }

    /// Records the demand if it is due. Gossip alone would lose it when all gateways and
    /// engines restart at the same time.
    pub(super) fn record_demand<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        if self.record_due.is_none_or(|due| now < due) {
            return;
        }
        self.record_due = Some(now + DEMAND_RECORD_PERIOD);
        let demand: Rc<[(Model, f64)]> = self.demand.total(now).into_iter().collect();
        if !demand.is_empty() {
            out.push(Command::Record { demand });
        }
    }

    /// Drops the placements of services that `routing` has no model engines for. Nothing would
    /// advance them, and their deadlines would stay in the past.
    pub(super) fn drop_placements(&mut self, routing: &Routing) {
        self.placements.retain(|service, _| {
            let mut pools = routing.pools();
            pools.any(|pool| pool.service == *service && pool.engine.is_some())
        });
    }

    /// Drops the pending placement step of `endpoint` if its steward did not accept it.
    pub(super) fn placement_answered(&mut self, endpoint: &str, model: &Model, accepted: bool) {
        if !accepted {
            for placement in self.placements.values_mut() {
                placement.reject(endpoint, model);
            }
        }
    }

    /// The work of this gateway, for its gossip. The gateway beside the leader is sent the demand
    /// with it.
    pub(super) fn work(&self, now: Instant) -> Work {
        let busy = self
            .trackers
            .iter()
            .filter(|(_, tracker)| tracker.in_flight > 0);
        Work {
            models: Vec::new(),
            endpoints: busy
                .map(|(id, tracker)| {
                    let (ahead, in_flight) = (tracker.ahead, tracker.in_flight);
                    (Key::of(id), Backlog { ahead, in_flight })
                })
                .collect(),
            limits: self.limits.statements(now),
        }
    }

    /// Asks stewards to carry out the next steps of each placement that is due.
    pub(super) fn place_models<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let (Some(term), Some(routing)) = (self.leader_term, self.routing.clone()) else {
            return;
        };
        for pool in routing.pools() {
            let placement = self.placements.get(&pool.service);
            let due = placement.and_then(Placement::deadline);
            if pool.engine.is_none() || due.is_some_and(|due| now < due) {
                continue;
            }
            for step in self.plan(now, pool) {
                let Some(row) = self.registry.row(&step.endpoint) else {
                    continue;
                };
                out.push(Command::Place {
                    endpoint: Rc::clone(&row.announcement),
                    term,
                    step,
                    pool: Rc::clone(pool),
                });
            }
        }
    }

    /// The next steps of a pool's placement.
    fn plan(&mut self, now: Instant, pool: &Pool) -> Vec<Step> {
        let Some(engine) = &pool.engine else {
            return Vec::new();
        };
        // It is put back below; meanwhile the fleet is read from the rest of the state.
        let mut placement = self.placements.remove(&pool.service).unwrap_or_default();
        let started_at = self.first_listed_at.unwrap_or(now);
        let steps = placement.plan(now, started_at, || self.fleet(now, pool, engine));
        self.placements.insert(pool.service.clone(), placement);
        steps
    }

    /// The engines of a pool that accept requests, and the demand for their models.
    fn fleet<'a>(&'a self, now: Instant, pool: &Pool, engine: &'a Engine) -> Fleet<'a> {
        let rows = self.registry.rows();
        let rows = rows.filter(|row| row.announcement.service == pool.service);
        let instances = rows.filter(|row| row.accepts_requests() && self.is_healthy(now, row));
        let instances = instances.map(|row| Instance {
            id: &row.announcement.id,
            models: &row.announcement.models,
            warm_copies: &row.announcement.warm_copies,
            in_flight: self.backlog(&row.announcement.id).in_flight,
        });
        Fleet {
            engine,
            instances: instances.collect(),
            demand: self.demand.total(now),
        }
    }
}

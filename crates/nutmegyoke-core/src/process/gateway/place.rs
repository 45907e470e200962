//! Places models on engines while the replica beside this gateway leads.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::demand::{Backlog, Work};
use super::{Command, Gateway, Sink};
use crate::process::Placement;
use crate::process::placement::{Fleet, Host, Step};
use crate::version::Model;
use crate::version::routing::Pool;

/// How often the demand for models is recorded. What it missed matters little: demand
/// is averaged over 6 s.
const RECORD_PERIOD: Duration = Duration::from_secs(4);

impl Gateway {
    /// Begins or ends to place models.
    pub(super) fn lead(&mut self, now: Instant, term: Option<u64>, demand: &[(Model, f64)]) {
        if self.leads != term {
            self.placements.clear();
            self.leads = term;
            self.demand.recall(now, demand);
            self.records = term.map(|_| now + RECORD_PERIOD);
        }
    }

    /// Has the demand recorded from time to time, because all gateways may be
    /// restarted together, and with them the engines.
    pub(super) fn record<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        if self.records.is_none_or(|due| now < due) {
            return;
        }
        self.records = Some(now + RECORD_PERIOD);
        let demand: Rc<[(Model, f64)]> = self.demand.total(now).into_iter().collect();
        if !demand.is_empty() {
            out.push(Command::Record { demand });
        }
    }

    /// Takes in whether a steward took its order.
    pub(super) fn placed(&mut self, endpoint: &str, model: &Model, accepted: bool) {
        if !accepted {
            for placement in self.placements.values_mut() {
                placement.fail(endpoint, model);
            }
        }
    }

    /// The work that this gateway causes.
    pub(super) fn work(&self, now: Instant) -> Work {
        let busy = self.seats.iter().filter(|(_, seat)| seat.in_flight > 0);
        Work {
            models: self.demand.own(now),
            endpoints: busy
                .map(|(id, seat)| {
                    let (ahead, in_flight) = (seat.ahead, seat.in_flight);
                    (id.clone(), Backlog { ahead, in_flight })
                })
                .collect(),
        }
    }

    /// Orders the next steps of the placement, where a round is due.
    pub(super) fn place<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let (Some(term), Some(routing)) = (self.leads, self.routing.clone()) else {
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

    fn plan(&mut self, now: Instant, pool: &Pool) -> Vec<Step> {
        let Some(engine) = &pool.engine else {
            return Vec::new();
        };
        let demand = self.demand.total(now);
        let rows = self.registry.rows();
        let rows = rows.filter(|row| row.announcement.service == pool.service);
        let hosts = rows.filter(|row| row.accepts_requests() && self.is_sound(now, row));
        let hosts = hosts.map(|row| Host {
            id: &row.announcement.id,
            models: &row.announcement.models,
            warm: &row.announcement.warm_copies,
            in_flight: self.backlog(&row.announcement.id).in_flight,
            load: 0.0,
        });
        let mut fleet = Fleet {
            engine,
            hosts: hosts.collect(),
            demand: &demand,
        };
        fleet.weigh();
        let placement = self.placements.entry(pool.service.clone()).or_default();
        placement.plan(now, self.opened.unwrap_or(now), &fleet)
    }
}

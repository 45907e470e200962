//! The decisions of a gateway: where a request goes, whether it may go
//! elsewhere, and when it is given up.
//!
//! * [`attempts`]: a request from its arrival to its end;
//! * [`prepare`]: adapters that have to be loaded first;
//! * [`hurry`]: requests that wait for long;
//! * [`refusal`]: how a request ends without an answer;
//! * [`wait`]: requests that wait for an endpoint;
//! * [`pick`]: which endpoint an attempt goes to;
//! * [`basis`]: what a choice was based on;
//! * [`seat`], [`prompt`]: what the own requests tell of an endpoint;
//! * [`demand`]: how much work models and endpoints have;
//! * [`budget`]: how often requests may be repeated;
//! * [`super::registry`]: which endpoints there are.

mod attempts;
pub mod basis;
pub mod budget;
mod call;
pub mod demand;
pub mod event;
mod hurry;
mod pick;
mod place;
mod prepare;
pub mod prompt;
mod refusal;
pub mod seat;
mod wait;

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

pub use basis::Basis;
pub use budget::{Bound, Budget};
use call::Call;
pub use demand::{Demand, Work};
pub use event::{Command, Event, Halt, Refusal};
pub use seat::Seat;
use wait::Waiting;

use super::registry::{Content, Gossip};
use super::{DataCentre, Machine, Placement, Registry, Sink};
use crate::version::{Routing, Service};

/// What a gateway's settings say to its decisions.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Where it is.
    pub data_centre: DataCentre,
    /// The period of endpoints' heartbeats.
    pub heartbeat: Duration,
    /// How often requests may be repeated.
    pub bound: Bound,
    /// The seed of its randomness.
    pub random: u64,
}

/// A gateway's decision state.
#[derive(Debug)]
pub struct Gateway {
    setup: Setup,
    random: fastrand::Rng,
    /// When it was told something first.
    opened: Option<Instant>,
    routing: Option<Rc<Routing>>,
    registry: Registry,
    spread: Gossip,
    seats: HashMap<String, Seat>,
    budgets: HashMap<Service, Budget>,
    demand: Demand,
    /// The placement of each service with model engines.
    placements: HashMap<Service, Placement>,
    /// The term in which the replica beside this gateway leads.
    leads: Option<u64>,
    /// When the demand for models is recorded next.
    records: Option<Instant>,
    calls: HashMap<u64, Call>,
    deadlines: BTreeSet<(Instant, u64)>,
    /// When requests that may be repeated have waited long enough for an answer.
    late: BTreeSet<(Instant, u64)>,
    waiting: Waiting,
}

impl Gateway {
    /// Opens a gateway that knows no routing and no endpoint.
    #[must_use]
    pub fn open(setup: Setup) -> Self {
        Self {
            random: fastrand::Rng::with_seed(setup.random),
            setup,
            opened: None,
            routing: None,
            registry: Registry::default(),
            spread: Gossip::default(),
            seats: HashMap::new(),
            budgets: HashMap::new(),
            demand: Demand::default(),
            placements: HashMap::new(),
            leads: None,
            records: None,
            calls: HashMap::new(),
            deadlines: BTreeSet::new(),
            late: BTreeSet::new(),
            waiting: Waiting::default(),
        }
    }

    /// The routing in force.
    #[must_use]
    pub fn routing(&self) -> Option<&Rc<Routing>> {
        self.routing.as_ref()
    }

    /// The endpoints that are known.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.calls.len() + self.waiting.early()
    }

    fn spread<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        if self.spread.deadline().is_none_or(|due| now < due) {
            return;
        }
        let work = self.work(now);
        let busy = work != Work::default();
        let due = self.spread.due(now, self.registry.revision(), busy);
        for (to, acknowledged) in due {
            let rumors = self.registry.since(now, acknowledged);
            let work = work.clone();
            out.push(Command::Spread { to, rumors, work });
        }
    }

    /// Takes in what an endpoint told of its adapters.
    fn learn(&mut self, now: Instant, id: &str) {
        if let Some(row) = self.registry.row(id) {
            let seat = self.seats.entry(id.to_owned()).or_default();
            seat.renew(row.announcement.stamp.started_ms);
            seat.learn(now, &row.announcement.adapters);
        }
    }

    /// Takes in a change of the registry.
    fn note(&mut self, now: Instant, changed: bool) {
        if changed {
            self.spread.expedite(now);
            self.waiting.wake();
        }
    }
}

impl Machine for Gateway {
    type Event<'a> = Event<'a>;
    type Command = Command;

    fn handle<S>(&mut self, now: Instant, event: Event<'_>, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        self.opened.get_or_insert(now);
        match event {
            Event::Arrived { call, passage } => self.arrive(now, now, call, &passage, out),
            Event::Prepared { call, adapters } => self.prepare(now, call, adapters, out),
            Event::Begun { call } => self.begin(now, call),
            Event::Progressed { call } => return self.progress(now, call),
            Event::Settled { call, verdict } => self.settle(now, call, verdict, out),
            Event::Left { call } => {
                self.vacate(now, call, None);
                self.forget(call);
            }
            Event::Configured { routing } => {
                self.routing = Some(Rc::clone(routing));
                self.admit_early(now, out);
            }
            Event::Heard { announcement } => {
                let changed = self.registry.record_heartbeat(now, announcement);
                self.learn(now, &announcement.id);
                self.note(now, changed);
            }
            Event::SignedOff { id } => {
                let changed = self.registry.leave(now, id);
                self.note(now, changed);
            }
            Event::Told { from, rumors, work } => {
                self.demand.learn(now, from, work);
                for rumor in rumors {
                    let changed = self.registry.apply(now, rumor);
                    if let Content::Announced(announcement) = &rumor.content {
                        self.learn(now, &announcement.id);
                    }
                    self.note(now, changed);
                }
            }
            Event::Listed { gateways } => self.spread.set_peers(now, gateways),
            Event::Spread { to, run } => self.spread.record_delivery(now, to, run),
            Event::Led { term, demand } => self.lead(now, term, demand),
            Event::Placed {
                endpoint,
                model,
                accepted,
            } => self.placed(endpoint, model, accepted),
            Event::Ticked => {
                self.registry.expire(now);
                self.seats
                    .retain(|id, seat| seat.in_flight > 0 || self.registry.row(id).is_some());
            }
        }
        self.serve_waiting(now, out);
        self.expire(now, out);
        self.hurry(now, out);
        self.spread(now, out);
        self.place(now, out);
        self.record(now, out);
    }

    fn tick() -> Event<'static> {
        Event::Ticked
    }

    fn deadline(&self) -> Option<Instant> {
        let first = self.deadlines.first().map(|&(at, _)| at);
        let rounds = self.placements.values().filter(|_| self.leads.is_some());
        let round = rounds.filter_map(Placement::deadline).min();
        let waiting = self.waiting.deadline();
        let late = self.late.first().map(|&(at, _)| at);
        let all = [late, first, self.spread.deadline(), round, waiting];
        all.into_iter().flatten().min()
    }
}

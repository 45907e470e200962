//! The decisions of a gateway: where a request goes, whether it may go
//! elsewhere, and when it is given up.
//!
//! * [`pick`]: which endpoint an attempt goes to;
//! * [`seat`], [`prompt`]: what the own requests tell of an endpoint;
//! * [`demand`]: how much work models and endpoints have;
//! * [`budget`]: how often requests may be repeated;
//! * [`super::registry`]: which endpoints there are.

pub mod budget;
mod call;
pub mod demand;
pub mod event;
mod pick;
mod place;
pub mod prompt;
pub mod seat;

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

pub use budget::{Bound, Budget};
use call::{Call, Stage};
pub use demand::{Demand, Work};
pub use event::{Command, Event, Refusal};
pub use seat::Seat;

use super::registry::{Announcement, Content, Spread};
use super::{DataCentre, Machine, Placement, Registry, Sink};
use crate::request::{Passage, Reason, Verdict};
use crate::version::{Routing, Service};

/// When a client may try again that was refused for want of an endpoint.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// The most endpoints that are asked for one request, those that refuse included.
const TRIES: usize = 3;

/// Less time than this is no chance for an endpoint to answer.
const LEAST_PATIENCE: Duration = Duration::from_millis(5);

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
    routing: Option<Rc<Routing>>,
    registry: Registry,
    spread: Spread,
    seats: HashMap<String, Seat>,
    budgets: HashMap<Service, Budget>,
    demand: Demand,
    /// The placement of each service with model engines.
    placements: HashMap<Service, Placement>,
    /// The term in which the replica beside this gateway leads.
    leads: Option<u64>,
    calls: HashMap<u64, Call>,
    deadlines: BTreeSet<(Instant, u64)>,
}

impl Gateway {
    /// Opens a gateway that knows no routing and no endpoint.
    #[must_use]
    pub fn open(setup: Setup) -> Self {
        Self {
            random: fastrand::Rng::with_seed(setup.random),
            setup,
            routing: None,
            registry: Registry::default(),
            spread: Spread::default(),
            seats: HashMap::new(),
            budgets: HashMap::new(),
            demand: Demand::default(),
            placements: HashMap::new(),
            leads: None,
            calls: HashMap::new(),
            deadlines: BTreeSet::new(),
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
        self.calls.len()
    }

    fn arrive<S>(&mut self, now: Instant, number: u64, passage: &Passage<'_>, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let Some(routing) = &self.routing else {
            return refuse(number, not_run(Reason::NoConfiguration), out);
        };
        let Some(route) = routing.route(passage.host, passage.path) else {
            return refuse(number, not_run(Reason::UnknownPath), out);
        };
        let point = self.random.u64(..);
        let Some(service) = route.destination(point) else {
            return refuse(number, not_run(Reason::UnknownService), out);
        };
        let call = Call::open(now, route, service, point, passage);
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.count(now, &self.setup.bound);
        self.deadlines.insert((call.deadline, number));
        self.calls.insert(number, call);
        self.attempt(now, number, out);
    }

    /// Sends the request to the best endpoint, or refuses it.
    fn attempt<S>(&mut self, now: Instant, number: u64, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let Some(call) = self.calls.get(&number) else {
            return;
        };
        let Some(endpoint) = self.pick(now, call) else {
            let verdict = call
                .suspect
                .map_or(not_run(Reason::NoEndpoint), may_have_run);
            if let Some(model) = call.model.clone() {
                let tokens = u64::from(call.prompt.tokens);
                self.demand.count(now, &model, tokens);
            }
            return self.give_up(number, verdict, out);
        };
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let id = endpoint.id.clone();
        let pool = self.routing.as_ref();
        let pool = pool.and_then(|routing| routing.pool(call.service.as_str()));
        let engine = pool.and_then(|pool| pool.engine.as_ref());
        let slots = engine.map_or(0, |engine| engine.adapters_beside(&endpoint.models));
        let seat = self.seats.entry(id.clone()).or_default();
        seat.renew(endpoint.stamp.born);
        if let (Some(model), Some(adapter)) = (&call.model, &call.adapter) {
            let (model, adapter) = (model.as_str().to_owned(), adapter.clone());
            if !seat.holds(&model, &adapter) {
                seat.in_flight += 1;
                call.stage = Stage::Preparing { endpoint: id };
                out.push(Command::Prepare {
                    call: number,
                    endpoint,
                    model,
                    adapter,
                    slots,
                });
                return;
            }
            if seat.touch(now, &model, &adapter) {
                out.push(Command::Touch {
                    endpoint: Rc::clone(&endpoint),
                    model,
                    adapter,
                    slots,
                });
            }
        }
        seat.in_flight += 1;
        self.dispatch(now, number, endpoint, out);
    }

    fn dispatch<S>(&mut self, now: Instant, number: u64, endpoint: Rc<Announcement>, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let (Some(call), Some(seat)) = (
            self.calls.get_mut(&number),
            self.seats.get_mut(&endpoint.id),
        ) else {
            return;
        };
        let kept = seat.cache.kept(now, &call.prompt);
        let ahead = u64::from(call.prompt.tokens - kept);
        seat.cache.note(now, &call.prompt);
        seat.ahead += ahead;
        if let Some(model) = &call.model {
            self.demand.count(now, model, ahead);
        }
        call.stage = Stage::Running {
            endpoint: endpoint.id.clone(),
            ahead,
        };
        out.push(Command::Dispatch {
            call: number,
            endpoint,
            patience: call.deadline.saturating_duration_since(now),
            rank: call.route.rank,
            streams: call.route.streams(),
        });
    }

    fn prepare<S>(&mut self, now: Instant, number: u64, adapters: Option<&[String]>, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let Stage::Preparing { endpoint } = call.stage.clone() else {
            return;
        };
        let (Some(model), Some(adapter)) = (call.model.clone(), call.adapter.clone()) else {
            return;
        };
        let seat = self.seats.entry(endpoint.clone()).or_default();
        if let Some(adapters) = adapters {
            seat.prepared(now, adapters);
        }
        let held = seat.holds(model.as_str(), &adapter);
        let known = self.registry.row(&endpoint).filter(|row| row.takes_work());
        let known = known.map(|row| Rc::clone(&row.announcement));
        match known.filter(|_| held) {
            Some(endpoint) => self.dispatch(now, number, endpoint, out),
            None => self.settle(now, number, not_run(Reason::NotHeld), out),
        }
    }

    fn begin(&mut self, now: Instant, number: u64) {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let Stage::Running { endpoint, ahead } = call.stage.clone() else {
            return;
        };
        if let Some(seat) = self.seats.get_mut(&endpoint) {
            seat.ahead = seat.ahead.saturating_sub(ahead);
            seat.judge(now, Verdict::Ran);
        }
        call.stage = Stage::Begun { endpoint };
    }

    /// Takes in how an attempt ended, and sends the request elsewhere if that is
    /// allowed and promises anything.
    fn settle<S>(&mut self, now: Instant, number: u64, verdict: Verdict, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let begun = matches!(
            self.calls.get(&number).map(|call| &call.stage),
            Some(Stage::Begun { .. })
        );
        self.vacate(now, number, Some(verdict));
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        if begun || verdict == Verdict::Ran {
            self.forget(number);
            return;
        }
        if let Verdict::MayHaveRun { reason } = verdict {
            call.runs += 1;
            call.suspect = Some(reason);
        }
        let elsewhere = match verdict {
            Verdict::NotRun { .. } => true,
            _ => call.route.repeatable() && call.runs < call.route.attempts,
        };
        let worthwhile =
            call.tried.len() < TRIES && now + LEAST_PATIENCE < call.deadline && elsewhere;
        if !worthwhile {
            let verdict = call.suspect.map_or(verdict, may_have_run);
            return self.give_up(number, verdict, out);
        }
        let gateways = self.spread.len() + 1;
        let budget = self.budgets.entry(call.service.clone()).or_default();
        let allowed = budget.take(now, &self.setup.bound, gateways);
        out.push(Command::Retried { verdict, allowed });
        if allowed {
            self.attempt(now, number, out);
        } else {
            let verdict = call.suspect.map_or(verdict, may_have_run);
            self.give_up(number, verdict, out);
        }
    }

    /// Takes the request off the endpoint that it is at.
    fn vacate(&mut self, now: Instant, number: u64, verdict: Option<Verdict>) {
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let Some(endpoint) = call.endpoint().map(str::to_owned) else {
            return;
        };
        if let Some(seat) = self.seats.get_mut(&endpoint) {
            seat.in_flight = seat.in_flight.saturating_sub(1);
            if let Stage::Running { ahead, .. } = call.stage {
                seat.ahead = seat.ahead.saturating_sub(ahead);
            }
            if let Some(verdict) = verdict {
                seat.judge(now, verdict);
                if verdict.reason() == Some(Reason::NotHeld)
                    && let (Some(model), Some(adapter)) = (&call.model, &call.adapter)
                {
                    seat.miss(model.as_str(), adapter);
                }
            }
        }
        call.stage = Stage::Idle;
        call.tried.push(endpoint);
    }

    fn give_up<S>(&mut self, number: u64, verdict: Verdict, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        self.forget(number);
        refuse(number, verdict, out);
    }

    fn forget(&mut self, number: u64) {
        if let Some(call) = self.calls.remove(&number) {
            self.deadlines.remove(&(call.deadline, number));
        }
    }

    /// Ends the requests whose time is over.
    fn expire<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        while let Some(&(at, number)) = self.deadlines.first() {
            if at > now {
                return;
            }
            let stage = self.calls.get(&number).map(|call| call.stage.clone());
            self.vacate(now, number, None);
            let suspect = self.calls.get(&number).and_then(|call| call.suspect);
            self.forget(number);
            match stage {
                Some(Stage::Begun { .. }) => out.push(Command::Cancel { call: number }),
                Some(Stage::Running { .. }) => {
                    refuse(number, may_have_run(Reason::DeadlinePassed), out);
                }
                _ => {
                    let late = not_run(Reason::DeadlinePassed);
                    refuse(number, suspect.map_or(late, may_have_run), out);
                }
            }
        }
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
            seat.renew(row.announcement.stamp.born);
            seat.learn(now, &row.announcement.adapters);
        }
    }

    /// Takes in a change of the registry.
    fn note(&mut self, now: Instant, changed: bool) {
        if changed {
            self.spread.hurry(now);
        }
    }
}

fn not_run(reason: Reason) -> Verdict {
    Verdict::NotRun { reason }
}

fn may_have_run(reason: Reason) -> Verdict {
    Verdict::MayHaveRun { reason }
}

fn refuse<S>(call: u64, verdict: Verdict, out: &mut S)
where
    S: Sink<Command = Command>,
{
    let retry_after = match verdict {
        Verdict::NotRun { reason } if reason != Reason::UnknownPath => Some(RETRY_AFTER),
        _ => None,
    };
    let refusal = Refusal {
        verdict,
        retry_after,
    };
    out.push(Command::Refuse { call, refusal });
}

impl Machine for Gateway {
    type Event<'a> = Event<'a>;
    type Command = Command;

    fn handle<S>(&mut self, now: Instant, event: Event<'_>, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        match event {
            Event::Arrived { call, passage } => self.arrive(now, call, &passage, out),
            Event::Prepared { call, adapters } => self.prepare(now, call, adapters, out),
            Event::Begun { call } => self.begin(now, call),
            Event::Settled { call, verdict } => self.settle(now, call, verdict, out),
            Event::Left { call } => {
                self.vacate(now, call, None);
                self.forget(call);
            }
            Event::Configured { routing } => self.routing = Some(Rc::clone(routing)),
            Event::Heard { announcement } => {
                let changed = self.registry.hear(now, announcement);
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
                    let changed = self.registry.learn(now, rumor);
                    if let Content::Told(announcement) = &rumor.content {
                        self.learn(now, &announcement.id);
                    }
                    self.note(now, changed);
                }
            }
            Event::Listed { gateways } => self.spread.list(now, gateways),
            Event::Spread { to, run } => self.spread.settle(now, to, run),
            Event::Led { term } => self.lead(term),
            Event::Placed { endpoint, accepted } => self.placed(endpoint, accepted),
            Event::Ticked => {
                self.registry.expire(now);
                self.seats
                    .retain(|id, seat| seat.in_flight > 0 || self.registry.row(id).is_some());
            }
        }
        self.expire(now, out);
        self.spread(now, out);
        self.place(now, out);
    }

    fn tick() -> Event<'static> {
        Event::Ticked
    }

    fn deadline(&self) -> Option<Instant> {
        let first = self.deadlines.first().map(|&(at, _)| at);
        let rounds = self.placements.values().filter(|_| self.leads.is_some());
        let round = rounds.filter_map(Placement::deadline).min();
        [first, self.spread.deadline(), round]
            .into_iter()
            .flatten()
            .min()
    }
}

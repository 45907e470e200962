//! The decisions of a gateway: which endpoint gets a request, whether it is retried, and
//! when it is refused.
//!
//! [`Gateway`] holds all state. A request arrives in [`attempts`], waits in [`queue`] while
//! it has no endpoint, and is refused in [`refusal`] if it fails.
//!
//! * [`event`]: the events and commands;
//! * [`endpoints`]: heartbeats and rumors, on their way to the registry;
//! * [`call`]: the state of a request in flight;
//! * [`allotment`]: charging the tenant of a request, and lending units of its allotment;
//! * [`attempts`]: routing, attempts and retries of a request;
//! * [`admission`]: questions to stewards of busy engines, and early refusals;
//! * [`prepare`]: loading adapters before a request is sent;
//! * [`crash`]: crashes of endpoints;
//! * [`slow`]: retries of slow requests, and progress of answers;
//! * [`throttle`]: permits for endpoints that limit their requests;
//! * [`order`]: the order in which gateways are asked for permits and units;
//! * [`refusal`]: requests that end without an answer;
//! * [`resumption`]: streams that clients take up again;
//! * [`queue`]: requests that wait for an endpoint;
//! * [`stop`]: requests during a planned stop;
//! * [`pick`]: the choice of an endpoint;
//! * [`balanced`]: the choice of an endpoint by expected time;
//! * [`learn`]: what requests show of the speed and the failures of endpoints;
//! * [`basis`]: the inputs of that choice, for the log;
//! * [`freshness`]: whether a newer routing document is in force;
//! * [`lease`]: for how long a document is obeyed that a newer one has replaced;
//! * [`tracker`], [`prompt`]: the state of an endpoint as this gateway's requests show it;
//! * [`demand`]: the demand for models and the backlog of endpoints;
//! * [`place`]: placing models on engines and recording the demand, at the leader;
//! * [`retry_budget`]: the retry budget;
//! * [`super::registry`]: the known endpoints, and gossip about them.

mod admission;
pub mod allotment;
mod attempts;
mod balanced;
pub mod basis;
mod call;
mod crash;
pub mod demand;
mod endpoints;
pub mod event;
mod freshness;
mod gossip;
mod learn;
mod lease;
mod order;
mod pick;
mod place;
mod prepare;
pub mod prompt;
mod queue;
mod refusal;
pub mod resumption;
pub mod retry_budget;
mod signal;
mod slow;
mod stop;
mod throttle;
pub mod tracker;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use allotment::Allotments;
pub use basis::Basis;
use call::{Call, Held};
use crash::Break;
pub use demand::{Demand, Summary, Work};
pub use event::{Answer, Command, Event, Halt, Message, Refusal};
use freshness::{Confirmation, Newer};
use lease::Lease;
use order::Orders;
use queue::Queue;
pub use retry_budget::{Bound, Budget};
use stop::Stop;
pub use tracker::Tracker;

use super::allotment::Tolerance;
use super::balance::{Ejection, Pooled, Sightings};
use super::origin::Origins;
use super::registry::{Gossip, Pending};
use super::throttle::{Limits, Pacer};
use super::{DataCentre, Machine, Placement, Quarantine, Registry, Sink};
use crate::version::{Routing, Service};

/// The part of a gateway's settings that its decisions depend on.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The data centre of the gateway.
    pub data_centre: DataCentre,
    /// The period of the endpoints' heartbeats.
    pub heartbeat_period: Duration,
    /// The address where the gateway receives gossip.
    pub address: SocketAddr,
    /// The bound on retries.
    pub retry_bound: Bound,
    /// The seed of the random numbers.
    pub seed: u64,
    /// The parts that a deployment turns on.
    pub options: Options,
}

/// The parts of a gateway that a deployment turns on. By default all of them are off.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Options {
    /// How far tenants may exceed their allotments.
    pub tolerance: Tolerance,
    /// Whether stewards are asked before requests are sent to busy engines.
    pub admission: bool,
    /// Whether endpoints are chosen by their learned speed, with a random part.
    pub balance: bool,
    /// The time within which a routing document has to be in force everywhere. Later, one that a
    /// newer one has replaced is no longer obeyed.
    pub document_lease: Option<Duration>,
}

/// The state of a gateway's decisions.
#[derive(Debug)]
pub struct Gateway {
    setup: Setup,
    rng: fastrand::Rng,
    /// When the first endpoint was listed.
    first_listed_at: Option<Instant>,
    routing: Option<Rc<Routing>>,
    /// A newer routing document that another gateway has.
    newer: Option<Newer>,
    confirmation: Confirmation,
    lease: Lease,
    /// The highest number of a document that this gateway can't decode.
    undecodable: u64,
    registry: Registry,
    /// The endpoints whose services the routing document does not name.
    pending: Pending,
    /// What each other gateway has acknowledged of the registry.
    gossip: Gossip,
    /// What this gateway's requests show of each endpoint, by its id.
    trackers: HashMap<String, Tracker>,
    /// What they show of each service, if endpoints are chosen by expected time.
    pooled: HashMap<Service, Pooled>,
    /// How often each shared prefix was seen, if endpoints are chosen by expected time.
    sightings: Sightings,
    /// The ejections by failure rate that are not reported yet.
    ejections: Vec<Ejection>,
    /// The retry budget of each service.
    budgets: HashMap<Service, Budget>,
    demand: Demand,
    /// The placement of each service with model engines.
    placements: HashMap<Service, Placement>,
    /// The term in which the replica beside this gateway leads, if it does.
    leader_term: Option<u64>,
    /// Where the gateway beside the leader receives gossip, if that is known.
    leader: Option<SocketAddr>,
    /// When the demand for models is recorded next; `None` unless this gateway leads.
    record_due: Option<Instant>,
    /// The requests in flight that have a route, by number.
    calls: HashMap<u64, Call>,
    /// The sum of their tokens for each service.
    held: HashMap<Service, Held>,
    /// When each of them times out.
    deadlines: BTreeSet<(Instant, u64)>,
    /// When each repeatable request without an answer counts as slow.
    slow_at: BTreeSet<(Instant, u64)>,
    queue: Queue,
    /// The planned stop of this gateway, once it has begun.
    stop: Option<Stop>,
    /// The endpoints that may have crashed, by id.
    breaks: HashMap<String, Break>,
    /// What crashes endpoints.
    quarantine: Quarantine,
    /// The builds that began streams, as this gateway noted or was told.
    origins: Origins,
    /// The limits that endpoints name.
    limits: Limits,
    /// The admissions to the endpoints that this gateway owns.
    pacer: Pacer,
    /// The allotments of tenants, as far as this gateway lends or uses them.
    allotments: Allotments,
    /// The orders in which gateways are asked for permits and units.
    orders: Orders,
    /// Until when each gateway that did not answer is not asked for permits or units.
    suspended_owners: HashMap<SocketAddr, Instant>,
    /// Until when each steward that did not answer is not asked for admission, by the id of its
    /// engine.
    suspended_stewards: HashMap<String, Instant>,
    /// When each request that waits for room at an engine is tried again.
    deferred: BTreeSet<(Instant, u64)>,
    /// When the turn of each request with a permit comes.
    turns: BTreeSet<(Instant, u64)>,
}

impl Gateway {
    /// Opens a gateway without routing and endpoints.
    #[must_use]
    pub fn open(setup: Setup) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(setup.seed),
            allotments: Allotments::open(setup.options.tolerance),
            lease: Lease::open(setup.options.document_lease),
            undecodable: 0,
            gossip: Gossip::open(setup.address, &setup.data_centre),
            setup,
            first_listed_at: None,
            routing: None,
            newer: None,
            confirmation: Confirmation::default(),
            registry: Registry::default(),
            pending: Pending::default(),
            trackers: HashMap::new(),
            pooled: HashMap::new(),
            sightings: Sightings::default(),
            ejections: Vec::new(),
            budgets: HashMap::new(),
            demand: Demand::default(),
            placements: HashMap::new(),
            leader_term: None,
            leader: None,
            record_due: None,
            calls: HashMap::new(),
            held: HashMap::new(),
            deadlines: BTreeSet::new(),
            slow_at: BTreeSet::new(),
            queue: Queue::default(),
            stop: None,
            breaks: HashMap::new(),
            quarantine: Quarantine::default(),
            origins: Origins::default(),
            limits: Limits::default(),
            pacer: Pacer::default(),
            orders: Orders::default(),
            suspended_owners: HashMap::new(),
            suspended_stewards: HashMap::new(),
            deferred: BTreeSet::new(),
            turns: BTreeSet::new(),
        }
    }

    /// The routing in force.
    #[must_use]
    pub fn routing(&self) -> Option<&Rc<Routing>> {
        self.routing.as_ref()
    }

    /// The known endpoints.
    #[must_use]
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// The number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.calls.len() + self.queue.unrouted()
    }

    /// Updates the adapters of an endpoint from its heartbeat.
    fn update_adapters(&mut self, now: Instant, id: &str) {
        if let Some(row) = self.registry.row(id) {
            let tracker = self.trackers.entry(id.to_owned()).or_default();
            tracker.reset_if_restarted(row.announcement.stamp.started_ms);
            tracker.update_from_heartbeat(now, &row.announcement.adapters);
        }
    }

    /// Does what has become due by the time of an event, or by its effects.
    fn perform_due<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        self.fetch_document(now, out);
        self.renew_lease(now, out);
        self.confirm_document(now, out);
        self.send_due(now, out);
        self.retry_deferred(now, out);
        self.serve_queue(now, out);
        self.expire(now, out);
        self.end_stop(now, out);
        self.retry_slow(now, out);
        self.send_gossip(now, out);
        self.place_models(now, out);
        self.record_demand(now, out);
        self.allotments.refund(now);
        self.report_ejections(out);
    }

    /// Drops what is too old to count. There may be dozens of ticks a second, so this must not go
    /// through all tenants and endpoints each time.
    fn drop_expired(&mut self, now: Instant) {
        self.allotments.expire(now);
        self.limits.expire(now);
        self.pacer.expire(now);
        self.suspended_owners.retain(|_, &mut until| now < until);
        self.suspended_stewards.retain(|_, &mut until| now < until);
        self.expire_breaks(now);
        self.refute_crashes(now);
        self.quarantine.expire(now);
        self.pending.expire(now);
        if self.registry.expire(now) {
            self.trackers
                .retain(|id, tracker| tracker.in_flight > 0 || self.registry.row(id).is_some());
        }
    }

    /// If the registry `changed`, makes gossip due at once and has the queue served.
    fn wake_on_change(&mut self, now: Instant, changed: bool) {
        if changed {
            self.first_listed_at.get_or_insert(now);
            self.gossip.expedite(now);
            self.queue.wake();
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
        self.allotments.observe(now);
        match event {
            Event::Arrived { call, request } => self.accept(now, now, call, &request, out),
            Event::Prepared { call, adapters } => self.prepared(now, call, adapters, out),
            Event::AdmissionAnswered { call, answer } => {
                self.admission_answered(now, call, answer, out);
            }
            Event::AnswerStarted { call } => self.begin_answer(now, call, out),
            Event::Progressed { call } => return self.record_progress(now, call),
            Event::AttemptEnded { call, verdict } => self.end_attempt(now, call, verdict, out),
            Event::Disconnected { call } => {
                self.leave_endpoint(now, call, None);
                self.remove_call(call);
            }
            Event::Configured { routing } => {
                self.routing = Some(Rc::clone(routing));
                self.extend_lease();
                self.drop_placements(routing);
                if self.leader_term.is_some() {
                    // The leader has it first, so the others need not repeat it to each other.
                    self.gossip.expedite(now);
                }
                self.update_services(now, out);
                self.admit_unrouted(now, out);
            }
            Event::Announced { announcement } => {
                self.receive_heartbeat(now, announcement, out);
            }
            Event::SignedOff { id } => {
                self.receive_sign_off(now, id);
            }
            Event::Introduced {
                gateway,
                run,
                data_centre,
            } => self.gossip.introduce(now, gateway, run, data_centre),
            Event::Gossiped { from, message } => self.receive_gossip(now, from, message, out),
            Event::Answered { gateway, answer } => self.compare(now, gateway, answer),
            Event::DocumentHeard { gateway, number } => self.hear_document(now, gateway, number),
            Event::DocumentSkipped { number } => self.skip_document(number),
            Event::LeaseAnswered { newest } => self.lease_answered(newest),
            Event::Confirmed { newest } => self.document_confirmed(now, newest, out),
            Event::PeersListed { gateways } => self.set_peers(now, gateways),
            Event::LeadershipChanged {
                term,
                leader,
                demand,
            } => self.set_leadership(now, term, leader, demand),
            Event::Delivered { to, run } => {
                self.gossip.record_delivery(now, to, run);
                if run.is_some() {
                    self.allotments.reach(now, to);
                }
            }
            Event::Placed {
                endpoint,
                model,
                accepted,
            } => self.placement_answered(endpoint, model, accepted),
            Event::Probed {
                endpoint,
                started_ms,
                refused,
            } => self.endpoint_probed(now, endpoint, started_ms, refused, out),
            Event::Replied {
                call,
                started_ms,
                signal,
            } => {
                if !self.record_signal(now, call, started_ms, &signal, out) {
                    return;
                }
            }
            Event::PermitAsked {
                call,
                endpoint,
                rate,
                max_wait,
            } => return self.admit(now, call, endpoint, rate, max_wait, out),
            Event::Admitted {
                call,
                owner,
                permit,
            } => self.admitted(now, call, owner, permit, out),
            Event::Resumption(event) => self.handle_resumption(now, event, out),
            Event::Allotment(event) => self.handle_allotment(now, event, out),
            Event::Stopping {
                listening_until,
                ends_at,
            } => self.begin_stop(listening_until, ends_at),
            Event::Ticked => self.drop_expired(now),
        }
        self.perform_due(now, out);
    }

    fn tick() -> Event<'static> {
        Event::Ticked
    }

    fn deadline(&self) -> Option<Instant> {
        let timeout = self.deadlines.first().map(|&(at, _)| at);
        let placements = self
            .placements
            .values()
            .filter(|_| self.leader_term.is_some());
        let placement = placements.filter_map(Placement::deadline).min();
        let queue = self.queue.deadline();
        let slow = self.slow_at.first().map(|&(at, _)| at);
        let turn = self.turns.first().map(|&(at, _)| at);
        let deferred = self.deferred.first().map(|&(at, _)| at);
        let newer = self.newer.as_ref().map(Newer::due);
        let all = [
            newer,
            self.confirmation_due(),
            self.lease_due(),
            slow,
            timeout,
            self.gossip.deadline(),
            placement,
            queue,
            turn,
            self.allotments.deadline(),
            deferred,
            self.stop.as_ref().and_then(Stop::deadline),
        ];
        all.into_iter().flatten().min()
    }
}

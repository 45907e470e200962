//! Decides which models and adapters (items) the engines of the agents hold.
//!
//! The [`scheduler`] passes the agents' reports to the [`Planner`] of the control
//! leader, runs its rounds and returns its orders in the answers to reports. All
//! state is in memory; a new leader rebuilds it from the reports.
//! Models on engines that have a steward instead of an agent are placed by
//! [`placement`](crate::process::placement).
//!
//! Each round starts from the placement that the agents report, not from an ideal
//! one. It first loads the items that no request can reach ([`reachability`]), then
//! second copies into free memory, then further copies of models whose engines
//! stay overloaded ([`balance`]). A copy of a needed item is unloaded only while
//! another one is resident elsewhere. A [`limiter`] bounds the loads from the weight
//! store.

pub mod balance;
pub mod estimate;
pub mod fleet;
pub mod limiter;
pub mod need;
pub mod policy;
pub mod preview;
pub mod reachability;
pub mod round;
pub mod scheduler;

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use estimate::Estimate;
use fleet::{Copy, Engine, Fleet};
pub use limiter::Limiter;
pub use need::Need;
pub use policy::{Limits, Policy, Preset, Settings};
pub use preview::Preview;
use round::{Earmark, Move, Round};
pub use scheduler::Scheduler;

use crate::process::DataCentre;
use crate::process::order::{Action, Fence, Kind, Order, Weights};
use crate::process::report::{Report, Reservation, State};

/// The time between two rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// The time between two rounds while orders are pending or an engine is not ready.
const BUSY_ROUND_INTERVAL: Duration = Duration::from_millis(250);

/// The most copies that one round adds to relieve overload.
const MAX_REBALANCING_COPIES_PER_ROUND: u32 = 64;

/// How long the leader of any term but the first collects reports before it plans.
pub const TAKEOVER_DELAY: Duration = Duration::from_secs(3);

/// The planner of a control leader, for one term.
#[derive(Clone, Debug)]
pub struct Planner {
    settings: Settings,
    /// The newest fencing token issued.
    fence: Fence,
    limiter: Limiter,
    /// The latest reports, by VM.
    agents: BTreeMap<String, Agent>,
    /// Orders that no report reflects yet.
    pending: Vec<Pending>,
    /// The memory earmarked by the last round for loads that could not be ordered yet.
    earmarks: Vec<Carryover>,
    estimate: Estimate,
    /// The moves that may be ordered to relieve overload; negative after a copy that took
    /// more moves than were left.
    budget: f64,
    /// The earliest time of the first round.
    starts_at: Instant,
    last_round: Option<Instant>,
    /// Whether orders are pending or an engine is not ready.
    busy: bool,
    moves: Moves,
    /// See [`Planner::shortfall`].
    shortfall: u64,
}

/// The latest reports of one agent.
#[derive(Clone, Debug)]
struct Agent {
    data_centre: DataCentre,
    reports: Vec<Report>,
}

/// An order that no report reflects yet.
#[derive(Clone, Debug)]
struct Pending {
    vm: String,
    order: Order,
    /// Whether it was returned to the agent at least once.
    sent: bool,
}

/// An [`Earmark`] carried over to the next round, with names in place of the indices,
/// which are valid for one round only.
#[derive(Clone, Debug)]
struct Carryover {
    weights: Weights,
    vm: String,
    endpoint: String,
    rebalancing: bool,
    until: Instant,
}

/// The number of moves ordered since the planner was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moves {
    /// Loads for reachability, second copies included.
    pub loads: u64,
    /// Loads that relieve overload.
    pub rebalancing: u64,
    /// Unloads.
    pub unloads: u64,
}

impl Planner {
    /// Opens the planner of the leader of `term`.
    #[must_use]
    pub fn open(now: Instant, term: u64, settings: Settings) -> Self {
        Self {
            settings,
            fence: Fence { term, sequence: 0 },
            limiter: Limiter::open(now, settings.limits),
            agents: BTreeMap::new(),
            pending: Vec::new(),
            earmarks: Vec::new(),
            estimate: Estimate::default(),
            budget: 0.0,
            // In the first term there are no earlier reports to wait for.
            starts_at: if term > 1 { now + TAKEOVER_DELAY } else { now },
            last_round: None,
            busy: true,
            moves: Moves::default(),
            shortfall: 0,
        }
    }

    /// Replaces the limiter by a new one and lets planning start at `now`, for a preview.
    fn reset_limiter(&mut self, now: Instant) {
        self.limiter = Limiter::open(now, self.settings.limits);
        self.starts_at = now;
    }

    /// The newest fencing token issued.
    #[must_use]
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Continues after a fencing token that this process issued in the same term.
    fn continue_from(&mut self, fence: Fence) {
        if fence.term == self.fence.term {
            self.fence = fence;
        }
    }

    /// Replaces the policy; the next round uses it.
    pub fn set_policy(&mut self, policy: Policy) {
        self.settings.policy = policy;
    }

    /// The term for which this planner was opened.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.fence.term
    }

    /// The number of moves ordered so far.
    #[must_use]
    pub fn moves(&self) -> Moves {
        self.moves
    }

    /// The bytes of the items for which the last round found no engine.
    #[must_use]
    pub fn shortfall(&self) -> u64 {
        self.shortfall
    }

    /// Stores an agent's reports of its engines and drops the pending orders that they
    /// reflect.
    ///
    /// Returns whether the agent has to send full reports next, because an engine's
    /// report omits reservations that the planner does not have.
    pub fn report(&mut self, vm: &str, data_centre: &DataCentre, reports: &[Report]) -> bool {
        for report in reports {
            self.estimate.record(vm, report);
            self.pending.retain(|pending| {
                let same = pending.vm == vm && pending.order.endpoint == report.endpoint;
                !(same && pending.sent && pending.order.fence <= report.fence)
            });
        }
        let last = self.agents.remove(vm);
        let mut reservations: HashMap<String, Vec<Reservation>> = HashMap::new();
        for report in last.into_iter().flat_map(|agent| agent.reports) {
            reservations.extend(report.reservations.map(|rows| (report.endpoint, rows)));
        }
        let mut reports = reports.to_vec();
        for report in &mut reports {
            if report.reservations.is_none() {
                report.reservations = reservations.remove(&report.endpoint);
            }
        }
        let received = reports.len();
        reports.retain(|report| report.reservations.is_some());
        let complete = reports.len() == received;
        let data_centre = data_centre.clone();
        let agent = Agent {
            data_centre,
            reports,
        };
        self.agents.insert(vm.to_owned(), agent);
        !complete
    }

    /// Removes a VM that left; items that only it held have to be placed again.
    pub fn forget(&mut self, vm: &str) {
        self.agents.remove(vm);
        self.estimate.forget(vm);
        self.pending.retain(|pending| pending.vm != vm);
        self.earmarks.retain(|earmark| earmark.vm != vm);
    }

    /// The VMs whose agents have reported.
    pub fn vms(&self) -> impl Iterator<Item = &str> {
        self.agents.keys().map(String::as_str)
    }

    /// The orders for an agent, repeated until one of its reports reflects them.
    ///
    /// Returns a fencing token newer than all orders issued so far, and the orders,
    /// each with a newer token than that. A repeated order gets a new token too.
    pub fn orders(&mut self, vm: &str) -> (Fence, Vec<Order>) {
        let fence = self.next_fence();
        let mut latest = self.fence;
        let mut orders = Vec::new();
        for pending in self.pending.iter_mut().filter(|pending| pending.vm == vm) {
            latest.sequence += 1;
            pending.order.fence = latest;
            pending.sent = true;
            orders.push(pending.order.clone());
        }
        self.fence = latest;
        (fence, orders)
    }

    /// Issues the next fencing token.
    fn next_fence(&mut self) -> Fence {
        self.fence.sequence += 1;
        self.fence
    }

    /// When the next round is due.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        let interval = if self.busy {
            BUSY_ROUND_INTERVAL
        } else {
            ROUND_INTERVAL
        };
        self.last_round
            .map_or(self.starts_at, |last| last + interval)
    }

    /// Runs one round of planning for `needs`.
    pub fn plan(&mut self, now: Instant, needs: &[Need]) {
        if now < self.starts_at {
            return;
        }
        self.estimate.update(now, self.settings.policy.min_overload);
        let mut fleet = self.fleet(needs);
        let mut limiter = self.limiter;
        let (models, adapters) = Self::loads_in_flight(&fleet);
        limiter.update(now, models, adapters, self.all_agents_fenced());
        let mut round = Round {
            fleet: &mut fleet,
            limiter: &mut limiter,
            moves: Vec::new(),
            earmarks: Vec::new(),
            shortfall: 0,
        };
        self.resume_earmarks(&mut round, now);
        reachability::run(&mut round, now);
        let steady = round.moves.is_empty() && round.shortfall == 0;
        balance::add_second_copies(&mut round);
        if steady {
            self.relieve_overload(&mut round, now);
        }
        let (moves, earmarks) = (round.moves, round.earmarks);
        self.shortfall = round.shortfall;
        self.limiter = limiter;
        self.last_round = Some(now);
        let unsettled = fleet.engines.iter().any(|engine| !engine.ready);
        self.busy = unsettled || !moves.is_empty() || !self.pending.is_empty();
        self.carry_over(&fleet, &earmarks);
        for planned in moves {
            self.issue(&fleet, planned);
        }
    }

    /// Builds the fleet from the reports and the pending orders.
    ///
    /// Drops pending orders for engines that are gone, and unloads whose copy is no longer
    /// redundant.
    fn fleet(&mut self, needs: &[Need]) -> Fleet {
        let mut fleet = Fleet::open(needs, |name| self.estimate.sustained(name));
        let mut centres: Vec<&DataCentre> = Vec::new();
        for (vm, agent) in &self.agents {
            let known = centres
                .iter()
                .position(|centre| **centre == agent.data_centre);
            let data_centre = known.unwrap_or(centres.len());
            if known.is_none() {
                centres.push(&agent.data_centre);
            }
            for report in &agent.reports {
                add_engine(&mut fleet, vm, data_centre, report);
            }
        }
        let index = index_engines(&fleet);
        let engines: Vec<Option<usize>> = self
            .pending
            .iter()
            .map(|row| {
                let key = (row.vm.as_str(), row.order.endpoint.as_str());
                index.get(&key).copied()
            })
            .collect();
        drop(index);
        for (pending, engine) in self.pending.iter().zip(&engines) {
            if let (Some(engine), Action::Load { weights, bytes }) =
                (*engine, &pending.order.action)
            {
                apply_load(&mut fleet, engine, weights, *bytes);
            }
        }
        let mut engines = engines.into_iter();
        self.pending.retain(|pending| {
            let engine = engines.next().flatten();
            match (engine, &pending.order.action) {
                (Some(engine), Action::Unload { weights }) => {
                    apply_unload(&mut fleet, engine, weights)
                }
                (engine, _) => engine.is_some(),
            }
        });
        fleet.distribute_load();
        fleet
    }

    /// The model and adapter loads that may be in flight, reported or ordered.
    fn loads_in_flight(fleet: &Fleet) -> (u32, u32) {
        let mut counts = (0, 0);
        for engine in &fleet.engines {
            let copies = engine.copies.iter();
            let in_flight = |copy: &&Copy| matches!(copy.state, State::Loading | State::Unknown);
            for copy in copies.filter(in_flight) {
                match fleet.items[copy.item].weights.kind {
                    Kind::Model => counts.0 += 1,
                    Kind::Adapter => counts.1 += 1,
                }
            }
        }
        counts
    }

    /// Whether every agent has seen a fencing token of this term, so that it refuses
    /// the orders of earlier terms.
    fn all_agents_fenced(&self) -> bool {
        let mut reports = self.agents.values().flat_map(|agent| &agent.reports);
        reports.all(|report| report.fence.term >= self.fence.term)
    }

    /// Orders the loads that the last round earmarked memory for, where it is free now, and
    /// renews the other earmarks that have not expired.
    fn resume_earmarks(&mut self, round: &mut Round<'_>, now: Instant) {
        let mut earmarks: Vec<Earmark> = Vec::new();
        {
            let index = index_engines(round.fleet);
            for carried in self.earmarks.drain(..) {
                let engine = index.get(&(carried.vm.as_str(), carried.endpoint.as_str()));
                let item = round.fleet.index.get(&carried.weights);
                let (Some(&engine), Some(&item)) = (engine, item) else {
                    continue;
                };
                let present = round.fleet.state(item, engine).is_some();
                if carried.until > now && !present && round.fleet.engines[engine].ready {
                    earmarks.push(Earmark {
                        item,
                        engine,
                        rebalancing: carried.rebalancing,
                        until: carried.until,
                    });
                }
            }
        }
        for earmark in earmarks {
            if round.fleet.state(earmark.item, earmark.engine).is_some() {
                continue;
            }
            let bytes = round.fleet.items[earmark.item].bytes;
            let free = round.fleet.engines[earmark.engine].free_bytes;
            if free < bytes || !round.load(earmark.item, earmark.engine, earmark.rebalancing) {
                round.earmark(earmark);
            }
        }
    }

    /// Adds copies of models whose engines are overloaded by sustained demand, within
    /// the budget of moves.
    fn relieve_overload(&mut self, round: &mut Round<'_>, now: Instant) {
        let policy = self.settings.policy;
        let engines = u32::try_from(round.fleet.engines.len()).unwrap_or(u32::MAX);
        let hourly = policy.moves_per_engine_hour * f64::from(engines);
        let elapsed = self.last_round.map_or(Duration::ZERO, |last| now - last);
        let earned = hourly * elapsed.as_secs_f64() / 3600.0;
        // Unused budget is capped at ten minutes' worth of moves, but at no less than one.
        self.budget = (self.budget + earned).min((hourly / 6.0).max(1.0));
        let mut remaining = MAX_REBALANCING_COPIES_PER_ROUND;
        for item in balance::overloaded_models(round, &self.settings) {
            while remaining > 0
                && self.budget >= 1.0
                && let Some(moves) = balance::scale_out(round, now, item, &self.settings)
            {
                // A copy may cost several moves: the budget may go negative and then has
                // to recover first.
                self.budget -= f64::from(moves);
                remaining -= 1;
            }
        }
    }

    /// Keeps the earmarks for the next round.
    fn carry_over(&mut self, fleet: &Fleet, earmarks: &[Earmark]) {
        self.earmarks = earmarks
            .iter()
            .map(|earmark| {
                let engine = &fleet.engines[earmark.engine];
                Carryover {
                    weights: fleet.items[earmark.item].weights.clone(),
                    vm: engine.vm.clone(),
                    endpoint: engine.endpoint.clone(),
                    rebalancing: earmark.rebalancing,
                    until: earmark.until,
                }
            })
            .collect();
    }

    /// Adds an order that carries out a move.
    fn issue(&mut self, fleet: &Fleet, planned: Move) {
        let engine = &fleet.engines[planned.engine];
        let item = &fleet.items[planned.item];
        let weights = item.weights.clone();
        let action = if planned.load {
            let bytes = item.bytes;
            Action::Load { weights, bytes }
        } else {
            Action::Unload { weights }
        };
        match (planned.load, planned.rebalancing) {
            (true, true) => self.moves.rebalancing += 1,
            (true, false) => self.moves.loads += 1,
            (false, _) => self.moves.unloads += 1,
        }
        let order = Order {
            endpoint: engine.endpoint.clone(),
            fence: Fence::default(),
            action,
        };
        self.pending.push(Pending {
            vm: engine.vm.clone(),
            order,
            sent: false,
        });
    }
}

/// Adds the engine of a report, with the copies that it reserves memory for.
fn add_engine(fleet: &mut Fleet, vm: &str, data_centre: usize, report: &Report) {
    let position = fleet.engines.len();
    fleet.engines.push(Engine {
        vm: vm.to_owned(),
        endpoint: report.endpoint.clone(),
        data_centre,
        free_bytes: report.bytes,
        releasing: 0,
        ready: report.settled,
        load: 0.0,
        copies: Vec::new(),
    });
    for row in report.reservations.iter().flatten() {
        let item = fleet.item_index(&row.weights, row.bytes);
        let copy = Copy {
            item,
            bytes: row.bytes,
            state: row.state,
        };
        fleet.add_copy(position, copy);
    }
}

/// Applies a pending load to the fleet.
fn apply_load(fleet: &mut Fleet, engine: usize, weights: &Weights, bytes: u64) {
    let item = fleet.item_index(weights, bytes);
    if fleet.state(item, engine).is_none() {
        let state = State::Loading;
        fleet.add_copy(engine, Copy { item, bytes, state });
    }
}

/// Applies a pending unload to the fleet if its copy is still redundant; returns whether it
/// is.
fn apply_unload(fleet: &mut Fleet, engine: usize, weights: &Weights) -> bool {
    let Some(&item) = fleet.index.get(weights) else {
        return false;
    };
    let safe = fleet.is_redundant(item, engine);
    if safe {
        fleet.mark_unloading(item, engine);
    }
    safe
}

/// The indices of the engines, by VM and name.
fn index_engines(fleet: &Fleet) -> HashMap<(&str, &str), usize> {
    let engines = fleet.engines.iter().enumerate();
    engines
        .map(|(index, engine)| ((engine.vm.as_str(), engine.endpoint.as_str()), index))
        .collect()
}

//! Carries out control's orders on the engines of a VM, one ledger an engine.
//!
//! An order waits until an inventory has settled what it builds on, then for
//! its reservation, then, if it unloads, for the last request that uses the
//! weights.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::ledger::{Inspection, Ledger};
use crate::process::endpoint::{Holding, Target};
use crate::process::order::{Action, Fence, Kind, Order, Outcome, Stamp};
use crate::process::report::{Capacity, Demand, Inventory, Report};

/// The time between two inventories of an engine.
const INSPECTION_PERIOD: Duration = Duration::from_secs(5);

/// Orders that wait for one engine at most; more are left for control to repeat.
const WAITING: usize = 256;

/// The engines of a VM whose memory the agent governs.
#[derive(Debug, Default)]
pub struct Memory {
    engines: BTreeMap<String, Engine>,
    calls: HashMap<u64, Use>,
}

#[derive(Debug)]
struct Engine {
    ledger: Ledger,
    /// Orders that are not decided on yet.
    waiting: VecDeque<Order>,
    activity: Activity,
    /// When the next periodic inventory is due.
    next: Instant,
    uses: HashMap<String, u32>,
    demand: BTreeMap<String, u64>,
}

/// What an engine is busy with; one thing at a time keeps orders in order.
#[derive(Debug)]
enum Activity {
    /// Nothing.
    Idle,
    /// An inventory is asked for.
    Inspecting(Inspection),
    /// An unload waits for the last request that uses the weights.
    Holding(Order),
    /// An order is on its way.
    Carrying,
}

/// What a request in flight keeps from being unloaded.
#[derive(Debug)]
struct Use {
    endpoint: String,
    names: Vec<String>,
}

/// What the host shall do with an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the order to the run `incarnation` of its engine.
    Carry {
        order: Order,
        stamp: Stamp,
        incarnation: u64,
    },
    /// Ask the engine what it holds.
    Inspect { endpoint: String, stamp: Stamp },
}

impl Memory {
    /// Takes the properties of an engine in, as its announcement gives them.
    ///
    /// `run` is the incarnation of the agent.
    pub fn attach(&mut self, now: Instant, endpoint: &str, capacity: &Capacity, run: u64) {
        let engine = self
            .engines
            .entry(endpoint.to_owned())
            .or_insert_with(|| Engine::open(now, capacity, run));
        if engine.ledger.capacity() != capacity {
            engine.ledger.restart(capacity.clone());
            engine.next = now;
        }
    }

    /// Whether the agent governs the memory of `endpoint`.
    #[must_use]
    pub fn governs(&self, endpoint: &str) -> bool {
        self.engines.contains_key(endpoint)
    }

    /// What requests may use on `endpoint`, if the agent governs its memory.
    #[must_use]
    pub fn holding(&self, endpoint: &str) -> Option<Holding> {
        let engine = self.engines.get(endpoint)?;
        let named = |kind| {
            let resident = engine.ledger.resident();
            resident.filter(move |weights| weights.kind == kind)
        };
        Some(Holding::Engine {
            models: named(Kind::Model)
                .map(|row| row.name.as_str().into())
                .collect(),
            adapters: named(Kind::Adapter)
                .map(|row| row.name.as_str().into())
                .collect(),
        })
    }

    /// Counts a request and keeps its weights until it ends.
    pub fn begin(&mut self, call: u64, endpoint: &str, target: Target<'_>) {
        let Target::Model { model, adapter } = target else {
            return;
        };
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        let names: Vec<String> = std::iter::once(model)
            .chain(adapter)
            .map(str::to_owned)
            .collect();
        for name in &names {
            *engine.uses.entry(name.clone()).or_default() += 1;
            *engine.demand.entry(name.clone()).or_default() += 1;
        }
        let endpoint = endpoint.to_owned();
        self.calls.insert(call, Use { endpoint, names });
    }

    /// Notes the end of a request; unloads that waited for it may follow.
    pub fn end(&mut self, now: Instant, call: u64, steps: &mut Vec<Step>) {
        let Some(ended) = self.calls.remove(&call) else {
            return;
        };
        let Some(engine) = self.engines.get_mut(&ended.endpoint) else {
            return;
        };
        for name in &ended.names {
            if let Some(count) = engine.uses.get_mut(name) {
                *count = count.saturating_sub(1);
            }
        }
        engine.uses.retain(|_, &mut count| count > 0);
        engine.release(now, steps);
    }

    /// Takes the leader's orders in, in the order of their fences.
    ///
    /// `seal` is newer than every order that the leader gave before these.
    pub fn order(&mut self, now: Instant, seal: Fence, orders: &[Order], steps: &mut Vec<Step>) {
        for engine in self.engines.values_mut() {
            engine.observe(seal);
        }
        for order in orders {
            if let Some(engine) = self.engines.get_mut(&order.endpoint) {
                engine.enqueue(now, order, steps);
            }
        }
    }

    /// Takes in how an order ended.
    pub fn conclude(
        &mut self,
        now: Instant,
        order: &Order,
        stamp: Stamp,
        outcome: Outcome,
        steps: &mut Vec<Step>,
    ) {
        if let Some(engine) = self.engines.get_mut(&order.endpoint) {
            engine.ledger.conclude(now, order, stamp, outcome);
            if matches!(engine.activity, Activity::Carrying) {
                engine.activity = Activity::Idle;
            }
            engine.proceed(now, steps);
        }
    }

    /// Takes in what an engine holds; `None` if it did not say.
    pub fn inspect(
        &mut self,
        now: Instant,
        endpoint: &str,
        inventory: Option<&Inventory>,
        steps: &mut Vec<Step>,
    ) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        if engine.inspected(now, inventory) {
            engine.decide(now, steps);
            engine.proceed(now, steps);
        }
    }

    /// Asks for the inventories that are due.
    pub fn tick(&mut self, now: Instant, steps: &mut Vec<Step>) {
        for (endpoint, engine) in &mut self.engines {
            if engine.idle() && engine.next <= now {
                engine.ask(now, endpoint, steps);
            }
        }
    }

    /// When the next inventory is due.
    #[must_use]
    pub fn deadline(&self) -> Option<Instant> {
        let idle = self.engines.values().filter(|engine| engine.idle());
        idle.map(|engine| engine.next).min()
    }

    /// What control learns of every engine.
    #[must_use]
    pub fn reports(&self) -> Vec<Report> {
        let engines = self.engines.iter();
        engines
            .map(|(endpoint, engine)| engine.report(endpoint))
            .collect()
    }
}

impl Engine {
    fn open(now: Instant, capacity: &Capacity, run: u64) -> Self {
        Self {
            ledger: Ledger::open(now, capacity.clone(), run),
            waiting: VecDeque::new(),
            activity: Activity::Idle,
            next: now,
            uses: HashMap::new(),
            demand: BTreeMap::new(),
        }
    }

    fn idle(&self) -> bool {
        matches!(self.activity, Activity::Idle)
    }

    /// Takes in that every order that the leader gave before is older than `seal`.
    fn observe(&mut self, seal: Fence) {
        let quiet = self.idle() && self.waiting.is_empty();
        if quiet || seal.term > self.ledger.fence().term {
            self.ledger.raise(seal);
        }
    }

    fn enqueue(&mut self, now: Instant, order: &Order, steps: &mut Vec<Step>) {
        let newest = self
            .waiting
            .back()
            .map_or(self.ledger.fence(), |last| last.fence);
        if order.fence <= newest {
            return;
        }
        // Control repeats an order until a report has taken it in.
        self.waiting
            .retain(|waiting| waiting.action != order.action);
        if self.waiting.len() >= WAITING {
            return;
        }
        self.waiting.push_back(order.clone());
        self.proceed(now, steps);
    }

    /// Decides on the waiting orders one by one, after an inventory where one is needed.
    fn proceed(&mut self, now: Instant, steps: &mut Vec<Step>) {
        while self.idle() {
            let Some(first) = self.waiting.front() else {
                return;
            };
            if !self.ledger.clear() {
                let endpoint = first.endpoint.clone();
                return self.ask(now, &endpoint, steps);
            }
            self.decide(now, steps);
        }
    }

    fn ask(&mut self, asked: Instant, endpoint: &str, steps: &mut Vec<Step>) {
        let stamp = self.ledger.stamp();
        self.activity = Activity::Inspecting(Inspection { asked, stamp });
        let endpoint = endpoint.to_owned();
        steps.push(Step::Inspect { endpoint, stamp });
    }

    /// Takes in the answer to an inspection; returns false if none was asked for.
    fn inspected(&mut self, now: Instant, inventory: Option<&Inventory>) -> bool {
        let Activity::Inspecting(inspection) = self.activity else {
            return false;
        };
        self.activity = Activity::Idle;
        self.next = now + INSPECTION_PERIOD;
        let run = self.ledger.capacity().incarnation;
        if let Some(inventory) = inventory.filter(|inventory| inventory.incarnation == run) {
            self.ledger.take(inspection, inventory);
        }
        true
    }

    /// Decides on the first waiting order.
    fn decide(&mut self, now: Instant, steps: &mut Vec<Step>) {
        let Some(order) = self.waiting.pop_front() else {
            return;
        };
        // Control sees from the report that a refused order had no effect.
        if self.ledger.admit(now, &order).is_err() {
            return;
        }
        if let Action::Unload { .. } = order.action {
            self.activity = Activity::Holding(order);
            self.release(now, steps);
        } else {
            self.carry(now, order, steps);
        }
    }

    /// Sends an unload once the last request that uses its weights has ended.
    fn release(&mut self, now: Instant, steps: &mut Vec<Step>) {
        let Activity::Holding(order) = &self.activity else {
            return;
        };
        let Some(weights) = order.action.weights() else {
            return;
        };
        if self.uses.contains_key(&weights.name) {
            return;
        }
        let order = order.clone();
        self.carry(now, order, steps);
    }

    fn carry(&mut self, now: Instant, order: Order, steps: &mut Vec<Step>) {
        self.activity = Activity::Carrying;
        let stamp = self.ledger.send(now, &order);
        let incarnation = self.ledger.capacity().incarnation;
        steps.push(Step::Carry {
            order,
            stamp,
            incarnation,
        });
    }

    fn report(&self, endpoint: &str) -> Report {
        let demand = self.demand.iter().map(|(name, &requests)| Demand {
            name: name.clone(),
            requests,
        });
        Report {
            endpoint: endpoint.to_owned(),
            bytes: self.ledger.bytes(),
            fence: self.ledger.fence(),
            settled: self.ledger.settled(),
            stage: self.ledger.stage(),
            reservations: self.ledger.reservations().collect(),
            demand: demand.collect(),
        }
    }
}

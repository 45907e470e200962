//! One engine of a VM: its ledger and the orders for it, one at a time.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::Command;
use crate::process::agent::ledger::{Inspection, Ledger};
use crate::process::order::{Action, Fence, Order};
use crate::process::report::{Capacity, Demand, Inventory, Report};

/// The time between two inventories of an engine.
const INSPECTION_PERIOD: Duration = Duration::from_secs(5);

/// Orders that wait for one engine at most; more are left for control to repeat.
const WAITING: usize = 256;

/// An engine whose memory the agent governs.
#[derive(Debug)]
pub struct Engine {
    pub ledger: Ledger,
    /// Orders that are not decided on yet.
    pub waiting: VecDeque<Order>,
    pub activity: Activity,
    /// When the next periodic inventory is due.
    pub next: Instant,
    pub uses: HashMap<String, u32>,
    pub demand: BTreeMap<String, u64>,
}

/// What an engine is busy with; one thing at a time keeps orders in order.
#[derive(Debug)]
pub enum Activity {
    /// Nothing.
    Idle,
    /// An inventory is asked for.
    Inspecting(Inspection),
    /// An unload waits for the last request that uses the weights.
    Holding(Order),
    /// An order is on its way.
    Carrying,
}

impl Engine {
    pub fn open(now: Instant, capacity: &Capacity, run: u64) -> Self {
        Self {
            ledger: Ledger::open(now, capacity.clone(), run),
            waiting: VecDeque::new(),
            activity: Activity::Idle,
            next: now,
            uses: HashMap::new(),
            demand: BTreeMap::new(),
        }
    }

    pub fn idle(&self) -> bool {
        matches!(self.activity, Activity::Idle)
    }

    /// Takes in that every order that the leader gave before is older than `seal`.
    pub fn observe(&mut self, seal: Fence) {
        let quiet = self.idle() && self.waiting.is_empty();
        if quiet || seal.term > self.ledger.fence().term {
            self.ledger.raise(seal);
        }
    }

    pub fn enqueue(&mut self, now: Instant, order: &Order, out: &mut Vec<Command>) {
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
        self.proceed(now, out);
    }

    /// Decides on the waiting orders one by one, after an inventory where one is needed.
    pub fn proceed(&mut self, now: Instant, out: &mut Vec<Command>) {
        while self.idle() {
            let Some(first) = self.waiting.front() else {
                return;
            };
            if !self.ledger.clear() {
                let endpoint = first.endpoint.clone();
                return self.ask(now, &endpoint, out);
            }
            self.decide(now, out);
        }
    }

    pub fn ask(&mut self, asked: Instant, endpoint: &str, out: &mut Vec<Command>) {
        let stamp = self.ledger.stamp();
        self.activity = Activity::Inspecting(Inspection { asked, stamp });
        let endpoint = endpoint.to_owned();
        out.push(Command::Inspect { endpoint, stamp });
    }

    /// Takes in the answer to an inspection; returns false if none was asked for.
    pub fn inspected(&mut self, now: Instant, inventory: Option<&Inventory>) -> bool {
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
    pub fn decide(&mut self, now: Instant, out: &mut Vec<Command>) {
        let Some(order) = self.waiting.pop_front() else {
            return;
        };
        // Control sees from the report that a refused order had no effect.
        if self.ledger.admit(now, &order).is_err() {
            return;
        }
        if let Action::Unload { .. } = order.action {
            self.activity = Activity::Holding(order);
            self.release(now, out);
        } else {
            self.carry(now, order, out);
        }
    }

    /// Sends an unload once the last request that uses its weights has ended.
    pub fn release(&mut self, now: Instant, out: &mut Vec<Command>) {
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
        self.carry(now, order, out);
    }

    fn carry(&mut self, now: Instant, order: Order, out: &mut Vec<Command>) {
        self.activity = Activity::Carrying;
        let stamp = self.ledger.send(now, &order);
        let incarnation = self.ledger.capacity().incarnation;
        out.push(Command::Carry {
            order,
            stamp,
            incarnation,
        });
    }

    pub fn report(&self, endpoint: &str) -> Report {
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
            reservations: Some(self.ledger.reservations().collect()),
            demand: demand.collect(),
        }
    }
}

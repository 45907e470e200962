//! One engine of a VM, with its ledger and its pending orders.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::Command;
use crate::process::agent::ledger::{Inspection, Ledger};
use crate::process::order::{Action, Fence, Order};
use crate::process::report::{Capacity, Demand, Inventory, Report};

/// The time between two periodic inventories of an engine.
const INSPECTION_PERIOD: Duration = Duration::from_secs(5);

/// Maximum number of orders waiting for one engine. Further ones are dropped, and
/// control sends them again.
const MAX_WAITING_ORDERS: usize = 256;

/// An engine whose memory the agent manages.
#[derive(Debug)]
pub struct Engine {
    pub ledger: Ledger,
    /// Orders that the ledger has neither admitted nor rejected yet.
    pub waiting: VecDeque<Order>,
    pub activity: Activity,
    /// When the next periodic inventory is due.
    pub next_inspection: Instant,
    /// Requests in flight by the name of the model or adapter that they use.
    pub in_use: HashMap<String, u32>,
    /// Requests since the start of the agent, by the name of the model or adapter.
    pub demand: BTreeMap<String, u64>,
}

/// The exchange in progress with an engine. There is only one at a time, so that
/// orders keep their sequence.
#[derive(Debug)]
pub enum Activity {
    /// No exchange is in progress.
    Idle,
    /// An inventory was requested and has not arrived.
    Inspecting(Inspection),
    /// An unload waits until no request uses the weights.
    Draining(Order),
    /// An order is in flight.
    Sending,
}

impl Engine {
    pub fn open(now: Instant, capacity: &Capacity, agent_incarnation: u64) -> Self {
        Self {
            ledger: Ledger::open(now, capacity.clone(), agent_incarnation),
            waiting: VecDeque::new(),
            activity: Activity::Idle,
            next_inspection: now,
            in_use: HashMap::new(),
            demand: BTreeMap::new(),
        }
    }

    pub fn idle(&self) -> bool {
        matches!(self.activity, Activity::Idle)
    }

    /// Records that every order that the leader issued earlier is older than `fence`.
    ///
    /// The ledger's fence stays while orders of the same term are pending, which it
    /// would refuse as stale otherwise.
    pub fn observe_fence(&mut self, fence: Fence) {
        let no_orders = self.idle() && self.waiting.is_empty();
        if no_orders || fence.term > self.ledger.fence().term {
            self.ledger.raise_fence(fence);
        }
    }

    /// Queues an order, unless it is older than one seen before or the queue is full.
    pub fn enqueue(&mut self, now: Instant, order: &Order, out: &mut Vec<Command>) {
        let newest = self
            .waiting
            .back()
            .map_or(self.ledger.fence(), |last| last.fence);
        if order.fence <= newest {
            return;
        }
        // Control repeats an order until a report reflects it; the newest copy replaces
        // the waiting one.
        self.waiting
            .retain(|waiting| waiting.action != order.action);
        if self.waiting.len() >= MAX_WAITING_ORDERS {
            return;
        }
        self.waiting.push_back(order.clone());
        self.process_waiting(now, out);
    }

    /// Admits or rejects the waiting orders one by one, after an inventory if the
    /// ledger needs one.
    pub fn process_waiting(&mut self, now: Instant, out: &mut Vec<Command>) {
        while self.idle() {
            let Some(first) = self.waiting.front() else {
                return;
            };
            if !self.ledger.fully_settled() {
                let endpoint = first.endpoint.clone();
                return self.inspect(now, &endpoint, out);
            }
            self.admit_next(now, out);
        }
    }

    /// Requests an inventory.
    pub fn inspect(&mut self, requested_at: Instant, endpoint: &str, out: &mut Vec<Command>) {
        let stamp = self.ledger.next_stamp();
        self.activity = Activity::Inspecting(Inspection {
            requested_at,
            stamp,
        });
        let endpoint = endpoint.to_owned();
        out.push(Command::Inspect { endpoint, stamp });
    }

    /// Applies the answer to an inspection. Returns false if none is in progress.
    pub fn finish_inspection(&mut self, now: Instant, inventory: Option<&Inventory>) -> bool {
        let Activity::Inspecting(inspection) = self.activity else {
            return false;
        };
        self.activity = Activity::Idle;
        self.next_inspection = now + INSPECTION_PERIOD;
        let incarnation = self.ledger.capacity().incarnation;
        if let Some(inventory) = inventory.filter(|inventory| inventory.incarnation == incarnation)
        {
            self.ledger.reconcile(inspection, inventory);
        }
        true
    }

    /// Sends the first waiting order if the ledger admits it.
    pub fn admit_next(&mut self, now: Instant, out: &mut Vec<Command>) {
        let Some(order) = self.waiting.pop_front() else {
            return;
        };
        // Control learns from the next report that a rejected order had no effect.
        if self.ledger.admit(now, &order).is_err() {
            return;
        }
        if let Action::Unload { .. } = order.action {
            self.activity = Activity::Draining(order);
            self.send_unload_if_unused(now, out);
        } else {
            self.send(now, order, out);
        }
    }

    /// Sends the pending unload if no request uses its weights any more.
    pub fn send_unload_if_unused(&mut self, now: Instant, out: &mut Vec<Command>) {
        let Activity::Draining(order) = &self.activity else {
            return;
        };
        let Some(weights) = order.action.weights() else {
            return;
        };
        if self.in_use.contains_key(&weights.name) {
            return;
        }
        let order = order.clone();
        self.send(now, order, out);
    }

    fn send(&mut self, now: Instant, order: Order, out: &mut Vec<Command>) {
        self.activity = Activity::Sending;
        let stamp = self.ledger.mark_sent(now, &order);
        let incarnation = self.ledger.capacity().incarnation;
        out.push(Command::Send {
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
            bytes: self.ledger.budget_bytes(),
            fence: self.ledger.fence(),
            settled: self.ledger.settled(),
            stage: self.ledger.stage(),
            reservations: Some(self.ledger.reservations().collect()),
            demand: demand.collect(),
        }
    }
}

//! Property test: accelerator memory is never overcommitted.
//!
//! A random sequence of orders, losses, duplicates, delays, restarts and leader
//! changes runs against an engine that never checks its free memory. It executes every
//! order, or every order that passes its fence. To run more cases:
//! `NUTMEGYOKE_CASES=20000 cargo test -p nutmegyoke-core --test memory`.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use nutmegyoke_cases::{cases, config};
use nutmegyoke_core::process::agent::Memory;
use nutmegyoke_core::process::agent::ledger::ORDER_TTL;
use nutmegyoke_core::process::agent::memory::Command;
use nutmegyoke_core::process::order::{Action, Fence, Order, Outcome, Stage, Stamp, Weights};
use nutmegyoke_core::process::report::{Capacity, Content, Fencing, Inventory};
use proptest::prelude::*;
use proptest::test_runner::TestRunner;

/// The number of cases, unless `NUTMEGYOKE_CASES` overrides it.
const DEFAULT_CASES: u32 = 400;
const ENGINE_BYTES: u64 = 100;
const MODELS: [(&str, u64); 5] = [("a", 60), ("b", 50), ("c", 40), ("d", 30), ("e", 100)];

/// One step of a simulation.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The leader orders the model at index `item` to be loaded or unloaded.
    Order { item: usize, load: bool },
    /// A load order of the previous leader arrives.
    OrderOfEarlierTerm { item: usize },
    /// A new leader is elected.
    Elect,
    /// The leader's answer to a heartbeat arrives without orders.
    Heartbeat,
    /// An order in flight reaches the engine. `duplicate` keeps a copy of it in flight;
    /// `answered` lets the confirmation reach the agent.
    Deliver {
        index: usize,
        duplicate: bool,
        answered: bool,
    },
    /// The agent gives up waiting for the answer to its order.
    LoseOrder,
    /// The engine answers an inspection; the answer stays in flight.
    Inspect,
    /// The answer to the inspection reaches the agent or is lost.
    ReturnInventory { lost: bool },
    /// The clock advances.
    Advance { seconds: u64 },
    /// The agent's process restarts.
    RestartAgent,
    /// The engine restarts with the models whose bits are set in `mask`, as far as they fit.
    RestartEngine { mask: u8 },
}

fn step() -> impl Strategy<Value = Step> {
    let item = 0..MODELS.len();
    prop_oneof![
        6 => (item.clone(), any::<bool>()).prop_map(|(item, load)| Step::Order { item, load }),
        1 => item.prop_map(|item| Step::OrderOfEarlierTerm { item }),
        1 => Just(Step::Elect),
        2 => Just(Step::Heartbeat),
        6 => (any::<usize>(), any::<bool>(), any::<bool>())
            .prop_map(|(index, duplicate, answered)| Step::Deliver { index, duplicate, answered }),
        2 => Just(Step::LoseOrder),
        6 => Just(Step::Inspect),
        6 => any::<bool>().prop_map(|lost| Step::ReturnInventory { lost }),
        2 => (0u64..40).prop_map(|seconds| Step::Advance { seconds }),
        1 => Just(Step::RestartAgent),
        1 => any::<u8>().prop_map(|mask| Step::RestartEngine { mask }),
    ]
}

/// An order in flight to the engine.
#[derive(Clone, PartialEq)]
struct Delivery {
    order: Order,
    stamp: Stamp,
    incarnation: u64,
    sent: Instant,
}

/// The memory state machine of an agent with one simulated engine.
struct Simulation {
    now: Instant,
    memory: Memory,
    agent_incarnation: u64,
    capacity: Capacity,
    fence: Fence,
    /// The weights that the engine holds, with their bytes.
    contents: BTreeMap<Weights, u64>,
    /// The newest stamp that the engine has seen.
    newest_stamp: Stamp,
    in_flight: Vec<Delivery>,
    /// The order whose answer the agent waits for.
    sending: Option<Delivery>,
    /// The stamp of an inspection that the engine has not answered.
    inspection: Option<Stamp>,
    /// The answer to an inspection, in flight to the agent.
    inventory: Option<Inventory>,
}

impl Simulation {
    fn open(fencing: Fencing) -> Self {
        let now = Instant::now();
        let capacity = Capacity {
            bytes: ENGINE_BYTES,
            floor: 0,
            fencing,
            incarnation: 1,
        };
        let mut memory = Memory::default();
        memory.announce(now, "engine", &capacity, 1);
        Self {
            now,
            memory,
            agent_incarnation: 1,
            capacity,
            fence: Fence {
                term: 1,
                sequence: 0,
            },
            contents: BTreeMap::new(),
            newest_stamp: Stamp::default(),
            in_flight: Vec::new(),
            sending: None,
            inspection: None,
            inventory: None,
        }
    }

    fn apply(&mut self, step: Step) {
        let mut commands = Vec::new();
        match step {
            Step::Order { item, load } => self.issue_order(item, load, &mut commands),
            Step::OrderOfEarlierTerm { item } => self.order_of_earlier_term(item, &mut commands),
            Step::Elect => {
                self.fence = Fence {
                    term: self.fence.term + 1,
                    sequence: 0,
                };
            }
            Step::Heartbeat => {
                self.fence.sequence += 1;
                self.memory
                    .enqueue(self.now, self.fence, &[], &mut commands);
            }
            Step::Deliver {
                index,
                duplicate,
                answered,
            } => {
                self.deliver(index, duplicate, answered, &mut commands);
            }
            Step::LoseOrder => self.conclude(Outcome::Lost, &mut commands),
            Step::Inspect => self.inspect(),
            Step::ReturnInventory { lost } => self.return_inventory(lost, &mut commands),
            Step::Advance { seconds } => {
                self.now += Duration::from_secs(seconds);
                self.in_flight
                    .retain(|delivery| self.now < delivery.sent + ORDER_TTL);
                self.memory.inspect_due(self.now, &mut commands);
            }
            Step::RestartAgent => self.restart_agent(),
            Step::RestartEngine { mask } => self.restart_engine(mask),
        }
        for command in commands {
            match command {
                Command::Send {
                    order,
                    stamp,
                    incarnation,
                } => {
                    let sent = self.now;
                    let delivery = Delivery {
                        order,
                        stamp,
                        incarnation,
                        sent,
                    };
                    self.in_flight.push(delivery.clone());
                    self.sending = Some(delivery);
                }
                Command::Inspect { stamp, .. } => {
                    self.inspection = Some(stamp);
                    self.inventory = None;
                }
            }
        }
        let held: u64 = self.contents.values().sum();
        assert!(
            held <= ENGINE_BYTES,
            "overcommitted: {held} of {ENGINE_BYTES} bytes in use after {step:?}"
        );
    }

    fn issue_order(&mut self, item: usize, load: bool, commands: &mut Vec<Command>) {
        self.fence.sequence += 1;
        let previous_fence = self.fence;
        self.fence.sequence += 1;
        let order = make_order(item, load, self.fence);
        self.memory
            .enqueue(self.now, previous_fence, &[order], commands);
    }

    fn order_of_earlier_term(&mut self, item: usize, commands: &mut Vec<Command>) {
        let term = self.fence.term - 1;
        let previous_fence = Fence {
            term,
            sequence: u64::MAX - 1,
        };
        let fence = Fence {
            term,
            sequence: u64::MAX,
        };
        let orders = [make_order(item, true, fence)];
        self.memory
            .enqueue(self.now, previous_fence, &orders, commands);
    }

    fn deliver(
        &mut self,
        index: usize,
        duplicate: bool,
        answered: bool,
        commands: &mut Vec<Command>,
    ) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = index % self.in_flight.len();
        let delivery = self.in_flight[index].clone();
        if !duplicate {
            self.in_flight.remove(index);
        }
        if !self.accepts(&delivery) {
            return;
        }
        self.newest_stamp = self.newest_stamp.max(delivery.stamp);
        match &delivery.order.action {
            Action::Load { weights, bytes } => {
                self.contents.insert(weights.clone(), *bytes);
            }
            Action::Unload { weights } => {
                self.contents.remove(weights);
            }
            Action::Turn { .. } => {}
        }
        if answered && self.sending.as_ref() == Some(&delivery) {
            self.conclude(Outcome::Done, commands);
        }
    }

    fn accepts(&self, delivery: &Delivery) -> bool {
        let current = delivery.incarnation == self.capacity.incarnation;
        match self.capacity.fencing {
            Fencing::Ignored => true,
            Fencing::Checked => delivery.stamp >= self.newest_stamp && current,
        }
    }

    fn conclude(&mut self, outcome: Outcome, commands: &mut Vec<Command>) {
        if let Some(Delivery { order, stamp, .. }) = self.sending.take() {
            self.memory
                .conclude(self.now, &order, stamp, outcome, commands);
        }
    }

    fn inspect(&mut self) {
        let Some(stamp) = self.inspection.take() else {
            return;
        };
        self.newest_stamp = self.newest_stamp.max(stamp);
        let contents = self.contents.iter().map(|(weights, &bytes)| Content {
            weights: weights.clone(),
            bytes,
        });
        self.inventory = Some(Inventory {
            incarnation: self.capacity.incarnation,
            newest: self.newest_stamp,
            stage: Stage::Mixed,
            contents: contents.collect(),
        });
    }

    fn return_inventory(&mut self, lost: bool, commands: &mut Vec<Command>) {
        if let Some(inventory) = self.inventory.take() {
            let inventory = (!lost).then_some(&inventory);
            self.memory
                .finish_inspection(self.now, "engine", inventory, commands);
        }
    }

    fn restart_agent(&mut self) {
        self.memory = Memory::default();
        self.agent_incarnation += 1;
        self.memory
            .announce(self.now, "engine", &self.capacity, self.agent_incarnation);
        (self.sending, self.inspection, self.inventory) = (None, None, None);
    }

    /// Restarts the engine with those models in `mask` that fit. An engine that ignores
    /// fences keeps only models that it held before: with orders in flight, the agent
    /// could not know of others.
    fn restart_engine(&mut self, mask: u8) {
        let before = std::mem::take(&mut self.contents);
        let mut left = ENGINE_BYTES;
        for (index, (name, bytes)) in MODELS.iter().enumerate() {
            let weights = Weights::model(name, 0);
            let was_loaded = before.contains_key(&weights);
            let allowed = was_loaded || self.capacity.fencing == Fencing::Checked;
            if allowed && mask & (1 << index) != 0 && *bytes <= left {
                left -= bytes;
                self.contents.insert(weights, *bytes);
            }
        }
        self.capacity.incarnation += 1;
        self.newest_stamp = Stamp::default();
        self.memory
            .announce(self.now, "engine", &self.capacity, self.agent_incarnation);
    }
}

fn make_order(item: usize, load: bool, fence: Fence) -> Order {
    let (name, bytes) = MODELS[item];
    let weights = Weights::model(name, 0);
    Order {
        endpoint: "engine".to_owned(),
        fence,
        action: if load {
            Action::Load { weights, bytes }
        } else {
            Action::Unload { weights }
        },
    }
}

fn never_overcommits(fencing: Fencing) {
    let histories = proptest::collection::vec(step(), 1..150);
    let result = TestRunner::new(config(DEFAULT_CASES)).run(&histories, |history| {
        let mut simulation = Simulation::open(fencing);
        for step in history {
            simulation.apply(step);
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

cases!(never_overcommits {
    engine_checks_fences: (Fencing::Checked),
    engine_ignores_fences: (Fencing::Ignored),
});

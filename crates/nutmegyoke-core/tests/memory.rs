//! Accelerator memory is never overcommitted, whatever happens to orders.
//!
//! A random history of orders, losses, duplicates, delays, restarts and leader
//! changes runs against an engine that loads whatever reaches it. More seeds:
//! `NUTMEGYOKE_CASES=20000 cargo test -p nutmegyoke-core --test memory`.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use nutmegyoke_cases::{cases, config};
use nutmegyoke_core::process::agent::Memory;
use nutmegyoke_core::process::agent::ledger::ORDER_TTL;
use nutmegyoke_core::process::agent::memory::Command as Step;
use nutmegyoke_core::process::order::{Action, Fence, Order, Outcome, Stage, Stamp, Weights};
use nutmegyoke_core::process::report::{Capacity, Content, Fencing, Inventory};
use proptest::prelude::*;
use proptest::test_runner::TestRunner;

const CASES: u32 = 400;
const BYTES: u64 = 100;
const NAMES: [(&str, u64); 5] = [("a", 60), ("b", 50), ("c", 40), ("d", 30), ("e", 100)];

/// One thing that happens.
#[derive(Clone, Copy, Debug)]
enum Happening {
    /// The leader orders item `item` to be loaded or unloaded.
    Order { item: usize, load: bool },
    /// An order of the leader before arrives.
    Old { item: usize },
    /// Another leader is elected.
    Elect,
    /// The leader's heartbeat answer arrives without orders.
    Beat,
    /// An order in flight reaches the engine; `again` leaves it in flight as well.
    Deliver {
        which: usize,
        again: bool,
        answered: bool,
    },
    /// The agent gives an order up.
    Lose,
    /// The engine answers an inspection, the answer staying on its way.
    Look,
    /// The answer reaches the agent, or is lost.
    Tell { lost: bool },
    /// Time passes.
    Wait { seconds: u64 },
    /// The agent's process restarts.
    RestartAgent,
    /// The engine restarts, with the contents of `mask`.
    RestartEngine { mask: u8 },
}

fn happening() -> impl Strategy<Value = Happening> {
    let item = 0..NAMES.len();
    prop_oneof![
        6 => (item.clone(), any::<bool>()).prop_map(|(item, load)| Happening::Order { item, load }),
        1 => item.prop_map(|item| Happening::Old { item }),
        1 => Just(Happening::Elect),
        2 => Just(Happening::Beat),
        6 => (any::<usize>(), any::<bool>(), any::<bool>())
            .prop_map(|(which, again, answered)| Happening::Deliver { which, again, answered }),
        2 => Just(Happening::Lose),
        6 => Just(Happening::Look),
        6 => any::<bool>().prop_map(|lost| Happening::Tell { lost }),
        2 => (0u64..40).prop_map(|seconds| Happening::Wait { seconds }),
        1 => Just(Happening::RestartAgent),
        1 => any::<u8>().prop_map(|mask| Happening::RestartEngine { mask }),
    ]
}

/// An order on its way to the engine.
#[derive(Clone, PartialEq)]
struct Flight {
    order: Order,
    stamp: Stamp,
    incarnation: u64,
    sent: Instant,
}

struct World {
    now: Instant,
    memory: Memory,
    /// Counts the agent's runs.
    run: u64,
    capacity: Capacity,
    fence: Fence,
    /// What the engine holds.
    contents: BTreeMap<Weights, u64>,
    /// The newest stamp that the engine has seen.
    seen: Stamp,
    flight: Vec<Flight>,
    carried: Option<Flight>,
    asked: Option<Stamp>,
    told: Option<Inventory>,
}

impl World {
    fn open(fencing: Fencing) -> Self {
        let now = Instant::now();
        let capacity = Capacity {
            bytes: BYTES,
            floor: 0,
            fencing,
            incarnation: 1,
        };
        let mut memory = Memory::default();
        memory.attach(now, "engine", &capacity, 1);
        Self {
            now,
            memory,
            run: 1,
            capacity,
            fence: Fence {
                term: 1,
                sequence: 0,
            },
            contents: BTreeMap::new(),
            seen: Stamp::default(),
            flight: Vec::new(),
            carried: None,
            asked: None,
            told: None,
        }
    }

    fn run(&mut self, happening: Happening) {
        let mut steps = Vec::new();
        match happening {
            Happening::Order { item, load } => self.order(item, load, &mut steps),
            Happening::Old { item } => self.old(item, &mut steps),
            Happening::Elect => {
                self.fence = Fence {
                    term: self.fence.term + 1,
                    sequence: 0,
                };
            }
            Happening::Beat => {
                self.fence.sequence += 1;
                self.memory.enqueue(self.now, self.fence, &[], &mut steps);
            }
            Happening::Deliver {
                which,
                again,
                answered,
            } => {
                self.deliver(which, again, answered, &mut steps);
            }
            Happening::Lose => self.conclude(Outcome::Lost, &mut steps),
            Happening::Look => self.look(),
            Happening::Tell { lost } => self.tell(lost, &mut steps),
            Happening::Wait { seconds } => {
                self.now += Duration::from_secs(seconds);
                self.flight
                    .retain(|flight| self.now < flight.sent + ORDER_TTL);
                self.memory.inspect_due(self.now, &mut steps);
            }
            Happening::RestartAgent => self.restart_agent(),
            Happening::RestartEngine { mask } => self.restart_engine(mask),
        }
        for step in steps {
            match step {
                Step::Send {
                    order,
                    stamp,
                    incarnation,
                } => {
                    let sent = self.now;
                    let flight = Flight {
                        order,
                        stamp,
                        incarnation,
                        sent,
                    };
                    self.flight.push(flight.clone());
                    self.carried = Some(flight);
                }
                Step::Inspect { stamp, .. } => {
                    self.asked = Some(stamp);
                    self.told = None;
                }
            }
        }
        let held: u64 = self.contents.values().sum();
        assert!(held <= BYTES, "{held} of {BYTES} bytes after {happening:?}");
    }

    fn order(&mut self, item: usize, load: bool, steps: &mut Vec<Step>) {
        self.fence.sequence += 1;
        let seal = self.fence;
        self.fence.sequence += 1;
        let order = make(item, load, self.fence);
        self.memory.enqueue(self.now, seal, &[order], steps);
    }

    fn old(&mut self, item: usize, steps: &mut Vec<Step>) {
        let term = self.fence.term - 1;
        let seal = Fence {
            term,
            sequence: u64::MAX - 1,
        };
        let fence = Fence {
            term,
            sequence: u64::MAX,
        };
        let orders = [make(item, true, fence)];
        self.memory.enqueue(self.now, seal, &orders, steps);
    }

    fn deliver(&mut self, which: usize, again: bool, answered: bool, steps: &mut Vec<Step>) {
        if self.flight.is_empty() {
            return;
        }
        let which = which % self.flight.len();
        let flight = self.flight[which].clone();
        if !again {
            self.flight.remove(which);
        }
        if !self.accepts(&flight) {
            return;
        }
        self.seen = self.seen.max(flight.stamp);
        match &flight.order.action {
            Action::Load { weights, bytes } => {
                self.contents.insert(weights.clone(), *bytes);
            }
            Action::Unload { weights } => {
                self.contents.remove(weights);
            }
            Action::Turn { .. } => {}
        }
        if answered && self.carried.as_ref() == Some(&flight) {
            self.conclude(Outcome::Done, steps);
        }
    }

    fn accepts(&self, flight: &Flight) -> bool {
        let current = flight.incarnation == self.capacity.incarnation;
        match self.capacity.fencing {
            Fencing::Ignored => true,
            Fencing::Checked => flight.stamp >= self.seen && current,
        }
    }

    fn conclude(&mut self, outcome: Outcome, steps: &mut Vec<Step>) {
        if let Some(Flight { order, stamp, .. }) = self.carried.take() {
            self.memory
                .conclude(self.now, &order, stamp, outcome, steps);
        }
    }

    fn look(&mut self) {
        let Some(stamp) = self.asked.take() else {
            return;
        };
        self.seen = self.seen.max(stamp);
        let contents = self.contents.iter().map(|(weights, &bytes)| Content {
            weights: weights.clone(),
            bytes,
        });
        self.told = Some(Inventory {
            incarnation: self.capacity.incarnation,
            newest: self.seen,
            stage: Stage::Mixed,
            contents: contents.collect(),
        });
    }

    fn tell(&mut self, lost: bool, steps: &mut Vec<Step>) {
        if let Some(inventory) = self.told.take() {
            let inventory = (!lost).then_some(&inventory);
            self.memory
                .finish_inspection(self.now, "engine", inventory, steps);
        }
    }

    fn restart_agent(&mut self) {
        self.memory = Memory::default();
        self.run += 1;
        self.memory
            .attach(self.now, "engine", &self.capacity, self.run);
        (self.carried, self.asked, self.told) = (None, None, None);
    }

    /// An engine that ignores fences comes back with no more than it had: what
    /// else it held could not be known to anyone while orders are in flight.
    fn restart_engine(&mut self, mask: u8) {
        let before = std::mem::take(&mut self.contents);
        let mut left = BYTES;
        for (index, (name, bytes)) in NAMES.iter().enumerate() {
            let weights = Weights::model(name, 0);
            let had = before.contains_key(&weights);
            let may = had || self.capacity.fencing == Fencing::Checked;
            if may && mask & (1 << index) != 0 && *bytes <= left {
                left -= bytes;
                self.contents.insert(weights, *bytes);
            }
        }
        self.capacity.incarnation += 1;
        self.seen = Stamp::default();
        self.memory
            .attach(self.now, "engine", &self.capacity, self.run);
    }
}

fn make(item: usize, load: bool, fence: Fence) -> Order {
    let (name, bytes) = NAMES[item];
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
    let histories = proptest::collection::vec(happening(), 1..150);
    let result = TestRunner::new(config(CASES)).run(&histories, |history| {
        let mut world = World::open(fencing);
        for happening in history {
            world.run(happening);
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

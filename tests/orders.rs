//! The interface between agent and engine over HTTP, and its faults.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use nutmegyoke_cases::cases;
use nutmegyoke_core::process::Endpoint;
use nutmegyoke_core::process::clock::System;
use nutmegyoke_core::process::order::{Action, Fence, Order, Weights};
use nutmegyoke_core::process::report::{Capacity, Fencing, State};
use nutmegyoke_host::process::engine::Http;
use nutmegyoke_host::process::memory::{Memory, Watcher};
use nutmegyoke_standin::engine::orders::{Fault, Orders};
use nutmegyoke_standin::engine::{Behaviour, memory};
use nutmegyoke_standin::{Announcer, Engine};

const BYTES: u64 = 100;
const FLOOR: u64 = 20;
const LOAD: Duration = Duration::from_millis(50);
const PERIOD: Duration = Duration::from_millis(20);
const TRIES: usize = 150;
const LATE: Duration = Duration::from_millis(300);

/// Remembers the last change that it was told.
#[derive(Default)]
struct Told(RefCell<Option<Endpoint>>);

impl Watcher for Told {
    fn changed(&self, endpoint: &Endpoint, _: SocketAddr) {
        *self.0.borrow_mut() = Some(endpoint.clone());
    }

    fn progressed(&self) {}
}

/// An engine and the memory of its agent.
struct Pair {
    engine: Rc<Engine>,
    orders: Rc<Orders>,
    memory: Rc<Memory<System>>,
    told: Rc<Told>,
}

impl Pair {
    async fn open(fencing: Fencing) -> Self {
        let memory = memory::Memory::open(Capacity {
            bytes: BYTES,
            floor: FLOOR,
            fencing,
            incarnation: 1,
        });
        let orders = Orders::open(memory, LOAD);
        let behaviour = Behaviour {
            name: "engine".to_owned(),
            models: Vec::new(),
            slots: 1,
            token_interval: PERIOD,
        };
        let engine = Engine::bind_with_orders(behaviour, Rc::clone(&orders)).await;
        let told = Rc::new(Told::default());
        let pair = Self {
            engine: engine.unwrap(),
            orders,
            memory: agent(1, &told),
            told,
        };
        pair.announce();
        pair
    }

    fn announce(&self) {
        let announcement = self.engine.announcement();
        let capacity = announcement.capacity.as_ref();
        self.memory
            .announce(&announcement.endpoint, announcement.address, capacity);
    }

    fn order(&self, sequence: u64, action: Action) {
        self.order_of(1, sequence, action);
    }

    fn order_of(&self, term: u64, sequence: u64, action: Action) {
        let fence = Fence { term, sequence };
        let seal = Fence {
            term,
            sequence: sequence - 1,
        };
        let endpoint = "engine".to_owned();
        let order = Order {
            endpoint,
            fence,
            action,
        };
        self.memory.order(seal, &[order], &*self.told);
    }

    /// The reservations as text, such as `a resident, b loading`.
    fn reservations(&self) -> String {
        let reports = self.memory.reports();
        let rows = reports
            .iter()
            .flat_map(|report| report.reservations.iter().flatten());
        let rows: Vec<String> = rows
            .map(|row| format!("{} {}", row.weights.name, row.state))
            .collect();
        rows.join(", ")
    }

    async fn becomes(&self, expected: &str) {
        for _ in 0..TRIES {
            if self.reservations() == expected {
                return;
            }
            compio::time::sleep(PERIOD).await;
        }
        assert_eq!(self.reservations(), expected);
    }

    async fn settled(&self) {
        for _ in 0..TRIES {
            if self.memory.reports().iter().all(|report| report.settled) {
                return;
            }
            compio::time::sleep(PERIOD).await;
        }
        panic!("the ledger never settled");
    }
}

fn agent(run: u64, told: &Rc<Told>) -> Rc<Memory<System>> {
    let client = cyper::Client::new().unwrap();
    let watcher: Weak<Told> = Rc::downgrade(told);
    Memory::spawn(Http::open(client), System, run, watcher)
}

fn load(name: &str) -> Action {
    Action::Load {
        weights: Weights::model(name, 0),
        bytes: 50,
    }
}

fn unload(name: &str) -> Action {
    Action::Unload {
        weights: Weights::model(name, 0),
    }
}

fn block_on<F: Future>(future: F) -> F::Output {
    compio::runtime::Runtime::new().unwrap().block_on(future)
}

/// Loads `a` under a fault, then orders `b`, which fits only if `a` is not there.
fn survives(fault: Option<Fault>, first: &str, last: &str) {
    block_on(async {
        let pair = Pair::open(Fencing::Checked).await;
        pair.settled().await;
        pair.orders.inject(&fault.into_iter().collect::<Vec<_>>());
        pair.order(2, load("a"));
        pair.becomes(first).await;
        pair.order(4, load("b"));
        pair.becomes(last).await;
        compio::time::sleep(LATE + LOAD * 2).await;
        pair.becomes(last).await;
        assert!(pair.orders.memory.peak_bytes() <= BYTES - FLOOR);
    });
}

cases!(survives {
    no_fault: (None, "a resident", "a resident"),
    lost: (Some(Fault::Lost), "a unknown", "b resident"),
    unconfirmed: (Some(Fault::Unconfirmed), "a unknown", "a resident"),
    late: (Some(Fault::Delayed(LATE)), "a unknown", "b resident"),
    twice: (Some(Fault::Duplicated(LATE)), "a resident", "a resident"),
});

#[test]
fn agent_killed_mid_load_finds_the_load_abandoned() {
    block_on(async {
        let mut pair = Pair::open(Fencing::Checked).await;
        pair.settled().await;
        pair.order(2, load("a"));
        pair.becomes("a loading").await;
        pair.memory = agent(2, &pair.told);
        pair.announce();
        pair.settled().await;
        pair.order(4, load("b"));
        pair.becomes("b resident").await;
        compio::time::sleep(LOAD * 3).await;
        assert!(pair.orders.memory.peak_bytes() <= BYTES - FLOOR);
        assert!(!pair.orders.memory.holds("a"));
    });
}

#[test]
fn restarted_engine_is_served_with_what_it_holds() {
    block_on(async {
        let pair = Pair::open(Fencing::Checked).await;
        pair.settled().await;
        pair.order(2, load("a"));
        pair.becomes("a resident").await;
        pair.orders.memory.restart(&[(Weights::model("c", 0), 70)]);
        pair.announce();
        pair.becomes("c resident").await;
        let told = pair.told.0.borrow().clone().unwrap();
        assert_eq!(told.holding, pair.orders.memory.holding());
    });
}

/// Whether an order of an older leader reaches the engine.
fn old_leader_is_refused(fencing: Fencing) {
    block_on(async {
        let pair = Pair::open(fencing).await;
        pair.order_of(5, 2, load("a"));
        compio::time::sleep(LOAD * 3).await;
        let before = pair.reservations();
        pair.order_of(4, 9, unload("a"));
        pair.order_of(4, 11, load("b"));
        compio::time::sleep(LOAD * 3).await;
        assert_eq!(pair.reservations(), before);
        assert!(!pair.orders.memory.holds("b"));
    });
}

cases!(old_leader_is_refused {
    engine_checks_fences: (Fencing::Checked),
    engine_ignores_fences: (Fencing::Ignored),
});

#[test]
fn engine_that_ignores_fences_gets_no_order_from_a_new_agent() {
    block_on(async {
        let pair = Pair::open(Fencing::Ignored).await;
        pair.order(2, load("a"));
        compio::time::sleep(LOAD * 4).await;
        assert!(!pair.memory.reports()[0].settled);
        assert!(!pair.orders.memory.holds("a"));
        let rows = pair.memory.reports();
        let states = rows[0].reservations.iter().flatten();
        assert_eq!(states.filter(|row| row.state != State::Unknown).count(), 0);
    });
}

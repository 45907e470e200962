//! Orders from an agent to an engine over HTTP, and their faults.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use nutmegyoke_cases::cases;
use nutmegyoke_core::process::Endpoint;
use nutmegyoke_core::process::order::{Action, Fence, Order, Weights};
use nutmegyoke_core::process::report::{Capacity, Fencing, State};
use nutmegyoke_host::process::clock::{Kernel, System};
use nutmegyoke_host::process::engine::Http;
use nutmegyoke_host::process::memory::{Memory, Watcher};
use nutmegyoke_standin::engine::orders::{Fault, Orders};
use nutmegyoke_standin::engine::{Behaviour, memory};
use nutmegyoke_standin::{Announcer, Engine};

/// The engine's memory in bytes, and the part of it that must stay free.
const CAPACITY_BYTES: u64 = 100;
const FLOOR_BYTES: u64 = 20;

/// The time that the engine takes to carry out an order.
const LOAD_DURATION: Duration = Duration::from_millis(50);

/// The time between two polls, and between two tokens of the engine.
const INTERVAL: Duration = Duration::from_millis(20);

/// The number of polls, [`INTERVAL`] apart, after which a wait fails.
const MAX_POLLS: usize = 150;

/// The delay of a delayed or duplicated order.
const FAULT_DELAY: Duration = Duration::from_millis(300);

/// Records the last change of the endpoint.
#[derive(Default)]
struct Recorder(RefCell<Option<Endpoint>>);

impl Watcher for Recorder {
    fn changed(&self, endpoint: &Endpoint, _: SocketAddr) {
        *self.0.borrow_mut() = Some(endpoint.clone());
    }

    fn progressed(&self) {}
}

/// An engine and its agent's view of its memory.
struct Fixture {
    engine: Rc<Engine>,
    orders: Rc<Orders>,
    memory: Rc<Memory<System>>,
    recorder: Rc<Recorder>,
}

impl Fixture {
    async fn open(fencing: Fencing) -> Self {
        let memory = memory::Memory::open(Capacity {
            bytes: CAPACITY_BYTES,
            floor: FLOOR_BYTES,
            fencing,
            incarnation: 1,
        });
        let orders = Orders::open(memory, LOAD_DURATION);
        let behaviour = Behaviour {
            name: "engine".to_owned(),
            models: Vec::new(),
            slots: 1,
            token_interval: INTERVAL,
        };
        let engine = Engine::bind_with_orders(behaviour, Rc::clone(&orders)).await;
        let recorder = Rc::new(Recorder::default());
        let fixture = Self {
            engine: engine.unwrap(),
            orders,
            memory: agent(1, &recorder),
            recorder,
        };
        fixture.announce();
        fixture
    }

    fn announce(&self) {
        let announcement = self.engine.announcement();
        let capacity = announcement.capacity.as_ref();
        self.memory
            .announce(&announcement.endpoint, announcement.address, capacity);
    }

    fn order(&self, sequence: u64, action: Action) {
        self.order_in_term(1, sequence, action);
    }

    fn order_in_term(&self, term: u64, sequence: u64, action: Action) {
        let fence = Fence { term, sequence };
        let min_fence = Fence {
            term,
            sequence: sequence - 1,
        };
        let endpoint = "engine".to_owned();
        let order = Order {
            endpoint,
            fence,
            action,
        };
        self.memory.order(min_fence, &[order], &*self.recorder);
    }

    /// Returns the reservations as text, such as `a resident, b loading`.
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

    async fn wait_for_reservations(&self, expected: &str) {
        for _ in 0..MAX_POLLS {
            if self.reservations() == expected {
                return;
            }
            compio::time::sleep(INTERVAL).await;
        }
        assert_eq!(self.reservations(), expected);
    }

    /// Waits until an inventory of the engine has confirmed the agent's ledger.
    async fn wait_until_settled(&self) {
        for _ in 0..MAX_POLLS {
            if self.memory.reports().iter().all(|report| report.settled) {
                return;
            }
            compio::time::sleep(INTERVAL).await;
        }
        panic!("no inventory confirmed the ledger in time");
    }
}

/// Spawns the agent's side of the interface.
fn agent(incarnation: u64, recorder: &Rc<Recorder>) -> Rc<Memory<System>> {
    let client = cyper::Client::new().unwrap();
    let watcher: Weak<Recorder> = Rc::downgrade(recorder);
    Memory::spawn(
        Http::open(client),
        System::open(Kernel),
        incarnation,
        watcher,
    )
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

/// Loads `a` under a fault, then orders a load of `b`, which fits only without `a`. Checks
/// the reservations after each of the two, and that memory was never overcommitted.
fn memory_is_not_overcommitted(fault: Option<Fault>, first: &str, last: &str) {
    block_on(async {
        let fixture = Fixture::open(Fencing::Checked).await;
        fixture.wait_until_settled().await;
        fixture
            .orders
            .inject(&fault.into_iter().collect::<Vec<_>>());
        fixture.order(2, load("a"));
        fixture.wait_for_reservations(first).await;
        fixture.order(4, load("b"));
        fixture.wait_for_reservations(last).await;
        compio::time::sleep(FAULT_DELAY + LOAD_DURATION * 2).await;
        fixture.wait_for_reservations(last).await;
        assert!(fixture.orders.memory.peak_bytes() <= CAPACITY_BYTES - FLOOR_BYTES);
    });
}

cases!(memory_is_not_overcommitted {
    no_fault: (None, "a resident", "a resident"),
    order_lost: (Some(Fault::Lost), "a unknown", "b resident"),
    order_unconfirmed: (Some(Fault::Unconfirmed), "a unknown", "a resident"),
    order_delayed: (Some(Fault::Delayed(FAULT_DELAY)), "a unknown", "b resident"),
    order_duplicated: (
        Some(Fault::Duplicated(FAULT_DELAY)),
        "a resident",
        "a resident"
    ),
});

/// A restarted agent does not know of the load that its predecessor ordered. Its inspection
/// carries a newer stamp, on which the engine drops that load. Otherwise `a` and `b` together
/// would exceed the memory.
#[test]
fn load_is_abandoned_when_its_agent_restarts() {
    block_on(async {
        let mut fixture = Fixture::open(Fencing::Checked).await;
        fixture.wait_until_settled().await;
        fixture.order(2, load("a"));
        fixture.wait_for_reservations("a loading").await;
        fixture.memory = agent(2, &fixture.recorder);
        fixture.announce();
        fixture.wait_until_settled().await;
        fixture.order(4, load("b"));
        fixture.wait_for_reservations("b resident").await;
        compio::time::sleep(LOAD_DURATION * 3).await;
        assert!(fixture.orders.memory.peak_bytes() <= CAPACITY_BYTES - FLOOR_BYTES);
        assert!(!fixture.orders.memory.holds("a"));
    });
}

/// A restarted engine has lost the weights that its agent ordered. If they were still
/// announced, requests would be routed to an engine that cannot serve them.
#[test]
fn restarted_engine_is_announced_with_its_inventory() {
    block_on(async {
        let fixture = Fixture::open(Fencing::Checked).await;
        fixture.wait_until_settled().await;
        fixture.order(2, load("a"));
        fixture.wait_for_reservations("a resident").await;
        fixture
            .orders
            .memory
            .restart(&[(Weights::model("c", 0), 70)]);
        fixture.announce();
        fixture.wait_for_reservations("c resident").await;
        let announced = fixture.recorder.0.borrow().clone().unwrap();
        assert_eq!(announced.holding, fixture.orders.memory.holding());
    });
}

/// Orders of a leader with an older term must not reach the engine.
fn old_leader_is_refused(fencing: Fencing) {
    block_on(async {
        let fixture = Fixture::open(fencing).await;
        fixture.order_in_term(5, 2, load("a"));
        compio::time::sleep(LOAD_DURATION * 3).await;
        let before = fixture.reservations();
        fixture.order_in_term(4, 9, unload("a"));
        fixture.order_in_term(4, 11, load("b"));
        compio::time::sleep(LOAD_DURATION * 3).await;
        assert_eq!(fixture.reservations(), before);
        assert!(!fixture.orders.memory.holds("b"));
    });
}

cases!(old_leader_is_refused {
    engine_checks_fences: (Fencing::Checked),
    engine_ignores_fences: (Fencing::Ignored),
});

/// An engine that ignores fences may still carry out an order of the agent's predecessor
/// until that order expires. Until then, a new agent sends no order.
#[test]
fn engine_that_ignores_fences_receives_no_order_from_a_new_agent() {
    block_on(async {
        let fixture = Fixture::open(Fencing::Ignored).await;
        fixture.order(2, load("a"));
        compio::time::sleep(LOAD_DURATION * 4).await;
        assert!(!fixture.memory.reports()[0].settled);
        assert!(!fixture.orders.memory.holds("a"));
        let rows = fixture.memory.reports();
        let states = rows[0].reservations.iter().flatten();
        assert_eq!(states.filter(|row| row.state != State::Unknown).count(), 0);
    });
}

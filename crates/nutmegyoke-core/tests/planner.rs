//! Tests of the planner together with the agents' ledgers under lost messages, restarts and
//! leader changes: memory is never exceeded, and every model and adapter stays or becomes
//! reachable.
//!
//! To run more cases: `NUTMEGYOKE_CASES=5000 cargo test -p nutmegyoke-core --test planner`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use nutmegyoke_cases::{cases, config};
use nutmegyoke_core::process::agent::Memory;
use nutmegyoke_core::process::agent::memory::Command;
use nutmegyoke_core::process::control::Planner;
use nutmegyoke_core::process::control::planner::{Need, Policy, Preset, Settings};
use nutmegyoke_core::process::endpoint::Target;
use nutmegyoke_core::process::order::{Action, Order, Outcome, Stage, Stamp, Weights};
use nutmegyoke_core::process::report::{Capacity, Content, Fencing, Inventory};
use proptest::prelude::*;
use proptest::test_runner::TestRunner;

/// The number of cases of the property test, unless `NUTMEGYOKE_CASES` overrides it.
const DEFAULT_CASES: u32 = 100;

/// The memory of each engine for weights.
const ENGINE_BYTES: u64 = 100;

/// The number of VMs, each with one engine.
const VM_COUNT: usize = 4;

/// How long after the last fault every item has to be reachable.
const RECOVERY_SECONDS: usize = 120;

/// How long after a fault an unload that was ordered before it may still be executed. By
/// then the planner has recalled it.
const RECALL_TIME: Duration = Duration::from_secs(5);

/// The models with their sizes in bytes.
///
/// Together with the adapters they take 240 bytes, and none takes more than 40. On four
/// engines of 100 bytes, some engine therefore holds at most 60 bytes of sole copies, so
/// that there is always memory for a missing model.
const MODELS: [(&str, u64); 6] = [
    ("a", 40),
    ("b", 40),
    ("c", 40),
    ("d", 40),
    ("e", 35),
    ("f", 35),
];

/// The adapters with the index of their model in [`MODELS`] and their sizes in bytes.
const ADAPTERS: [(&str, usize, u64); 2] = [("a-1", 0, 5), ("e-1", 4, 5)];

/// A step of the simulation.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A second passes, with a heartbeat of each agent and a round of the planner.
    Tick,
    /// The answer to the VM's next heartbeat is lost.
    DropAnswer { vm: usize },
    /// The VM's order in flight gets no answer, whether or not the engine executed it.
    LoseOrder { vm: usize, executed: bool },
    /// The agent's process restarts.
    RestartAgent { vm: usize },
    /// The engine restarts with the models whose bits are set in `mask`, as far as they fit.
    RestartEngine { vm: usize, mask: u8 },
    /// The VM fails, or comes back with an empty engine.
    ToggleVm { vm: usize },
    /// Another leader is elected.
    ElectLeader,
}

fn event() -> impl Strategy<Value = Event> {
    let vm = 0..VM_COUNT;
    prop_oneof![
        12 => Just(Event::Tick),
        1 => vm.clone().prop_map(|vm| Event::DropAnswer { vm }),
        1 => (vm.clone(), any::<bool>()).prop_map(|(vm, executed)| Event::LoseOrder { vm, executed }),
        1 => vm.clone().prop_map(|vm| Event::RestartAgent { vm }),
        1 => (vm.clone(), any::<u8>())
            .prop_map(|(vm, mask)| Event::RestartEngine { vm, mask }),
        1 => vm.prop_map(|vm| Event::ToggleVm { vm }),
        1 => Just(Event::ElectLeader),
    ]
}

/// A VM with one engine and its agent.
struct Node {
    name: String,
    memory: Memory,
    agent_incarnation: u64,
    capacity: Capacity,
    contents: BTreeMap<Weights, u64>,
    /// The newest stamp that the engine has seen.
    newest_stamp: Stamp,
    /// The order in flight, with the run of the engine for which it is valid.
    in_flight: Option<(Order, Stamp, u64)>,
    /// The stamp of the inspection in flight.
    inspection: Option<Stamp>,
    /// Whether the answer to the next heartbeat is lost.
    drop_answer: bool,
    up: bool,
}

/// The planner and the VMs.
struct Harness {
    now: Instant,
    term: u64,
    planner: Planner,
    needs: Vec<Need>,
    nodes: Vec<Node>,
    /// Items that may be unreachable because of a fault. An item is removed once it is
    /// reachable again.
    may_be_lost: BTreeSet<Weights>,
    /// When the last fault occurred that may have removed copies.
    last_fault: Instant,
}

fn needs() -> Vec<Need> {
    let models = MODELS.iter().map(|(name, bytes)| Need {
        weights: Weights::model(name, 0),
        bytes: *bytes,
        base: None,
    });
    let adapters = ADAPTERS.iter().map(|(name, base, bytes)| Need {
        weights: Weights::adapter(name, 0),
        bytes: *bytes,
        base: Some(*base),
    });
    models.chain(adapters).collect()
}

impl Node {
    fn open(now: Instant, index: usize) -> Self {
        let capacity = Capacity {
            bytes: ENGINE_BYTES + 10,
            floor: 10,
            fencing: Fencing::Checked,
            incarnation: 1,
        };
        let mut node = Self {
            name: format!("vm-{index}"),
            memory: Memory::default(),
            agent_incarnation: 0,
            capacity,
            contents: BTreeMap::new(),
            newest_stamp: Stamp::default(),
            in_flight: None,
            inspection: None,
            drop_answer: false,
            up: true,
        };
        node.restart_agent(now);
        node
    }

    fn restart_agent(&mut self, now: Instant) {
        self.agent_incarnation += 1;
        self.memory = Memory::default();
        self.memory
            .announce(now, "engine", &self.capacity, self.agent_incarnation);
        (self.in_flight, self.inspection) = (None, None);
    }

    fn restart_engine(&mut self, now: Instant, mask: u8) {
        self.contents.clear();
        let mut free = ENGINE_BYTES;
        for (index, (name, bytes)) in MODELS.iter().enumerate() {
            if mask & (1 << index) != 0 && *bytes <= free {
                free -= bytes;
                self.contents.insert(Weights::model(name, 0), *bytes);
            }
        }
        self.capacity.incarnation += 1;
        self.newest_stamp = Stamp::default();
        self.memory
            .announce(now, "engine", &self.capacity, self.agent_incarnation);
    }

    fn execute(&mut self, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Send {
                    order,
                    stamp,
                    incarnation,
                } => self.in_flight = Some((order, stamp, incarnation)),
                Command::Inspect { stamp, .. } => self.inspection = Some(stamp),
            }
        }
    }

    /// Executes the order in flight on the engine, unless its stamp is outdated or it was
    /// sent to an earlier run of the engine.
    fn run_order(&mut self) {
        let Some((order, stamp, incarnation)) = &self.in_flight else {
            return;
        };
        if *stamp < self.newest_stamp || *incarnation != self.capacity.incarnation {
            return;
        }
        self.newest_stamp = *stamp;
        match &order.action {
            Action::Load { weights, bytes } => {
                self.contents.insert(weights.clone(), *bytes);
            }
            Action::Unload { weights } => {
                self.contents.remove(weights);
            }
            Action::Turn { .. } => {}
        }
        let used: u64 = self.contents.values().sum();
        assert!(
            used <= ENGINE_BYTES,
            "the engine on {} holds {used} bytes, but its capacity is {ENGINE_BYTES}",
            self.name
        );
    }

    /// Reports the outcome of the order in flight to the agent's ledger.
    fn conclude(&mut self, now: Instant, outcome: Outcome) {
        if let Some((order, stamp, _)) = self.in_flight.take() {
            let mut commands = Vec::new();
            self.memory
                .conclude(now, &order, stamp, outcome, &mut commands);
            self.execute(commands);
        }
    }

    fn answer_inspection(&mut self, now: Instant) {
        let Some(stamp) = self.inspection.take() else {
            return;
        };
        self.newest_stamp = self.newest_stamp.max(stamp);
        let contents = self.contents.iter().map(|(weights, &bytes)| Content {
            weights: weights.clone(),
            bytes,
        });
        let inventory = Inventory {
            incarnation: self.capacity.incarnation,
            newest: self.newest_stamp,
            stage: Stage::Mixed,
            contents: contents.collect(),
        };
        let mut commands = Vec::new();
        self.memory
            .finish_inspection(now, "engine", Some(&inventory), &mut commands);
        self.execute(commands);
    }

    fn serves(&self, weights: &Weights) -> bool {
        self.up && self.contents.contains_key(weights)
    }
}

impl Harness {
    fn open() -> Self {
        let now = Instant::now();
        Self {
            now,
            term: 1,
            planner: Planner::open(now, 1, settings()),
            needs: needs(),
            nodes: (0..VM_COUNT).map(|index| Node::open(now, index)).collect(),
            may_be_lost: BTreeSet::new(),
            last_fault: now,
        }
    }

    fn apply(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Tick => self.tick(),
            Event::DropAnswer { vm } => self.nodes[vm].drop_answer = true,
            Event::LoseOrder { vm, executed } => {
                if executed {
                    self.run_order_on(vm);
                }
                self.nodes[vm].conclude(now, Outcome::Lost);
            }
            Event::RestartAgent { vm } => self.nodes[vm].restart_agent(now),
            Event::RestartEngine { vm, mask } => {
                self.allow_losses();
                self.nodes[vm].restart_engine(now, mask);
            }
            Event::ToggleVm { vm } => {
                self.allow_losses();
                let node = &mut self.nodes[vm];
                node.up = !node.up;
                if node.up {
                    node.restart_engine(now, 0);
                    node.restart_agent(now);
                } else {
                    let name = node.name.clone();
                    self.planner.forget(&name);
                }
            }
            Event::ElectLeader => {
                self.term += 1;
                self.planner = Planner::open(now, self.term, settings());
            }
        }
    }

    /// Permits every item to be unreachable for a while: a fault may remove copies that the
    /// planner relied on.
    fn allow_losses(&mut self) {
        let needed = self.needs.iter().map(|need| need.weights.clone());
        self.may_be_lost = needed.collect();
        self.last_fault = self.now;
    }

    fn tick(&mut self) {
        self.now += Duration::from_secs(1);
        let now = self.now;
        for vm in 0..self.nodes.len() {
            if !self.nodes[vm].up {
                continue;
            }
            self.run_order_on(vm);
            let node = &mut self.nodes[vm];
            node.conclude(now, Outcome::Done);
            node.answer_inspection(now);
            let mut commands = Vec::new();
            node.memory.inspect_due(now, &mut commands);
            node.execute(commands);
            node.answer_inspection(now);
            let reports = node.memory.reports();
            let data_centre = if vm < VM_COUNT / 2 { "alp-a" } else { "klm-b" };
            self.planner
                .report(&node.name, &data_centre.into(), &reports);
            let (fence, orders) = self.planner.orders(&node.name);
            if std::mem::take(&mut node.drop_answer) {
                continue;
            }
            let mut commands = Vec::new();
            node.memory.enqueue(now, fence, &orders, &mut commands);
            node.execute(commands);
        }
        self.planner.plan(now, &self.needs);
        let unreachable = self.unreachable();
        if now > self.last_fault + RECALL_TIME {
            self.may_be_lost
                .retain(|weights| unreachable.contains(weights));
        }
    }

    /// Executes the VM's order in flight and checks that an unload leaves another copy.
    fn run_order_on(&mut self, vm: usize) {
        let order = self.nodes[vm].in_flight.as_ref();
        let unloaded = order.and_then(|(order, ..)| match &order.action {
            Action::Unload { weights } => Some(weights.clone()),
            _ => None,
        });
        let before = self.unreachable();
        self.nodes[vm].run_order();
        if let Some(weights) = unloaded {
            let is_new = |weights: &&Weights| !before.contains(*weights);
            let after = self.unreachable();
            let newly_unreachable = after.iter().filter(is_new);
            let newly_unreachable =
                newly_unreachable.filter(|weights| !self.may_be_lost.contains(*weights));
            assert_eq!(
                newly_unreachable.count(),
                0,
                "unloading {weights} made items unreachable; unreachable now: {after:?}"
            );
        }
    }

    /// The needed items that no engine can serve; an adapter also needs its model on the same
    /// engine.
    fn unreachable(&self) -> BTreeSet<Weights> {
        let is_reachable = |need: &&Need| {
            let base = need.base.map(|base| &self.needs[base].weights);
            let mut nodes = self.nodes.iter();
            nodes
                .any(|node| node.serves(&need.weights) && base.is_none_or(|base| node.serves(base)))
        };
        let needs = self.needs.iter().filter(|need| !is_reachable(need));
        needs.map(|need| need.weights.clone()).collect()
    }
}

fn settings() -> Settings {
    Settings::default()
}

#[test]
fn memory_is_bounded_and_models_stay_reachable_under_faults() {
    let histories = proptest::collection::vec(event(), 1..120);
    let result = TestRunner::new(config(DEFAULT_CASES)).run(&histories, |history| {
        let mut harness = Harness::open();
        for event in history {
            harness.apply(event);
        }
        for vm in 0..VM_COUNT {
            if !harness.nodes[vm].up {
                harness.apply(Event::ToggleVm { vm });
            }
        }
        for _ in 0..RECOVERY_SECONDS {
            harness.apply(Event::Tick);
        }
        assert_eq!(
            harness.unreachable(),
            BTreeSet::new(),
            "items are unreachable {RECOVERY_SECONDS} seconds after the last fault"
        );
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// Checks that every item is reachable `seconds` after `event`, in a fleet that was started
/// with empty engines.
fn recovers(event: Option<Event>, seconds: usize) {
    let mut harness = Harness::open();
    for _ in 0..RECOVERY_SECONDS {
        harness.apply(Event::Tick);
    }
    assert_eq!(harness.unreachable(), BTreeSet::new());
    if let Some(event) = event {
        harness.apply(event);
    }
    for _ in 0..seconds {
        harness.apply(Event::Tick);
    }
    assert_eq!(harness.unreachable(), BTreeSet::new());
}

cases!(recovers {
    on_empty_engines: (None, 0),
    after_a_vm_loss: (Some(Event::ToggleVm { vm: 0 }), 20),
    after_an_empty_engine_restart: (Some(Event::RestartEngine { vm: 1, mask: 0 }), 20),
    after_an_engine_restart_with_other_models: (
        Some(Event::RestartEngine { vm: 1, mask: 0b11 }),
        20
    ),
    after_an_agent_restart: (Some(Event::RestartAgent { vm: 2 }), 5),
    after_a_leader_change: (Some(Event::ElectLeader), 5),
});

#[test]
fn undisturbed_fleet_moves_nothing() {
    let mut harness = Harness::open();
    for _ in 0..RECOVERY_SECONDS {
        harness.apply(Event::Tick);
    }
    let moves = harness.planner.moves();
    for _ in 0..RECOVERY_SECONDS {
        harness.apply(Event::Tick);
    }
    assert_eq!(harness.planner.moves(), moves);
}

impl Harness {
    /// Begins and ends `requests` requests for a model on the first engine that serves it.
    fn serve_requests(&mut self, name: &str, requests: u64) {
        let now = self.now;
        let model = Weights::model(name, 0);
        if let Some(node) = self.nodes.iter_mut().find(|node| node.serves(&model)) {
            let target = Target::Model {
                model: name,
                adapter: None,
            };
            for call in 0..requests {
                node.memory.begin(call, "engine", target);
                node.memory.end(now, call, &mut Vec::new());
            }
        }
    }

    fn copies(&self, name: &str) -> usize {
        let model = Weights::model(name, 0);
        self.nodes.iter().filter(|node| node.serves(&model)).count()
    }
}

/// Checks whether 60 requests per second for one model over `seconds` lead to moves.
fn overload(preset: Preset, seconds: usize, expect_moves: bool) {
    let mut harness = Harness::open();
    harness.planner.set_policy(preset.into());
    for _ in 0..RECOVERY_SECONDS {
        harness.apply(Event::Tick);
    }
    let before = harness.planner.moves();
    for _ in 0..seconds {
        harness.serve_requests("a", 60);
        harness.apply(Event::Tick);
    }
    for _ in 0..RECOVERY_SECONDS {
        harness.apply(Event::Tick);
    }
    assert_eq!(harness.planner.moves() != before, expect_moves);
    assert_eq!(harness.copies("a") > 2, expect_moves);
    assert_eq!(harness.unreachable(), BTreeSet::new());
}

cases!(overload {
    one_minute: (Preset::AttainmentFirst, 60, false),
    six_minutes: (Preset::AttainmentFirst, 360, true),
    six_minutes_moves_first: (Preset::MovesFirst, 360, false),
    half_an_hour_moves_first: (Preset::MovesFirst, 1800, true),
});

/// Rebalancing moves and the unloads that free memory for them share an hourly budget.
#[test]
fn rebalancing_stays_within_its_budget() {
    const HOUR_SECONDS: usize = 3600;
    const MODEL_SECONDS: usize = 120;
    let policy = Policy {
        min_overload: Duration::from_secs(10),
        min_gain: 0.01,
        moves_per_engine_hour: 6.0,
        ..Preset::MovesFirst.into()
    };
    let mut harness = Harness::open();
    harness.planner.set_policy(policy);
    for _ in 0..RECOVERY_SECONDS {
        harness.apply(Event::Tick);
    }
    let before = harness.planner.moves();
    for second in 0..HOUR_SECONDS {
        let (name, _) = MODELS[second / MODEL_SECONDS % MODELS.len()];
        harness.serve_requests(name, 60);
        harness.apply(Event::Tick);
    }
    let after = harness.planner.moves();
    let moves = after.rebalancing - before.rebalancing + after.unloads - before.unloads;
    let hourly_budget = 6 * VM_COUNT as u64;
    // One move may be left in the budget when the hour begins, and the last rebalancing may
    // overdraw it by the unloads that free memory for one model: a model and an adapter.
    let limit = hourly_budget + 1 + 2;
    assert!(
        moves > 0 && moves <= limit,
        "{moves} moves, expected 1 to {limit}: {after:?}"
    );
}

/// Two engines of 100 bytes hold a model of 50 bytes each. A third model of 60 bytes fits
/// only after one of these has been moved to the other engine.
#[test]
fn sole_copy_is_moved_to_make_room() {
    let mut harness = Harness::open();
    harness.nodes.truncate(2);
    harness.needs.clear();
    for (vm, name) in ["p", "q"].into_iter().enumerate() {
        let weights = Weights::model(name, 0);
        harness.nodes[vm].contents.insert(weights.clone(), 50);
        harness.needs.push(Need {
            weights,
            bytes: 50,
            base: None,
        });
    }
    harness.needs.push(Need {
        weights: Weights::model("r", 0),
        bytes: 60,
        base: None,
    });
    for _ in 0..20 {
        harness.apply(Event::Tick);
    }
    assert_eq!(harness.unreachable(), BTreeSet::new());
}

//! Attainment per accelerator and moves of the planner, driven directly.
//!
//! `cargo bench --bench placement [-- kayal|ciclofit|target]`. Every policy sees
//! the same trace from the same warmed-up placement. Attainment is the share of
//! requests served, where an engine serves `ENGINE_RATE` requests a second,
//! requests go to the copies of their model in proportion to what each has left,
//! and what exceeds an engine's rate is lost; per accelerator: requests a
//! second served, divided by the engines.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegyoke_core::process::control::Planner;
use nutmegyoke_core::process::control::planner::{Limits, Need, Policy, Preset, Settings};
use nutmegyoke_core::process::order::{Action, Fence, Kind, Stage, Weights};
use nutmegyoke_core::process::report::{Demand, Report, Reservation, State};

const SEED: u64 = 20_261_204;
const ENGINE_RATE: f64 = 10.0;
const GIB: u64 = 1 << 30;
/// Memory of an engine for weights.
const ENGINE_BYTES: u64 = 60 * GIB;
/// Requests at the start, as a share of what all engines serve.
const UTILISATION: f64 = 0.6;
const WARM_UP: u32 = 3600;
const HOUR: u32 = 3600;
/// The time that a model takes to load.
const LOAD_S: u32 = 4;

/// A user's size.
struct Size {
    name: &'static str,
    preset: Preset,
    centres: usize,
    vms: usize,
    engines: usize,
    models: usize,
    adapters: usize,
    store: Limits,
    /// Seconds between two rounds.
    step: u32,
}

/// What demand does in the measured hour.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trace {
    Steady,
    /// Each model between a third and thrice its base and a little over, tenfold
    /// from trough to peak, on its own phase of one hour.
    Swings,
    /// A fifth of the models tenfold for one minute.
    Burst,
    /// A VM is lost after ten minutes.
    VmLoss,
    /// A data centre is lost after ten minutes.
    CentreLoss,
}

const TRACES: [Trace; 5] = [
    Trace::Steady,
    Trace::Swings,
    Trace::Burst,
    Trace::VmLoss,
    Trace::CentreLoss,
];

#[derive(Clone)]
struct Vm {
    name: String,
    centre: String,
    reports: Vec<Report>,
    up: bool,
}

#[derive(Clone)]
struct World {
    planner: Planner,
    needs: Vec<Need>,
    vms: Vec<Vm>,
    /// Loads under way: when they end, VM, engine, weights.
    loading: Vec<(u32, usize, usize, Weights)>,
    base: Vec<f64>,
    phase: Vec<f64>,
    counters: HashMap<String, f64>,
    start: Instant,
    second: u32,
    spent: Vec<Duration>,
}

/// The figures of one run.
#[derive(Default)]
struct Figure {
    asked: f64,
    served: f64,
    unreachable: f64,
    moves: u64,
}

fn sizes() -> [Size; 3] {
    let store = |loads_per_second, concurrent_loads, concurrent_adapters| Limits {
        loads_per_second,
        concurrent_loads,
        concurrent_adapters,
    };
    [
        Size {
            name: "kayal",
            preset: Preset::AttainmentFirst,
            centres: 3,
            vms: 10,
            engines: 20,
            models: 21,
            adapters: 110,
            store: store(2.0, 7, 55),
            step: 1,
        },
        Size {
            name: "ciclofit",
            preset: Preset::MovesFirst,
            centres: 4,
            vms: 9,
            engines: 9,
            models: 14,
            adapters: 40,
            store: store(1.0, 5, 40),
            step: 1,
        },
        Size {
            name: "target",
            preset: Preset::AttainmentFirst,
            centres: 10,
            vms: 340,
            engines: 3800,
            models: 520,
            adapters: 2700,
            store: store(40.0, 140, 1100),
            step: 5,
        },
    ]
}

impl World {
    fn open(size: &Size, policy: Policy) -> Self {
        let mut random = fastrand::Rng::with_seed(SEED);
        let start = Instant::now();
        let settings = Settings {
            policy,
            limits: size.store,
            engine_rate: ENGINE_RATE,
        };
        let mut needs = Vec::new();
        for model in 0..size.models {
            needs.push(Need {
                weights: Weights::model(&format!("model-{model}"), 0),
                bytes: random.u64(8..28) * GIB,
                base: None,
            });
        }
        for adapter in 0..size.adapters {
            needs.push(Need {
                weights: Weights::adapter(&format!("adapter-{adapter}"), 0),
                bytes: random.u64(1..4) * GIB / 20,
                base: Some(random.usize(0..size.models)),
            });
        }
        let mut vms: Vec<Vm> = (0..size.vms)
            .map(|index| Vm {
                name: format!("vm-{index}"),
                centre: format!("centre-{}", index % size.centres),
                reports: Vec::new(),
                up: true,
            })
            .collect();
        for engine in 0..size.engines {
            let vm = &mut vms[engine % size.vms];
            vm.reports.push(Report {
                endpoint: format!("engine-{engine}"),
                bytes: ENGINE_BYTES,
                fence: Fence {
                    term: 1,
                    sequence: 0,
                },
                settled: true,
                stage: Stage::Mixed,
                reservations: Some(Vec::new()),
                demand: Vec::new(),
            });
        }
        let shares: Vec<f64> = (0..size.models)
            .map(|rank| 1.0 / (to(rank) + 1.0))
            .collect();
        let total: f64 = shares.iter().sum();
        let asked = UTILISATION * ENGINE_RATE * to(size.engines);
        Self {
            planner: Planner::open(start, 1, settings),
            needs,
            vms,
            loading: Vec::new(),
            base: shares.iter().map(|share| share / total * asked).collect(),
            phase: (0..size.models).map(|_| random.f64()).collect(),
            counters: HashMap::new(),
            start,
            second: 0,
            spent: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_secs(u64::from(self.second))
    }

    /// Requests a second for each model, `second` of the measured hour.
    fn demand(&self, trace: Trace, second: u32) -> Vec<f64> {
        let rates = self.base.iter().enumerate();
        rates
            .map(|(model, base)| match trace {
                Trace::Swings => {
                    let turn = f64::from(second) / f64::from(HOUR) + self.phase[model];
                    base * 10f64.powf(0.5 * (turn * std::f64::consts::TAU).sin())
                }
                Trace::Burst if (900..960).contains(&second) && model % 5 == 1 => base * 10.0,
                _ => *base,
            })
            .collect()
    }

    fn step(&mut self, size: &Size, rates: &[f64], plans: bool) {
        self.second += size.step;
        let second = self.second;
        let mut ended = Vec::new();
        self.loading.retain(|load| {
            let done = load.0 <= second;
            if done {
                ended.push(load.clone());
            }
            !done
        });
        for (_, vm, engine, weights) in ended {
            let rows = self.vms[vm].reports[engine]
                .reservations
                .get_or_insert_default();
            if let Some(row) = rows.iter_mut().find(|row| row.weights == weights) {
                row.state = State::Resident;
            }
        }
        if !plans {
            return;
        }
        self.count(size, rates);
        let now = self.now();
        for vm in 0..self.vms.len() {
            if self.vms[vm].up {
                self.exchange(vm);
            }
        }
        let began = Instant::now();
        self.planner.plan(now, &self.needs);
        self.spent.push(began.elapsed());
    }

    /// Lets the first engine that is up count every request.
    fn count(&mut self, size: &Size, rates: &[f64]) {
        let Some(vm) = self.vms.iter_mut().find(|vm| vm.up) else {
            return;
        };
        let mut demand = Vec::new();
        for (model, rate) in rates.iter().enumerate() {
            let name = format!("model-{model}");
            let counter = self.counters.entry(name.clone()).or_default();
            *counter += rate * f64::from(size.step);
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let requests = *counter as u64;
            demand.push(Demand { name, requests });
        }
        vm.reports[0].demand = demand;
    }

    fn exchange(&mut self, vm: usize) {
        let Vm {
            name,
            centre,
            reports,
            ..
        } = &mut self.vms[vm];
        self.planner.report(name, &centre.as_str().into(), reports);
        let (_, orders) = self.planner.orders(name);
        for order in orders {
            let engine = reports
                .iter()
                .position(|report| report.endpoint == order.endpoint);
            let Some(engine) = engine else {
                continue;
            };
            let report = &mut reports[engine];
            report.fence = order.fence;
            let rows = report.reservations.get_or_insert_default();
            match order.action {
                Action::Load { weights, bytes } => {
                    let held: u64 = rows.iter().map(|row| row.bytes).sum();
                    assert!(
                        held + bytes <= report.bytes,
                        "{weights} of {bytes} bytes does not fit beside {rows:?}"
                    );
                    let time = if weights.kind == Kind::Model {
                        LOAD_S
                    } else {
                        1
                    };
                    let ends = self.second + time;
                    self.loading.push((ends, vm, engine, weights.clone()));
                    rows.push(Reservation {
                        weights,
                        bytes,
                        state: State::Loading,
                    });
                }
                Action::Unload { weights } => rows.retain(|row| row.weights != weights),
                Action::Turn { .. } => {}
            }
        }
    }

    /// Adds what is asked, served and unreachable in this step to the figures.
    fn measure(&self, size: &Size, rates: &[f64], figure: &mut Figure) {
        let mut holders: Vec<Vec<usize>> = vec![Vec::new(); rates.len()];
        let index: HashMap<&Weights, usize> = self
            .needs
            .iter()
            .take(rates.len())
            .enumerate()
            .map(|(index, need)| (&need.weights, index))
            .collect();
        let mut engines = 0;
        for vm in &self.vms {
            for report in &vm.reports {
                for row in report.reservations.iter().flatten() {
                    let serves = vm.up && row.state == State::Resident;
                    if let (true, Some(&model)) = (serves, index.get(&row.weights)) {
                        holders[model].push(engines);
                    }
                }
                engines += 1;
            }
        }
        let time = f64::from(size.step);
        let mut parts: Vec<Vec<f64>> = holders
            .iter()
            .zip(rates)
            .map(|(engines, rate)| vec![rate / to(engines.len().max(1)); engines.len()])
            .collect();
        let mut loads = vec![0.0; engines];
        for _ in 0..ROUTING_ROUNDS {
            sum(&holders, &parts, &mut loads);
            for ((engines, parts), rate) in holders.iter().zip(&mut parts).zip(rates) {
                for (engine, part) in engines.iter().zip(parts.iter_mut()) {
                    *part *= ENGINE_RATE / loads[*engine].max(0.01);
                }
                let all: f64 = parts.iter().sum();
                for part in parts.iter_mut() {
                    *part *= rate / all;
                }
            }
        }
        sum(&holders, &parts, &mut loads);
        for ((engines, parts), rate) in holders.iter().zip(&parts).zip(rates) {
            figure.asked += rate * time;
            if engines.is_empty() {
                figure.unreachable += rate * time;
            }
            for (engine, part) in engines.iter().zip(parts) {
                figure.served += part * (ENGINE_RATE / loads[*engine]).min(1.0) * time;
            }
        }
    }

    fn fail(&mut self, trace: Trace, second: u32) {
        if second != 600 {
            return;
        }
        for vm in &mut self.vms {
            let lost = match trace {
                Trace::VmLoss => vm.name == "vm-1",
                Trace::CentreLoss => vm.centre == "centre-1",
                _ => false,
            };
            if lost {
                vm.up = false;
                self.planner.forget(&vm.name);
            }
        }
    }

    fn run(&mut self, size: &Size, trace: Trace, plans: bool) -> Figure {
        let before = self.planner.moves();
        let mut figure = Figure::default();
        for second in (0..HOUR).step_by(size.step as usize) {
            self.fail(trace, second);
            let rates = self.demand(trace, second);
            self.step(size, &rates, plans);
            self.measure(size, &rates, &mut figure);
        }
        let after = self.planner.moves();
        figure.moves = (after.loads + after.rebalancing + after.unloads)
            - (before.loads + before.rebalancing + before.unloads);
        figure
    }
}

/// Rounds in which requests move to the engines that have more left.
const ROUTING_ROUNDS: u32 = 6;

fn sum(holders: &[Vec<usize>], parts: &[Vec<f64>], loads: &mut [f64]) {
    loads.fill(0.0);
    for (engines, parts) in holders.iter().zip(parts) {
        for (engine, part) in engines.iter().zip(parts) {
            loads[*engine] += part;
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn to(count: usize) -> f64 {
    count as f64
}

/// Follows every overload at once, whatever it moves.
fn greedy() -> Policy {
    Policy {
        min_overload: Duration::ZERO,
        min_gain: 0.0,
        moves_per_engine_hour: 1e6,
        high_utilisation: 0.85,
        low_utilisation: 0.7,
    }
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

fn report(size: &Size, trace: Trace, policy: &str, figure: &Figure) {
    let hour = f64::from(HOUR);
    println!(
        "{:<9} {:<11} {:<17} {:>7.4} {:>9.3} {:>10.5} {:>7}",
        size.name,
        format!("{trace:?}"),
        policy,
        figure.served / figure.asked,
        figure.served / hour / to(size.engines),
        figure.unreachable / figure.asked,
        figure.moves,
    );
}

fn measure(size: &Size) {
    let before = resident_kib();
    let mut warm = World::open(size, size.preset.into());
    for _ in (0..WARM_UP).step_by(size.step as usize) {
        let rates = warm.demand(Trace::Steady, 0);
        warm.step(size, &rates, true);
    }
    let policies = [
        (size.preset.to_string(), Some(Policy::from(size.preset))),
        ("greedy".to_owned(), Some(greedy())),
        ("static".to_owned(), None),
    ];
    for trace in TRACES {
        for (name, policy) in &policies {
            let mut world = warm.clone();
            if let Some(policy) = policy {
                world.planner.set_policy(*policy);
            }
            let figure = world.run(size, trace, policy.is_some());
            report(size, trace, name, &figure);
        }
    }
    warm.spent.sort_unstable();
    let count = u32::try_from(warm.spent.len()).unwrap_or(1);
    let mean = warm.spent.iter().sum::<Duration>() / count;
    println!(
        "{:<9} planner: {mean:?} a round on average, {:?} at most, {} rounds; {} KiB more resident",
        size.name,
        warm.spent.last().copied().unwrap_or_default(),
        count,
        resident_kib().saturating_sub(before),
    );
}

fn main() {
    let chosen = std::env::args().skip(1).find(|name| !name.starts_with('-'));
    println!("size      trace       policy            served  per accel  unreachable  moves");
    for size in sizes() {
        if chosen.as_ref().is_none_or(|name| name == size.name) {
            measure(&size);
        }
    }
}

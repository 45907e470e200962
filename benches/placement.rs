//! Compares the planner's policies by attainment per accelerator and by moves.
//!
//! `cargo bench --bench placement [-- kayal|ciclofit|target]` drives the planner without a
//! network. Every policy sees the same trace and starts from the same placement, made in a
//! warm-up period. Attainment is the fraction of the requests that are served. An engine
//! serves [`ENGINE_REQUESTS_PER_SECOND`]; the requests for a model go to its copies according
//! to the spare capacity of their engines, and requests beyond an engine's rate are lost.
//! Attainment per accelerator is the number of requests served per second and engine.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegyoke_core::process::control::Planner;
use nutmegyoke_core::process::control::planner::{Limits, Need, Policy, Preset, Settings};
use nutmegyoke_core::process::order::{Action, Fence, Kind, Stage, Weights};
use nutmegyoke_core::process::report::{Demand, Report, Reservation, State};

const SEED: u64 = 20_261_204;
/// The capacity of an engine.
const ENGINE_REQUESTS_PER_SECOND: f64 = 10.0;
const GIB: u64 = 1 << 30;
/// The memory of an engine for weights.
const ENGINE_MEMORY_BYTES: u64 = 60 * GIB;
/// The total request rate, without swings and bursts, as a fraction of all engines' capacity.
const INITIAL_UTILISATION: f64 = 0.6;
/// The time for the planner to make the initial placement, in virtual time.
const WARM_UP_SECONDS: u32 = 3600;
/// The length of the measured period and of a swing, in virtual time.
const HOUR_SECONDS: u32 = 3600;
/// The load time of a model. An adapter loads in one second.
const MODEL_LOAD_SECONDS: u32 = 4;

/// The dimensions of a fleet: those of one of the first two users, or the target size.
struct Size {
    name: &'static str,
    preset: Preset,
    data_centres: usize,
    vms: usize,
    engines: usize,
    models: usize,
    adapters: usize,
    /// The limits of the weight store.
    limits: Limits,
    /// The virtual time between two planning rounds.
    step_seconds: u32,
}

/// What changes in the measured hour. `Debug` gives the name that is printed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trace {
    Steady,
    /// The rate of each model swings between 0.32 and 3.16 times its base rate, tenfold from
    /// trough to peak, with a period of one hour and a phase of its own.
    Swings,
    /// The rate of a fifth of the models is ten times as high for one minute.
    Burst,
    /// A VM fails after ten minutes.
    VmLoss,
    /// A data centre fails after ten minutes.
    CentreLoss,
}

const TRACES: [Trace; 5] = [
    Trace::Steady,
    Trace::Swings,
    Trace::Burst,
    Trace::VmLoss,
    Trace::CentreLoss,
];

/// A VM and the state of its engines.
#[derive(Clone)]
struct Vm {
    name: String,
    data_centre: String,
    reports: Vec<Report>,
    up: bool,
}

/// A fleet in virtual time, with a planner.
#[derive(Clone)]
struct Simulation {
    planner: Planner,
    needs: Vec<Need>,
    vms: Vec<Vm>,
    /// The loads in flight: the second at which each ends, the indices of the VM and of the engine
    /// on it, and the weights.
    loading: Vec<(u32, usize, usize, Weights)>,
    /// The requests per second for each model, without swings and bursts.
    base_rates: Vec<f64>,
    /// The phase of each model's swings, as a fraction of the period.
    phases: Vec<f64>,
    /// The number of requests since the start, by model.
    request_counters: HashMap<String, f64>,
    start: Instant,
    elapsed_seconds: u32,
    /// The wall-clock time of each planning round.
    planning_times: Vec<Duration>,
}

/// The results of one run.
#[derive(Default)]
struct Statistics {
    /// Requests sent.
    offered: f64,
    served: f64,
    /// Requests for a model without a resident copy.
    unreachable: f64,
    /// Loads and unloads of models and adapters.
    moves: u64,
}

fn sizes() -> [Size; 3] {
    let limits = |loads_per_second, concurrent_loads, concurrent_adapters| Limits {
        loads_per_second,
        concurrent_loads,
        concurrent_adapters,
    };
    [
        Size {
            name: "kayal",
            preset: Preset::AttainmentFirst,
            data_centres: 3,
            vms: 10,
            engines: 20,
            models: 21,
            adapters: 110,
            limits: limits(2.0, 7, 55),
            step_seconds: 1,
        },
        Size {
            name: "ciclofit",
            preset: Preset::MovesFirst,
            data_centres: 4,
            vms: 9,
            engines: 9,
            models: 14,
            adapters: 40,
            limits: limits(1.0, 5, 40),
            step_seconds: 1,
        },
        Size {
            name: "target",
            preset: Preset::AttainmentFirst,
            data_centres: 10,
            vms: 340,
            engines: 3800,
            models: 520,
            adapters: 2700,
            limits: limits(40.0, 140, 1100),
            step_seconds: 5,
        },
    ]
}

impl Simulation {
    /// Creates a fleet with empty engines and a demand that follows Zipf's law over the models.
    fn open(size: &Size, policy: Policy) -> Self {
        let mut random = fastrand::Rng::with_seed(SEED);
        let start = Instant::now();
        let settings = Settings {
            policy,
            limits: size.limits,
            engine_rate: ENGINE_REQUESTS_PER_SECOND,
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
                data_centre: format!("centre-{}", index % size.data_centres),
                reports: Vec::new(),
                up: true,
            })
            .collect();
        for engine in 0..size.engines {
            let vm = &mut vms[engine % size.vms];
            vm.reports.push(Report {
                endpoint: format!("engine-{engine}"),
                bytes: ENGINE_MEMORY_BYTES,
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
            .map(|rank| 1.0 / (to_f64(rank) + 1.0))
            .collect();
        let total_share: f64 = shares.iter().sum();
        let total_rate = INITIAL_UTILISATION * ENGINE_REQUESTS_PER_SECOND * to_f64(size.engines);
        Self {
            planner: Planner::open(start, 1, settings),
            needs,
            vms,
            loading: Vec::new(),
            base_rates: shares
                .iter()
                .map(|share| share / total_share * total_rate)
                .collect(),
            phases: (0..size.models).map(|_| random.f64()).collect(),
            request_counters: HashMap::new(),
            start,
            elapsed_seconds: 0,
            planning_times: Vec::new(),
        }
    }

    /// The current virtual time.
    fn now(&self) -> Instant {
        self.start + Duration::from_secs(u64::from(self.elapsed_seconds))
    }

    /// The requests per second for each model in `second` of the measured hour.
    fn request_rates(&self, trace: Trace, second: u32) -> Vec<f64> {
        let rates = self.base_rates.iter().enumerate();
        rates
            .map(|(model, base_rate)| match trace {
                Trace::Swings => {
                    let cycles = f64::from(second) / f64::from(HOUR_SECONDS) + self.phases[model];
                    base_rate * 10f64.powf(0.5 * (cycles * std::f64::consts::TAU).sin())
                }
                Trace::Burst if (900..960).contains(&second) && model % 5 == 1 => base_rate * 10.0,
                _ => *base_rate,
            })
            .collect()
    }

    /// Advances the virtual time by a step. Completes the loads that are due and, with `planning`,
    /// runs a planning round.
    fn advance(&mut self, size: &Size, rates: &[f64], planning: bool) {
        self.elapsed_seconds += size.step_seconds;
        let elapsed_seconds = self.elapsed_seconds;
        let mut ended = Vec::new();
        self.loading.retain(|load| {
            let complete = load.0 <= elapsed_seconds;
            if complete {
                ended.push(load.clone());
            }
            !complete
        });
        for (_, vm, engine, weights) in ended {
            let reservations = self.vms[vm].reports[engine]
                .reservations
                .get_or_insert_default();
            if let Some(reservation) = reservations
                .iter_mut()
                .find(|reservation| reservation.weights == weights)
            {
                reservation.state = State::Resident;
            }
        }
        if !planning {
            return;
        }
        self.count_requests(size, rates);
        let now = self.now();
        for vm in 0..self.vms.len() {
            if self.vms[vm].up {
                self.exchange(vm);
            }
        }
        let started = Instant::now();
        self.planner.plan(now, &self.needs);
        self.planning_times.push(started.elapsed());
    }

    /// Adds the requests of this step to the demand, which the first engine of the first running VM
    /// reports for the whole fleet.
    fn count_requests(&mut self, size: &Size, rates: &[f64]) {
        let Some(vm) = self.vms.iter_mut().find(|vm| vm.up) else {
            return;
        };
        let mut demand = Vec::new();
        for (model, rate) in rates.iter().enumerate() {
            let name = format!("model-{model}");
            let counter = self.request_counters.entry(name.clone()).or_default();
            *counter += rate * f64::from(size.step_seconds);
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let requests = *counter as u64;
            demand.push(Demand { name, requests });
        }
        vm.reports[0].demand = demand;
    }

    /// Reports a VM's engines to the planner and carries out its orders.
    fn exchange(&mut self, vm: usize) {
        let Vm {
            name,
            data_centre,
            reports,
            ..
        } = &mut self.vms[vm];
        self.planner
            .report(name, &data_centre.as_str().into(), reports);
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
            let reservations = report.reservations.get_or_insert_default();
            match order.action {
                Action::Load { weights, bytes } => {
                    let reserved: u64 = reservations
                        .iter()
                        .map(|reservation| reservation.bytes)
                        .sum();
                    assert!(
                        reserved + bytes <= report.bytes,
                        "{weights} with {bytes} bytes does not fit next to {reservations:?}"
                    );
                    let load_seconds = if weights.kind == Kind::Model {
                        MODEL_LOAD_SECONDS
                    } else {
                        1
                    };
                    let ends_at = self.elapsed_seconds + load_seconds;
                    self.loading.push((ends_at, vm, engine, weights.clone()));
                    reservations.push(Reservation {
                        weights,
                        bytes,
                        state: State::Loading,
                    });
                }
                Action::Unload { weights } => {
                    reservations.retain(|reservation| reservation.weights != weights);
                }
                Action::Turn { .. } => {}
            }
        }
    }

    /// Adds the requests of this step to the statistics.
    fn record(&self, size: &Size, rates: &[f64], statistics: &mut Statistics) {
        let mut engines_by_model: Vec<Vec<usize>> = vec![Vec::new(); rates.len()];
        let index: HashMap<&Weights, usize> = self
            .needs
            .iter()
            .take(rates.len())
            .enumerate()
            .map(|(index, need)| (&need.weights, index))
            .collect();
        let mut engine_count = 0;
        for vm in &self.vms {
            for report in &vm.reports {
                for reservation in report.reservations.iter().flatten() {
                    let serving = vm.up && reservation.state == State::Resident;
                    if let (true, Some(&model)) = (serving, index.get(&reservation.weights)) {
                        engines_by_model[model].push(engine_count);
                    }
                }
                engine_count += 1;
            }
        }
        let seconds = f64::from(size.step_seconds);
        let mut assigned_rates: Vec<Vec<f64>> = engines_by_model
            .iter()
            .zip(rates)
            .map(|(engines, rate)| vec![rate / to_f64(engines.len().max(1)); engines.len()])
            .collect();
        let mut loads = vec![0.0; engine_count];
        for _ in 0..ROUTING_ITERATIONS {
            sum_loads(&engines_by_model, &assigned_rates, &mut loads);
            for ((engines, assigned_rates), rate) in
                engines_by_model.iter().zip(&mut assigned_rates).zip(rates)
            {
                for (engine, assigned_rate) in engines.iter().zip(assigned_rates.iter_mut()) {
                    *assigned_rate *= ENGINE_REQUESTS_PER_SECOND / loads[*engine].max(0.01);
                }
                let total: f64 = assigned_rates.iter().sum();
                for assigned_rate in assigned_rates.iter_mut() {
                    *assigned_rate *= rate / total;
                }
            }
        }
        sum_loads(&engines_by_model, &assigned_rates, &mut loads);
        for ((engines, assigned_rates), rate) in
            engines_by_model.iter().zip(&assigned_rates).zip(rates)
        {
            statistics.offered += rate * seconds;
            if engines.is_empty() {
                statistics.unreachable += rate * seconds;
            }
            for (engine, assigned_rate) in engines.iter().zip(assigned_rates) {
                statistics.served += assigned_rate
                    * (ENGINE_REQUESTS_PER_SECOND / loads[*engine]).min(1.0)
                    * seconds;
            }
        }
    }

    /// Takes down the VMs that fail in `second` of the measured hour.
    fn apply_failure(&mut self, trace: Trace, second: u32) {
        if second != 600 {
            return;
        }
        for vm in &mut self.vms {
            let lost = match trace {
                Trace::VmLoss => vm.name == "vm-1",
                Trace::CentreLoss => vm.data_centre == "centre-1",
                _ => false,
            };
            if lost {
                vm.up = false;
                self.planner.forget(&vm.name);
            }
        }
    }

    /// Runs the measured hour. Without `planning` the placement stays as it is.
    fn run(&mut self, size: &Size, trace: Trace, planning: bool) -> Statistics {
        let before = self.planner.moves();
        let mut statistics = Statistics::default();
        for second in (0..HOUR_SECONDS).step_by(size.step_seconds as usize) {
            self.apply_failure(trace, second);
            let rates = self.request_rates(trace, second);
            self.advance(size, &rates, planning);
            self.record(size, &rates, &mut statistics);
        }
        let after = self.planner.moves();
        statistics.moves = (after.loads + after.rebalancing + after.unloads)
            - (before.loads + before.rebalancing + before.unloads);
        statistics
    }
}

/// The iterations of shifting requests to the engines with more spare capacity.
const ROUTING_ITERATIONS: u32 = 6;

/// Sums the rates that are assigned to each engine over the models.
fn sum_loads(engines_by_model: &[Vec<usize>], assigned_rates: &[Vec<f64>], loads: &mut [f64]) {
    loads.fill(0.0);
    for (engines, assigned_rates) in engines_by_model.iter().zip(assigned_rates) {
        for (engine, assigned_rate) in engines.iter().zip(assigned_rates) {
            loads[*engine] += assigned_rate;
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn to_f64(count: usize) -> f64 {
    count as f64
}

/// A policy that responds to every overload immediately, with any number of moves.
fn greedy() -> Policy {
    Policy {
        min_overload: Duration::ZERO,
        min_gain: 0.0,
        moves_per_engine_hour: 1e6,
        high_utilisation: 0.85,
        low_utilisation: 0.7,
    }
}

/// The resident memory of this process in KiB.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

fn print_row(size: &Size, trace: Trace, policy: &str, statistics: &Statistics) {
    let seconds = f64::from(HOUR_SECONDS);
    println!(
        "{:<9} {:<11} {:<17} {:>7.4} {:>9.3} {:>10.5} {:>7}",
        size.name,
        format!("{trace:?}"),
        policy,
        statistics.served / statistics.offered,
        statistics.served / seconds / to_f64(size.engines),
        statistics.unreachable / statistics.offered,
        statistics.moves,
    );
}

/// Makes the initial placement, then runs every trace with every policy.
fn measure(size: &Size) {
    let before = resident_kib();
    let mut initial = Simulation::open(size, size.preset.into());
    for _ in (0..WARM_UP_SECONDS).step_by(size.step_seconds as usize) {
        let rates = initial.request_rates(Trace::Steady, 0);
        initial.advance(size, &rates, true);
    }
    let policies = [
        (size.preset.to_string(), Some(Policy::from(size.preset))),
        ("greedy".to_owned(), Some(greedy())),
        ("static".to_owned(), None),
    ];
    for trace in TRACES {
        for (name, policy) in &policies {
            let mut simulation = initial.clone();
            if let Some(policy) = policy {
                simulation.planner.set_policy(*policy);
            }
            let statistics = simulation.run(size, trace, policy.is_some());
            print_row(size, trace, name, &statistics);
        }
    }
    initial.planning_times.sort_unstable();
    let round_count = u32::try_from(initial.planning_times.len()).unwrap_or(1);
    let mean = initial.planning_times.iter().sum::<Duration>() / round_count;
    println!(
        "{:<9} planner: {mean:?} a round on average, {:?} at most, {} rounds; {} KiB more resident",
        size.name,
        initial.planning_times.last().copied().unwrap_or_default(),
        round_count,
        resident_kib().saturating_sub(before),
    );
}

fn main() {
    let selected = std::env::args().skip(1).find(|name| !name.starts_with('-'));
    println!("size      trace       policy            served  per accel  unreachable  moves");
    for size in sizes() {
        if selected.as_ref().is_none_or(|name| name == size.name) {
            measure(&size);
        }
    }
}

//! Compares the routing policies by attainment, time to the first token, requests to other
//! data centres and the cost of a decision, in virtual time and with fixed seeds.
//!
//! Entries route Poisson arrivals to engines that run a fixed number of requests
//! at once and queue the others. An entry learns an engine's load only from the
//! report in a reply, which it receives with a given lag. During a burst in the
//! middle of the run, the demand for one model is ten times as high.
//!
//! Run with `cargo bench -p nutmegyoke-core --bench route`.

#[path = "route/fleet.rs"]
mod fleet;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use fleet::{CICLOFIT, Fleet, KAYAL, Size, TARGET};
use hdrhistogram::Histogram;
use nutmegyoke_core::process::endpoint::Target;
use nutmegyoke_core::process::entry::route::policy::{
    LeastReported, LocalFirst, PowerOfChoices, RoundRobin,
};
use nutmegyoke_core::process::entry::route::{Candidate, Policy, Router};

/// How long requests keep arriving, in virtual time.
const ARRIVAL_PERIOD: Duration = Duration::from_mins(2);

/// The start and the end of the burst, from the start of the run.
const BURST_INTERVAL: [Duration; 2] = [Duration::from_secs(40), Duration::from_secs(70)];

/// The factor by which the demand for one model rises during the burst.
const BURST_FACTOR: f64 = 10.0;

/// The expected time to the first token.
const EXPECTED_FIRST_TOKEN: Duration = Duration::from_secs(1);

/// The time from the start of a request on its engine to the first token.
const PREFILL: Duration = Duration::from_millis(200);

/// The one-way delay to an engine in the same data centre.
const LOCAL_DELAY: Duration = Duration::from_micros(100);

/// The one-way delay to an engine in another data centre.
const REMOTE_DELAY: Duration = Duration::from_millis(1);

/// The lags of the load reports that are compared, in milliseconds.
const REPORT_LAGS_MS: [u64; 3] = [0, 500, 2000];

const SEED: u64 = 7;

/// An event of the simulation.
#[derive(Debug)]
enum Event {
    Arrived,
    Delivered { request: Request },
    Finished { engine: usize, request: Request },
    LoadReported { candidate: Rc<Candidate>, load: u32 },
}

/// A request that has been routed to an engine.
#[derive(Clone, Debug)]
struct Request {
    candidate: Rc<Candidate>,
    engine: usize,
    /// From the start of the run.
    arrived: Duration,
}

#[derive(Debug, Default)]
struct Engine {
    running: u32,
    queue: VecDeque<Request>,
}

/// The statistics of one run.
struct Statistics {
    /// Requests whose first token was on time.
    attained: u64,
    total: u64,
    /// Requests routed to an engine in another data centre.
    remote: u64,
    /// Times to the first token, in milliseconds.
    first_token_ms: Histogram<u64>,
    /// The wall-clock time spent on routing decisions.
    routing_time: Duration,
}

/// A simulation of one policy.
struct Simulation<'a, P: Policy> {
    fleet: &'a Fleet,
    /// The delay after which an entry receives a load report.
    lag: Duration,
    start: Instant,
    /// The virtual time, from the start of the run.
    now: Duration,
    routers: Vec<Router<P>>,
    engines: Vec<Engine>,
    events: BinaryHeap<Reverse<Timed>>,
    sequence: u64,
    random: fastrand::Rng,
    statistics: Statistics,
}

/// An event with its time, ordered by time and then by insertion.
struct Timed {
    at: Duration,
    sequence: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

impl<'a, P: Policy> Simulation<'a, P> {
    fn open(fleet: &'a Fleet, lag: Duration) -> Self {
        let routers = (0..fleet.size.entries).map(|entry| {
            let mut router = Router::open(&fleet.data_centre(entry), entry as u64);
            router.apply(&fleet.delta);
            router
        });
        Self {
            routers: routers.collect(),
            engines: (0..fleet.size.engines).map(|_| Engine::default()).collect(),
            fleet,
            lag,
            start: Instant::now(),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            random: fastrand::Rng::with_seed(SEED),
            statistics: Statistics {
                attained: 0,
                total: 0,
                remote: 0,
                first_token_ms: Histogram::new(3).unwrap(),
                routing_time: Duration::ZERO,
            },
        }
    }

    fn run(mut self) -> Statistics {
        self.push(Duration::ZERO, Event::Arrived);
        while let Some(Reverse(timed)) = self.events.pop() {
            self.now = timed.at;
            match timed.event {
                Event::Arrived => self.route_request(),
                Event::Delivered { request } => self.deliver(request),
                Event::Finished { engine, request } => self.finish(engine, &request),
                Event::LoadReported { candidate, load } => {
                    candidate.load.report(self.start + self.now, load);
                    candidate.load.decrement();
                }
            }
        }
        self.statistics
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse(Timed {
            at: self.now + after,
            sequence: self.sequence,
            event,
        }));
    }

    fn draw_exponential(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-(1.0 - self.random.f64()).ln())
    }

    fn route_request(&mut self) {
        let in_burst = BURST_INTERVAL[0] <= self.now && self.now < BURST_INTERVAL[1];
        let factor = if in_burst { BURST_FACTOR } else { 1.0 };
        let (model, total_demand) = self.fleet.draw_model(factor, &mut self.random);
        let entry = self.random.usize(..self.routers.len());
        let routing_started = Instant::now();
        let candidate = self.routers[entry].choose(
            self.start + self.now,
            Target::Model {
                model: &self.fleet.models[model],
                adapter: None,
            },
            None,
        );
        self.statistics.routing_time += routing_started.elapsed();
        let candidate = candidate.unwrap();
        candidate.load.increment();
        let engine: usize = candidate.endpoint.parse().unwrap();
        let is_local = self.fleet.data_centre_of(engine) == self.fleet.data_centre(entry);
        self.statistics.remote += u64::from(!is_local);
        let request = Request {
            candidate,
            engine,
            arrived: self.now,
        };
        self.push(
            if is_local { LOCAL_DELAY } else { REMOTE_DELAY },
            Event::Delivered { request },
        );
        if self.now < ARRIVAL_PERIOD {
            let mean =
                Duration::from_secs_f64(1.0 / (self.fleet.size.requests_per_second * total_demand));
            let interarrival = self.draw_exponential(mean);
            self.push(interarrival, Event::Arrived);
        }
    }

    fn deliver(&mut self, request: Request) {
        let engine = &mut self.engines[request.engine];
        if engine.running < self.fleet.size.slots {
            engine.running += 1;
            self.start_generation(request);
        } else {
            engine.queue.push_back(request);
        }
    }

    fn start_generation(&mut self, request: Request) {
        let first_token = self.now.saturating_sub(request.arrived) + PREFILL;
        self.statistics.total += 1;
        self.statistics.attained += u64::from(first_token <= EXPECTED_FIRST_TOKEN);
        let millis = u64::try_from(first_token.as_millis()).unwrap();
        self.statistics.first_token_ms.record(millis).unwrap();
        let service_time = PREFILL + self.draw_exponential(self.fleet.size.decode_time);
        let engine = request.engine;
        self.push(service_time, Event::Finished { engine, request });
    }

    fn finish(&mut self, index: usize, request: &Request) {
        let engine = &mut self.engines[index];
        engine.running -= 1;
        let load = engine.running + u32::try_from(engine.queue.len()).unwrap() + 1;
        if let Some(next) = engine.queue.pop_front() {
            engine.running += 1;
            self.start_generation(next);
        }
        let candidate = Rc::clone(&request.candidate);
        self.push(self.lag, Event::LoadReported { candidate, load });
    }
}

fn measure<P: Policy>(name: &str, fleet: &Fleet, lag_ms: u64) {
    let statistics = Simulation::<P>::open(fleet, Duration::from_millis(lag_ms)).run();
    #[allow(clippy::cast_precision_loss, reason = "counts of a run are small")]
    let share = |part: u64| part as f64 / statistics.total as f64 * 100.0;
    println!(
        "| {} | {lag_ms} | {name} | {:.2} | {} | {:.1} | {} |",
        fleet.size.name,
        share(statistics.attained),
        statistics.first_token_ms.value_at_quantile(0.99),
        share(statistics.remote),
        statistics.routing_time.as_nanos() / u128::from(statistics.total),
    );
}

fn compare(size: &Size) {
    let fleet = Fleet::open(size);
    for lag_ms in REPORT_LAGS_MS {
        measure::<RoundRobin>("round robin", &fleet, lag_ms);
        measure::<LeastReported>("least reported", &fleet, lag_ms);
        measure::<PowerOfChoices>("3 choices, reported", &fleet, lag_ms);
        measure::<LocalFirst>("near first, corrected", &fleet, lag_ms);
    }
}

fn main() {
    println!("| size | lag ms | policy | attained % | p99 first token ms | far % | ns a choice |");
    println!("|---|---|---|---|---|---|---|");
    for size in [KAYAL, CICLOFIT, TARGET] {
        compare(&size);
    }
}

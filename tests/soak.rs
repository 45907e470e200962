//! Soak test: a fleet under load while agents are killed and drained at random.
//!
//! The outcome that each request's caller sees is compared with the number of runs that
//! the endpoints count. `NUTMEGYOKE_SOAK_SECONDS` sets the duration, `NUTMEGYOKE_SEED` the
//! seed, and `NUTMEGYOKE_SOAK_INTERVAL_MS` the interval between requests. The test prints
//! its figures.

mod support;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join3;
use hdrhistogram::Histogram;
use nutmegyoke_cases::cases;
use nutmegyoke_core::process::endpoint::Holding;
use nutmegyoke_standin::{Script, announcer};
use support::Daemon;
use support::fleet::{Entry, Fleet};
use support::scripted::{GRANTS, PLANS};

const AGENTS: usize = 4;
const DEFAULT_SECONDS: u64 = 3;
const DEFAULT_SEED: u64 = 11;

/// The time that an endpoint takes to answer.
const RESPONSE_DELAY: Duration = Duration::from_millis(20);

/// The interval between two requests of any kind, unless `NUTMEGYOKE_SOAK_INTERVAL_MS` is
/// set.
const DEFAULT_INTERVAL_MS: u64 = 20;

/// The time before the first fault in either half of the agents.
const FIRST_FAULT_DELAY: Duration = Duration::from_millis(300);

/// The time between a restart and the next fault in the same half of the agents. It
/// suffices for an announcement and a heartbeat, after which the restarted agent serves.
const RECOVERY_TIME: Duration = Duration::from_millis(2200);

/// The most times that a keyed request is sent, [`RESEND_DELAY`] apart.
const MAX_SENDS: usize = 40;
const RESEND_DELAY: Duration = Duration::from_millis(250);

/// Returns the number in an environment variable, or `default`.
fn env_number(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// The faults that are injected into agents during the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    Drain,
    /// Kills or drains, chosen at random.
    Any,
}

/// The outcome of a request, as far as its caller knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Done,
    Refused,
    Unknown,
}

/// A request that must not run twice.
struct Booking {
    body: String,
    keyed: bool,
    outcome: Outcome,
}

/// An agent process and the name of its settings file.
struct Agent {
    name: String,
    daemon: Daemon,
}

/// The results of all requests.
struct Results {
    bookings: Vec<Booking>,
    lookups: Vec<Outcome>,
    reasons: BTreeMap<String, u64>,
    latency: Histogram<u64>,
    sent: u64,
}

/// The load generator with the entries and endpoints of the fleet.
struct Soak {
    client: cyper::Client,
    entries: Vec<Entry>,
    scripts: Vec<Rc<Script>>,
    results: RefCell<Results>,
}

impl Soak {
    /// Sends one request. Returns its outcome and the error's reason, empty after success.
    async fn send(&self, entry: usize, key: Option<&str>, body: Option<&str>) -> (Outcome, String) {
        let callers = self.entries[entry % self.entries.len()].callers;
        let url = format!("http://{callers}/services/desk/bookings");
        let request = match body {
            Some(body) => self.client.post(url).unwrap().body(body.to_owned()),
            None => self.client.get(url).unwrap(),
        };
        let mut request = request.bearer_auth("demo-key").unwrap();
        if let Some(key) = key {
            request = request.header("idempotency-key", key).unwrap();
        }
        let start = Instant::now();
        let response = request.send().await.unwrap();
        let status = response.status();
        let text = response.text().await.unwrap();
        if status.is_success() {
            let micros = u64::try_from(start.elapsed().as_micros()).unwrap();
            self.results.borrow_mut().latency.record(micros).unwrap();
            return (Outcome::Done, String::new());
        }
        let error: serde_json::Value = serde_json::from_str(&text).unwrap();
        let reason = error["error"]["code"].as_str().unwrap().to_owned();
        *self
            .results
            .borrow_mut()
            .reasons
            .entry(reason.clone())
            .or_default() += 1;
        let outcome = match error["error"]["ran"].as_str().unwrap() {
            "no" => Outcome::Refused,
            _ => Outcome::Unknown,
        };
        (outcome, reason)
    }

    async fn look_up(self: Rc<Self>, number: usize) {
        let (outcome, _) = self.send(number, None, None).await;
        self.results.borrow_mut().lookups.push(outcome);
    }

    async fn book(self: Rc<Self>, number: usize) {
        let body = format!("unkeyed-{number}");
        let (outcome, _) = self.send(number, None, Some(&body)).await;
        self.record_booking(body, false, outcome);
    }

    /// Sends a booking until it is done or its outcome is reported as unknown for good.
    async fn book_keyed(self: Rc<Self>, number: usize) {
        let body = format!("keyed-{number}");
        let mut outcome = Outcome::Refused;
        for resend in 0..MAX_SENDS {
            let (answered, reason) = self.send(number + resend, Some(&body), Some(&body)).await;
            outcome = answered;
            if answered == Outcome::Done
                || (answered == Outcome::Unknown && reason != "still_running")
            {
                break;
            }
            compio::time::sleep(RESEND_DELAY).await;
        }
        self.record_booking(body, true, outcome);
    }

    fn record_booking(&self, body: String, keyed: bool, outcome: Outcome) {
        let booking = Booking {
            body,
            keyed,
            outcome,
        };
        self.results.borrow_mut().bookings.push(booking);
    }

    /// Sends requests at a fixed rate and waits for all their outcomes.
    async fn generate_load(self: &Rc<Self>, duration: Duration) {
        let start = Instant::now();
        let interval = env_number("NUTMEGYOKE_SOAK_INTERVAL_MS", DEFAULT_INTERVAL_MS);
        let interval = Duration::from_millis(interval);
        let mut tasks = Vec::new();
        for number in 0.. {
            let at = interval * u32::try_from(number).unwrap();
            if at > duration {
                break;
            }
            compio::time::sleep_until(start + at).await;
            let soak = Rc::clone(self);
            tasks.push(match number % 4 {
                0 => compio::runtime::spawn(soak.look_up(number)),
                1 => compio::runtime::spawn(soak.book(number)),
                _ => compio::runtime::spawn(soak.book_keyed(number)),
            });
        }
        self.results.borrow_mut().sent = tasks.len() as u64;
        for task in tasks {
            task.await.unwrap();
        }
    }

    fn runs_of(&self, body: &str) -> u64 {
        self.scripts
            .iter()
            .map(|script| script.runs_with_body(body))
            .sum()
    }

    /// Compares the outcomes that callers saw with the runs at the endpoints.
    fn check(&self, fault: Fault) {
        let results = self.results.borrow();
        for Booking {
            body,
            keyed,
            outcome,
        } in &results.bookings
        {
            let runs = self.runs_of(body);
            match outcome {
                Outcome::Done => assert_eq!(runs, 1, "{body}"),
                Outcome::Refused => assert_eq!(
                    runs, 0,
                    "{body} ran although the error reported that it did not"
                ),
                Outcome::Unknown => assert!(runs <= 1, "{body} ran {runs} times"),
            }
            assert!(
                !keyed || *outcome != Outcome::Refused,
                "{body} was refused until the last resend"
            );
            assert!(
                fault == Fault::Any || *outcome == Outcome::Done,
                "{body}: {outcome:?}"
            );
        }
        assert_eq!(
            results.bookings.len() + results.lookups.len(),
            usize::try_from(results.sent).unwrap()
        );
        let failed = results
            .lookups
            .iter()
            .filter(|&&outcome| outcome != Outcome::Done)
            .count();
        assert_eq!(
            failed, 0,
            "repeatable requests failed: {:?}",
            results.reasons
        );
    }

    /// Prints the figures of the run.
    async fn print(&self, fault: Fault, faults: usize) {
        let mut retries = Vec::new();
        for entry in &self.entries {
            retries.extend(
                nonzero_counters(&self.client, entry.operators, "nutmegyoke_retries_total").await,
            );
        }
        let results = self.results.borrow();
        let unknown = results
            .bookings
            .iter()
            .filter(|booking| booking.outcome == Outcome::Unknown);
        let percentile = |quantile| results.latency.value_at_quantile(quantile);
        println!(
            "{fault:?}: {} requests, {faults} faults, {} unknown, p50 {} us, p99 {} us; \
             error reasons {:?}; retries {retries:?}",
            results.sent,
            unknown.count(),
            percentile(0.5),
            percentile(0.99),
            results.reasons,
        );
    }
}

/// Returns the reason and value of each counter called `name` that is not 0.
async fn nonzero_counters(
    client: &cyper::Client,
    operators: SocketAddr,
    name: &str,
) -> Vec<String> {
    let url = format!("http://{operators}/metrics");
    let response = client.get(url).unwrap().send().await.unwrap();
    let text = response.text().await.unwrap();
    let lines = text
        .lines()
        .filter(|line| line.starts_with(name) && !line.ends_with(" 0"));
    let counters = lines.filter_map(|line| {
        let reason = line.split("reason=\"").nth(1)?.split('"').next()?;
        Some(format!("{reason} {}", line.rsplit(' ').next()?))
    });
    counters.collect()
}

/// Kills or drains an agent and restarts it.
async fn inject_fault(mut agent: Agent, kill: bool, folder: PathBuf) -> Agent {
    let restarted = compio::runtime::spawn_blocking(move || {
        if kill {
            agent.daemon.kill();
        } else {
            agent.daemon.terminate();
            let code = agent.daemon.wait();
            assert_eq!(code, Some(0), "a drained agent must exit with 0");
        }
        agent.daemon = Fleet::restart(&folder, &agent.name);
        agent
    });
    restarted.await.unwrap()
}

/// Restarts randomly chosen agents one at a time, the next only after the previous one serves
/// again. Returns the agents and the number of faults.
async fn inject_faults(
    fault: Fault,
    mut agents: Vec<Agent>,
    seed_offset: u64,
    folder: PathBuf,
    duration: Duration,
) -> (Vec<Agent>, usize) {
    let start = Instant::now();
    let mut random =
        fastrand::Rng::with_seed(env_number("NUTMEGYOKE_SEED", DEFAULT_SEED) + seed_offset);
    let mut faults = 0;
    compio::time::sleep(FIRST_FAULT_DELAY).await;
    while fault != Fault::None && start.elapsed() < duration {
        let index = random.usize(..agents.len());
        let agent = agents.swap_remove(index);
        let kill = fault == Fault::Any && random.bool();
        agents.push(inject_fault(agent, kill, folder.clone()).await);
        faults += 1;
        compio::time::sleep(RECOVERY_TIME).await;
    }
    // The caller keeps the agents running until the load has ended.
    (agents, faults)
}

fn requests_are_neither_lost_nor_run_twice(fault: Fault) {
    let duration = Duration::from_secs(env_number("NUTMEGYOKE_SOAK_SECONDS", DEFAULT_SECONDS));
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let fleet = Fleet::spawn();
        // A longer deadline, so that the result does not depend on the speed of the machine.
        let plans = PLANS.replace("deadline-ms = 2000", "deadline-ms = 30000");
        assert!(fleet.apply_lists(1, &plans, GRANTS).status.success());
        let mut agents = Vec::new();
        let mut scripts = Vec::new();
        for number in 0..AGENTS {
            let name = format!("soak-{number}");
            let (daemon, agent_operators) = fleet.add_agent(&name, "");
            agents.push(Agent { name, daemon });
            let holding = Holding::Service {
                service: "desk".into(),
            };
            let script = Script::bind(holding).await.unwrap();
            script.set_response_delay(RESPONSE_DELAY);
            announcer::spawn(&script, agent_operators);
            scripts.push(script);
        }
        let entries = ["soak-entry-1", "soak-entry-2"].map(|name| fleet.spawn_entry(name));
        let soak = Rc::new(Soak {
            client: cyper::Client::new().unwrap(),
            entries: entries.into(),
            scripts,
            results: RefCell::new(Results {
                bookings: Vec::new(),
                lookups: Vec::new(),
                reasons: BTreeMap::new(),
                latency: Histogram::new(3).unwrap(),
                sent: 0,
            }),
        });
        // Two heartbeat periods, after which every entry knows every agent.
        compio::time::sleep(Duration::from_millis(2500)).await;
        let folder = fleet.folder().to_owned();
        let second_agents = agents.split_off(AGENTS / 2);
        let first_half = inject_faults(fault, agents, 0, folder.clone(), duration);
        let second_half = inject_faults(fault, second_agents, 1000, folder, duration);
        let ((), first_half, second_half) =
            join3(soak.generate_load(duration), first_half, second_half).await;
        soak.print(fault, first_half.1 + second_half.1).await;
        soak.check(fault);
    });
}

cases!(requests_are_neither_lost_nor_run_twice {
    no_faults: (Fault::None),
    drained: (Fault::Drain),
    killed_and_drained: (Fault::Any),
});

//! A fleet under load while agents are killed and drained at random.
//!
//! Every request is followed to its end, and its end is compared with the
//! endpoints' own count of runs. `NUTMEGYOKE_SOAK_SECONDS` sets the length,
//! `NUTMEGYOKE_SEED` the seed, `NUTMEGYOKE_SOAK_INTERVAL_MS` the load; the figures are
//! printed.

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
use support::fleet::{Entrance, Fleet};
use support::pair::{GRANTS, PLANS};

const AGENTS: usize = 4;
const SECONDS: u64 = 3;
const SEED: u64 = 11;

/// The time that the endpoints take to answer.
const PACE: Duration = Duration::from_millis(20);

/// Between two requests, of all kinds, unless `NUTMEGYOKE_SOAK_INTERVAL_MS` is set.
const INTERVAL_MS: u64 = 20;

/// Before the first fault of one half of the agents.
const FIRST_FAULT: Duration = Duration::from_millis(300);

/// Between a restart and the next fault: an announcement and a heartbeat, so that
/// another agent of this half serves again.
const SETTLED: Duration = Duration::from_millis(2200);

/// Resends of a keyed request, and the pause before each.
const RESENDS: usize = 40;
const PAUSE: Duration = Duration::from_millis(250);

fn setting(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// What happens to agents during the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    Drain,
    /// Kills and drains in turn, at random.
    Any,
}

/// How a request ended, as its caller knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Done,
    Refused,
    Unknown,
}

/// One request that must not run twice.
struct Booking {
    body: String,
    keyed: bool,
    end: End,
}

/// An agent, and the name of its settings.
struct Agent {
    name: String,
    daemon: Daemon,
}

struct Tally {
    bookings: Vec<Booking>,
    looks: Vec<End>,
    reasons: BTreeMap<String, u64>,
    latency: Histogram<u64>,
    sent: u64,
}

struct Soak {
    client: cyper::Client,
    entries: Vec<Entrance>,
    scripts: Vec<Rc<Script>>,
    tally: RefCell<Tally>,
}

impl Soak {
    /// Sends one request; returns its end and the reason given.
    async fn send(&self, entry: usize, key: Option<&str>, body: Option<&str>) -> (End, String) {
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
        let began = Instant::now();
        let response = request.send().await.unwrap();
        let status = response.status();
        let text = response.text().await.unwrap();
        if status.is_success() {
            let micros = u64::try_from(began.elapsed().as_micros()).unwrap();
            self.tally.borrow_mut().latency.record(micros).unwrap();
            return (End::Done, String::new());
        }
        let error: serde_json::Value = serde_json::from_str(&text).unwrap();
        let reason = error["error"]["code"].as_str().unwrap().to_owned();
        *self
            .tally
            .borrow_mut()
            .reasons
            .entry(reason.clone())
            .or_default() += 1;
        let end = match error["error"]["ran"].as_str().unwrap() {
            "no" => End::Refused,
            _ => End::Unknown,
        };
        (end, reason)
    }

    async fn look(self: Rc<Self>, number: usize) {
        let (end, _) = self.send(number, None, None).await;
        self.tally.borrow_mut().looks.push(end);
    }

    async fn book(self: Rc<Self>, number: usize) {
        let body = format!("unkeyed-{number}");
        let (end, _) = self.send(number, None, Some(&body)).await;
        self.finish(body, false, end);
    }

    /// Sends a booking again until it is done or its end is unknown for good.
    async fn book_keyed(self: Rc<Self>, number: usize) {
        let body = format!("keyed-{number}");
        let mut end = End::Refused;
        for resend in 0..RESENDS {
            let (told, reason) = self.send(number + resend, Some(&body), Some(&body)).await;
            end = told;
            if told == End::Done || (told == End::Unknown && reason != "still_running") {
                break;
            }
            compio::time::sleep(PAUSE).await;
        }
        self.finish(body, true, end);
    }

    fn finish(&self, body: String, keyed: bool, end: End) {
        let booking = Booking { body, keyed, end };
        self.tally.borrow_mut().bookings.push(booking);
    }

    /// Sends requests at a fixed rate and waits for their ends.
    async fn load(self: &Rc<Self>, length: Duration) {
        let began = Instant::now();
        let interval = setting("NUTMEGYOKE_SOAK_INTERVAL_MS", INTERVAL_MS);
        let interval = Duration::from_millis(interval);
        let mut tasks = Vec::new();
        for number in 0.. {
            let at = interval * u32::try_from(number).unwrap();
            if at > length {
                break;
            }
            compio::time::sleep_until(began + at).await;
            let soak = Rc::clone(self);
            tasks.push(match number % 4 {
                0 => compio::runtime::spawn(soak.look(number)),
                1 => compio::runtime::spawn(soak.book(number)),
                _ => compio::runtime::spawn(soak.book_keyed(number)),
            });
        }
        self.tally.borrow_mut().sent = tasks.len() as u64;
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

    /// Compares what callers were told with what ran.
    fn check(&self, fault: Fault) {
        let tally = self.tally.borrow();
        for Booking { body, keyed, end } in &tally.bookings {
            let runs = self.runs_of(body);
            match end {
                End::Done => assert_eq!(runs, 1, "{body}"),
                End::Refused => assert_eq!(runs, 0, "{body} was told that it did not run"),
                End::Unknown => assert!(runs <= 1, "{body} ran {runs} times"),
            }
            assert!(!keyed || *end != End::Refused, "{body} was lost");
            assert!(fault == Fault::Any || *end == End::Done, "{body}: {end:?}");
        }
        assert_eq!(
            tally.bookings.len() + tally.looks.len(),
            usize::try_from(tally.sent).unwrap()
        );
        let failed = tally.looks.iter().filter(|&&end| end != End::Done).count();
        assert_eq!(failed, 0, "repeatable requests failed: {:?}", tally.reasons);
    }

    async fn print(&self, fault: Fault, faults: usize) {
        let mut retries = Vec::new();
        for entry in &self.entries {
            retries
                .extend(counted(&self.client, entry.operators, "nutmegyoke_retries_total").await);
        }
        let tally = self.tally.borrow();
        let unknown = tally
            .bookings
            .iter()
            .filter(|booking| booking.end == End::Unknown);
        let quantile = |share| tally.latency.value_at_quantile(share);
        println!(
            "{fault:?}: {} requests, {faults} faults, {} unknown, p50 {} us, p99 {} us; \
             told {:?}; retries {retries:?}",
            tally.sent,
            unknown.count(),
            quantile(0.5),
            quantile(0.99),
            tally.reasons,
        );
    }
}

/// The counters of `name` that are not 0.
async fn counted(client: &cyper::Client, operators: SocketAddr, name: &str) -> Vec<String> {
    let url = format!("http://{operators}/metrics");
    let response = client.get(url).unwrap().send().await.unwrap();
    let text = response.text().await.unwrap();
    let lines = text
        .lines()
        .filter(|line| line.starts_with(name) && !line.ends_with(" 0"));
    let short = lines.filter_map(|line| {
        let reason = line.split("reason=\"").nth(1)?.split('"').next()?;
        Some(format!("{reason} {}", line.rsplit(' ').next()?))
    });
    short.collect()
}

/// Ends an agent, by force or not, and starts it again.
async fn disturb(mut agent: Agent, kill: bool, folder: PathBuf) -> Agent {
    let restarted = compio::runtime::spawn_blocking(move || {
        if kill {
            agent.daemon.kill();
        } else {
            agent.daemon.terminate();
            let code = agent.daemon.wait();
            assert_eq!(code, Some(0), "a drained agent ends well");
        }
        agent.daemon = Fleet::restart(&folder, &agent.name);
        agent
    });
    restarted.await.unwrap()
}

/// Disturbs one of `agents` after the other; the next one when that one is back.
async fn disturb_all(
    fault: Fault,
    mut agents: Vec<Agent>,
    seed: u64,
    folder: PathBuf,
    length: Duration,
) -> (Vec<Agent>, usize) {
    let began = Instant::now();
    let mut random = fastrand::Rng::with_seed(setting("NUTMEGYOKE_SEED", SEED) + seed);
    let mut faults = 0;
    compio::time::sleep(FIRST_FAULT).await;
    while fault != Fault::None && began.elapsed() < length {
        let victim = random.usize(..agents.len());
        let agent = agents.swap_remove(victim);
        let kill = fault == Fault::Any && random.bool();
        agents.push(disturb(agent, kill, folder.clone()).await);
        faults += 1;
        compio::time::sleep(SETTLED).await;
    }
    // They serve until the load has ended.
    (agents, faults)
}

fn keeps_its_promises(fault: Fault) {
    let length = Duration::from_secs(setting("NUTMEGYOKE_SOAK_SECONDS", SECONDS));
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let fleet = Fleet::spawn();
        // How fast the machine is must not decide what is done in time.
        let plans = PLANS.replace("deadline-ms = 2000", "deadline-ms = 30000");
        assert!(fleet.apply_lists(1, &plans, GRANTS).status.success());
        let mut agents = Vec::new();
        let mut scripts = Vec::new();
        for number in 0..AGENTS {
            let name = format!("soak-{number}");
            let (daemon, announce) = fleet.add_agent(&name, "");
            agents.push(Agent { name, daemon });
            let holding = Holding::Service {
                service: "desk".into(),
            };
            let script = Script::bind(holding).await.unwrap();
            script.set_response_delay(PACE);
            announcer::spawn(&script, announce);
            scripts.push(script);
        }
        let entries = ["soak-entry-1", "soak-entry-2"].map(|name| fleet.spawn_entry(name));
        let soak = Rc::new(Soak {
            client: cyper::Client::new().unwrap(),
            entries: entries.into(),
            scripts,
            tally: RefCell::new(Tally {
                bookings: Vec::new(),
                looks: Vec::new(),
                reasons: BTreeMap::new(),
                latency: Histogram::new(3).unwrap(),
                sent: 0,
            }),
        });
        // Two heartbeats: every agent is known to every entry.
        compio::time::sleep(Duration::from_millis(2500)).await;
        let folder = fleet.folder().to_owned();
        let others = agents.split_off(AGENTS / 2);
        let one = disturb_all(fault, agents, 0, folder.clone(), length);
        let other = disturb_all(fault, others, 1000, folder, length);
        let ((), one, other) = join3(soak.load(length), one, other).await;
        soak.print(fault, one.1 + other.1).await;
        soak.check(fault);
    });
}

cases!(keeps_its_promises {
    calm: (Fault::None),
    drained: (Fault::Drain),
    killed_and_drained: (Fault::Any),
});

//! Tests of the limits that endpoints name: gateways together stay within them, whatever
//! their shares of the requests, and use what they allow.

mod fleet;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use fleet::gateways::{Fleet, engines};
use nutmegyoke_cases::{cases, config};
use nutmegyoke_core::process::gateway::{Command, Event};
use nutmegyoke_core::process::signal::Signal;
use nutmegyoke_core::process::throttle::{Limits, Notice, Pacer, Permit, Statement};
use nutmegyoke_core::request::{Reason, Verdict};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

/// The step of simulated time.
const STEP: Duration = Duration::from_millis(10);

/// The time that an engine takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// The window in which requests are counted against a limit.
const WINDOW: Duration = Duration::from_secs(4);

/// Engines that name a limit, behind gateways.
struct Simulation {
    fleet: Fleet,
    start: Instant,
    /// The requests at engines: when they are answered, the gateway, the call and the engine.
    running: VecDeque<(Instant, usize, u64, String)>,
    /// When requests reached each engine.
    arrivals: BTreeMap<String, Vec<Instant>>,
    refusals: Vec<(Reason, Duration)>,
}

impl Simulation {
    fn open(gateways: usize, count: u8) -> Self {
        let fleet = Fleet::open(gateways, &engines(count));
        Self {
            start: fleet.now,
            fleet,
            running: VecDeque::new(),
            arrivals: BTreeMap::new(),
            refusals: Vec::new(),
        }
    }

    fn elapsed(&self) -> Duration {
        self.fleet.now - self.start
    }

    /// Sends a request to a gateway.
    fn ask(&mut self, gateway: usize) {
        let (_, out) = self.fleet.arrive(gateway, &[1]);
        self.apply(gateway, &out);
    }

    /// Lets time pass, and answers the requests that are due. `notice` is what all engines say.
    fn step(&mut self, notice: Notice) {
        self.step_with(|_| notice);
    }

    /// Lets time pass like [`Simulation::step`]; each engine says something else.
    fn step_with(&mut self, notice: impl Fn(&str) -> Notice) {
        self.fleet.now += STEP;
        let now = self.fleet.now;
        while self.running.front().is_some_and(|row| row.0 <= now) {
            let Some((_, gateway, call, endpoint)) = self.running.pop_front() else {
                return;
            };
            let signal = Signal {
                limit: notice(&endpoint),
                ..Signal::default()
            };
            let verdict = Verdict::Ran;
            for event in [
                Event::Replied {
                    call,
                    started_ms: 1,
                    signal,
                },
                Event::AnswerStarted { call },
                Event::AttemptEnded { call, verdict },
            ] {
                let out = self.fleet.feed(gateway, event);
                self.apply(gateway, &out);
            }
        }
        for gateway in 0..self.fleet.gateways.len() {
            let out = self.fleet.feed(gateway, Event::Ticked);
            self.apply(gateway, &out);
        }
    }

    fn apply(&mut self, gateway: usize, out: &[Command]) {
        let now = self.fleet.now;
        let called = std::mem::take(&mut self.fleet.results);
        let called = called.iter().map(|(index, command)| (*index, command));
        let own = out.iter().map(|command| (gateway, command));
        for (gateway, command) in called.chain(own) {
            match command {
                Command::Dispatch { call, endpoint, .. } => {
                    let id = endpoint.id.clone();
                    self.running
                        .push_back((now + ANSWER_TIME, gateway, *call, id));
                    let arrivals = self.arrivals.entry(endpoint.id.clone());
                    arrivals.or_default().push(now);
                }
                Command::Refuse { refusal, .. } => {
                    let reason = refusal.verdict.reason().unwrap();
                    let retry_after = refusal.retry_after.unwrap_or_default();
                    self.refusals.push((reason, retry_after));
                }
                _ => {}
            }
        }
    }

    /// The most requests that reached an engine in some [`WINDOW`] that begins after `from`.
    fn peak(&self, from: Duration) -> usize {
        let from = self.start + from;
        let peaks = self.arrivals.values().map(|arrivals| {
            let windows = arrivals.iter().filter(|&&at| at >= from);
            let counts = windows.map(|&at| {
                let window = at..at + WINDOW;
                arrivals.iter().filter(|at| window.contains(at)).count()
            });
            counts.max().unwrap_or(0)
        });
        peaks.max().unwrap_or(0)
    }

    fn count(&self, from: Duration) -> usize {
        let from = self.start + from;
        let arrivals = self.arrivals.values().flatten();
        arrivals.filter(|&&at| at >= from).count()
    }
}

/// What an engine may get in a window: one and a half times its limit, and 5.
fn allowed(rate: f64) -> usize {
    let requests = 1.5 * rate * WINDOW.as_secs_f64() + 5.0;
    (0..10_000_u16)
        .rfind(|&count| f64::from(count) <= requests)
        .map_or(0, usize::from)
}

/// Sends 20 requests a second for 20 s through six gateways to an engine that names `rate`,
/// to the gateways that `share` chooses. From 3 s on, the engine must get what the limit
/// allows, and little less than that.
fn gateways_share_the_limit(rate: f64, share: impl Fn(usize) -> usize) {
    let mut simulation = Simulation::open(6, 1);
    for step in 0..2000 {
        if step % 5 == 0 {
            simulation.ask(share(step / 5));
        }
        simulation.step(Notice::Limited { rate });
    }
    let settled = 3 * SECOND;
    let peak = simulation.peak(settled);
    assert!(peak <= allowed(rate), "{peak} requests in 4 s");
    let rest = simulation.elapsed().saturating_sub(settled).as_secs_f64();
    let count = f64::from(u32::try_from(simulation.count(settled)).unwrap());
    assert!(count >= 0.9 * rate * rest, "{count} requests in {rest} s");
    let (reason, retry_after) = simulation.refusals.last().unwrap();
    assert_eq!(*reason, Reason::EndpointLimited);
    assert!(*retry_after > Duration::ZERO && retry_after.as_secs_f64() <= 4.0 / rate);
}

cases!(gateways_share_the_limit {
    evenly: (2.0, |number| number % 6),
    all_at_one_gateway: (2.0, |_| 3),
    most_at_one_gateway: (5.0, |number| if number % 10 == 0 {
        number / 10 % 6
    } else {
        0
    }),
    one_gateway_after_the_other: (2.0, |number| number / 60 % 6),
    less_than_one_a_second: (0.5, |number| number % 6),
});

/// Nine gateways that each begin with a burst of their own would exceed the limit ninefold.
#[test]
fn burst_at_all_gateways_at_once_stays_within_the_limit() {
    let mut simulation = Simulation::open(9, 1);
    simulation.ask(0);
    for _ in 0..1000 {
        simulation.step(Notice::Limited { rate: 1.0 });
    }
    let pause = simulation.elapsed();
    for gateway in 0..9 {
        for _ in 0..5 {
            simulation.ask(gateway);
        }
    }
    for _ in 0..400 {
        simulation.step(Notice::Limited { rate: 1.0 });
    }
    assert!(simulation.peak(pause) <= allowed(1.0));
}

/// Its owner is chosen anew, and the new one must not add a burst.
#[test]
fn limit_holds_when_the_owner_falls_silent() {
    let mut simulation = Simulation::open(4, 1);
    for step in 0..2000_usize {
        let alive: Vec<usize> = (0..4)
            .filter(|gateway| !simulation.fleet.silent.contains(gateway))
            .collect();
        if step % 5 == 0 {
            simulation.ask(alive[step % alive.len()]);
        }
        // Each of two gateways falls silent; one of them may be the owner.
        if step == 600 || step == 1200 {
            simulation.fleet.silent.insert(step / 600);
        }
        simulation.step(Notice::Limited { rate: 2.0 });
    }
    let peak = simulation.peak(3 * SECOND);
    assert!(peak <= allowed(2.0), "{peak} requests in 4 s");
}

/// An engine's limits follow each other in time; `counts` are the requests that it may get
/// in the last 4 s of 10 s, at 20 a second.
fn limit_is_followed(first: Notice, then: Notice, counts: std::ops::RangeInclusive<usize>) {
    let mut simulation = Simulation::open(3, 1);
    let mut asked = 0;
    for step in 0..1000 {
        if step % 5 == 0 {
            simulation.ask(asked % 3);
            asked += 1;
        }
        simulation.step(if step < 300 { first } else { then });
    }
    let count = simulation.count(6 * SECOND);
    assert!(counts.contains(&count), "{count} requests in 4 s");
}

const fn limited(rate: f64) -> Notice {
    Notice::Limited { rate }
}

cases!(limit_is_followed {
    lower_limit: (limited(5.0), limited(1.0), 3..=8),
    higher_limit: (limited(1.0), limited(5.0), 18..=27),
    no_limit_any_more: (limited(2.0), Notice::Unlimited, 70..=90),
    first_limit: (Notice::Unlimited, limited(2.0), 7..=11),
    // An engine that takes none gets the few requests by which it can take that back.
    limit_of_zero: (limited(2.0), limited(0.0), 0..=5),
    // The last limit that could be read stays.
    malformed_limit: (limited(2.0), Notice::Malformed, 7..=11),
    only_malformed_limits: (Notice::Malformed, Notice::Malformed, 70..=90),
});

/// Requests beyond the limit go to the other engine, and none is refused.
#[test]
fn requests_beyond_the_limit_go_to_other_engines() {
    let mut simulation = Simulation::open(3, 2);
    for step in 0..1500 {
        if step % 5 == 0 {
            simulation.ask(step / 5 % 3);
        }
        simulation.step_with(|endpoint| match endpoint {
            "engine-1" => limited(1.0),
            _ => Notice::Unlimited,
        });
    }
    assert_eq!(simulation.refusals, []);
}

/// A statement that is older than what is known must not bring a limit back.
#[test]
fn newest_statement_of_a_limit_holds() {
    let now = Instant::now();
    let mut limits = Limits::default();
    limits.record(now, "engine-1", 1, limited(2.0));
    let later = now + SECOND;
    assert!(limits.record(later, "engine-1", 1, Notice::Unlimited));
    limits.apply(
        later,
        &Statement {
            endpoint: "engine-1".to_owned(),
            started_ms: 1,
            rate: Some(2.0),
            age: SECOND,
        },
    );
    assert_eq!(limits.rate(later, "engine-1", 1), None);
}

/// Limits that stay as they are would fill every message.
#[test]
fn only_changed_limits_are_gossiped() {
    let mut now = Instant::now();
    let mut limits = Limits::default();
    let mut counts = Vec::new();
    for rate in [2.0, 2.1, 2.1, 3.0, 3.0, 3.0] {
        limits.record(now, "engine-1", 1, limited(rate));
        now += 3 * SECOND;
        counts.push(limits.statements(now).len());
    }
    assert_eq!(counts, [1, 0, 0, 1, 0, 0]);
}

/// A restarted engine is not the one that was in need.
#[test]
fn limit_ends_with_the_start_that_named_it() {
    let now = Instant::now();
    let mut limits = Limits::default();
    limits.record(now, "engine-1", 1, limited(2.0));
    assert_eq!(limits.rate(now, "engine-1", 1), Some(2.0));
    assert_eq!(limits.rate(now, "engine-1", 2), None);
    assert_eq!(limits.rate(now + 30 * SECOND, "engine-1", 1), None);
}

/// Another gateway may send any number as a rate, which must not end this one.
fn any_rate_is_admitted(rate: f64) {
    let mut pacer = Pacer::default();
    let permit = pacer.admit(Instant::now(), "engine-1", rate, SECOND);
    assert_eq!(
        permit,
        Permit::Granted {
            wait: Duration::ZERO
        }
    );
}

cases!(any_rate_is_admitted {
    not_a_number: (f64::NAN),
    negative: (-1.0),
    infinite: (f64::INFINITY),
    least: (f64::MIN_POSITIVE),
});

proptest! {
    #![proptest_config(config(300))]

    /// Whatever the times of the requests, the turns of those that are admitted stay within
    /// the rate.
    #[test]
    fn turns_stay_within_the_rate(
        rate in 0.2_f64..50.0,
        gaps in prop::collection::vec(0_u64..400, 1..300),
    ) {
        let mut pacer = Pacer::default();
        let mut now = Instant::now();
        let mut turns = Vec::new();
        for gap in gaps {
            now += Duration::from_millis(gap);
            if let Permit::Granted { wait } = pacer.admit(now, "engine-1", rate, SECOND) {
                turns.push(now + wait);
            }
        }
        for &from in &turns {
            let window = from..from + WINDOW;
            let count = turns.iter().filter(|turn| window.contains(turn)).count();
            prop_assert!(count <= allowed(rate), "{} turns at {} a second", count, rate);
        }
    }
}

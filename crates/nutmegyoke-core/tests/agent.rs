//! An agent under load and faults: what is refused, and with which verdict.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use nutmegyoke_cases::cases;
use nutmegyoke_core::process::agent::queue::CAPACITY;
use nutmegyoke_core::process::agent::{Command, Event};
use nutmegyoke_core::process::endpoint::{Holding, Phase};
use nutmegyoke_core::process::update::Update;
use nutmegyoke_core::process::{Agent, Endpoint, Machine};
use nutmegyoke_core::request::arrival::Destination;
use nutmegyoke_core::request::{Id, Reason, Submission, Verdict};
use nutmegyoke_core::version::Configuration;
use nutmegyoke_core::version::configuration::Lists;
use nutmegyoke_core::version::grant::Repeat;

/// The time that the fake endpoint takes to answer, and to begin its answer.
const WHOLE: Duration = Duration::from_secs(1);
const FIRST: Duration = Duration::from_millis(100);

/// An agent with one endpoint of one slot, which call 0 holds.
struct Bench {
    agent: Agent,
    now: Instant,
    out: Vec<Command>,
}

fn endpoint(phase: Phase) -> Endpoint {
    Endpoint {
        name: "engine".to_owned(),
        holding: Holding::Engine {
            models: vec!["price".into()],
            adapters: Vec::new(),
        },
        slots: 1,
        phase,
    }
}

fn submission(number: u64) -> Submission {
    Submission {
        id: Id { entry: 1, number },
        attempt: 0,
        customer: "kayal".into(),
        priority: 5,
        endpoint: "engine".to_owned(),
        destination: Destination::Model {
            model: "price".into(),
            adapter: None,
        },
        repeat: Repeat::Repeatable,
        remaining: Duration::from_secs(30),
        first_token: None,
        tokens: 100,
        configuration: 0,
        incarnation: 0,
        keyed: false,
    }
}

impl Bench {
    fn open() -> Self {
        let mut bench = Self {
            agent: Agent::open(0),
            now: Instant::now(),
            out: Vec::new(),
        };
        bench.announce(Phase::Ready);
        bench.submit(0, &submission(0));
        assert_eq!(bench.take(), [started(0)]);
        bench
    }

    /// As [`Bench::open`], with the endpoint's pace measured.
    fn measured() -> Self {
        let mut bench = Self::open();
        bench.now += FIRST;
        bench.feed(Event::Answered { call: 0 });
        bench.now += WHOLE.saturating_sub(FIRST);
        bench.feed(Event::Finished { call: 0 });
        bench.submit(1, &submission(1));
        bench.take();
        bench
    }

    fn feed(&mut self, event: Event<'_>) {
        self.agent.handle(self.now, event, &mut self.out);
    }

    fn announce(&mut self, phase: Phase) {
        self.feed(Event::Announced {
            endpoint: &endpoint(phase),
            address: address(),
        });
    }

    fn submit(&mut self, call: u64, submission: &Submission) {
        self.feed(Event::Submitted {
            call,
            submission,
            bytes: 10,
        });
    }

    fn tick(&mut self) {
        self.feed(Agent::tick());
    }

    fn take(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.out)
    }

    /// The call refused by the last events and why.
    fn refused(&mut self) -> Vec<(u64, Reason)> {
        let refused = self.take().into_iter().map(|command| match command {
            Command::Refuse { call, reason, .. } => (call, reason),
            Command::Start { call, .. } => panic!("call {call} started"),
        });
        refused.collect()
    }
}

fn address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 9))
}

fn started(call: u64) -> Command {
    Command::Start {
        call,
        address: address(),
    }
}

fn queue_full(bench: &mut Bench) {
    let patient = |number| Submission {
        remaining: Duration::from_hours(1),
        ..submission(number)
    };
    for call in 2..2 + CAPACITY as u64 {
        bench.submit(call, &patient(call));
    }
    assert_eq!(bench.take(), []);
    bench.submit(9_000, &patient(9_000));
}

fn deadline_passes(bench: &mut Bench) {
    bench.submit(9_000, &submission(9_000));
    while bench.out.is_empty() {
        bench.now = bench.agent.deadline().unwrap();
        // The endpoint lives on and renews its lease.
        bench.announce(Phase::Ready);
        bench.tick();
    }
}

fn hours_pass(bench: &mut Bench) {
    bench.submit(9_000, &submission(9_000));
    bench.now += Duration::from_hours(9);
    bench.tick();
}

fn deadline_passed_before(bench: &mut Bench) {
    let late = Submission {
        remaining: Duration::ZERO,
        ..submission(9_000)
    };
    bench.submit(9_000, &late);
}

fn first_token_passes(bench: &mut Bench) {
    let hurried = Submission {
        first_token: Some(Duration::from_secs(5)),
        ..submission(9_000)
    };
    bench.submit(9_000, &hurried);
    bench.now += Duration::from_secs(5);
    bench.tick();
}

fn drained_while_queued(bench: &mut Bench) {
    bench.submit(9_000, &submission(9_000));
    bench.feed(Event::Drained);
}

fn submitted_after_drain(bench: &mut Bench) {
    bench.feed(Event::Drained);
    bench.submit(9_000, &submission(9_000));
}

fn endpoint_drains_while_queued(bench: &mut Bench) {
    bench.submit(9_000, &submission(9_000));
    bench.announce(Phase::Draining);
}

fn withdrawn_while_queued(bench: &mut Bench) {
    bench.submit(9_000, &submission(9_000));
    bench.feed(Event::Withdrawn {
        endpoint: "engine",
        withdrawn: true,
    });
    // The endpoint itself knows nothing of that.
    bench.announce(Phase::Ready);
}

fn submitted_to_withdrawn(bench: &mut Bench) {
    bench.feed(Event::Withdrawn {
        endpoint: "engine",
        withdrawn: true,
    });
    bench.submit(9_000, &submission(9_000));
}

fn unloaded_while_queued(bench: &mut Bench) {
    bench.submit(9_000, &submission(9_000));
    let empty = Endpoint {
        holding: Holding::Engine {
            models: Vec::new(),
            adapters: Vec::new(),
        },
        // Room for the one that waits.
        slots: 2,
        ..endpoint(Phase::Ready)
    };
    bench.feed(Event::Announced {
        endpoint: &empty,
        address: address(),
    });
}

fn stale_configuration(bench: &mut Bench) {
    learn(bench, 7);
    let stale = Submission {
        configuration: 6,
        ..submission(9_000)
    };
    bench.submit(9_000, &stale);
}

fn submitted_twice(bench: &mut Bench) {
    bench.submit(2, &submission(9_000));
    bench.submit(9_000, &submission(9_000));
}

fn unknown_endpoint(bench: &mut Bench) {
    let lost = Submission {
        endpoint: "other".to_owned(),
        ..submission(9_000)
    };
    bench.submit(9_000, &lost);
}

fn first_token_out_of_reach(bench: &mut Bench) {
    // One runs and one waits: about two seconds, and the first token after that.
    bench.submit(2, &submission(2));
    let hurried = Submission {
        first_token: Some(Duration::from_millis(1_500)),
        ..submission(9_000)
    };
    bench.submit(9_000, &hurried);
}

fn deadline_out_of_reach(bench: &mut Bench) {
    let short = Submission {
        remaining: Duration::from_millis(1_500),
        ..submission(9_000)
    };
    bench.submit(9_000, &short);
}

fn learn(bench: &mut Bench, number: u64) {
    let lists = Lists {
        number,
        ..Lists::default()
    };
    let news = Update {
        configuration: Some(Configuration::open(lists).unwrap()),
        ..Update::default()
    };
    bench.feed(Event::Taught { news: &news });
}

/// After `fault`, call 9000 is refused as not run, and call 1 goes on.
fn refuses(fault: fn(&mut Bench), reason: Reason) {
    let mut bench = Bench::measured();
    fault(&mut bench);
    assert_eq!(bench.refused().last(), Some(&(9_000, reason)));
    let expected = if reason == Reason::Duplicate {
        Verdict::MayHaveRun { reason }
    } else {
        Verdict::NotRun { reason }
    };
    assert_eq!(Command::verdict(reason), expected);
    let before = bench.agent.in_flight();
    bench.feed(Event::Finished { call: 1 });
    assert_eq!(bench.agent.in_flight(), before - 1);
    // Its end is told once more by the task that leaves.
    bench.feed(Event::Finished { call: 9_000 });
    assert!(!bench.take().contains(&started(9_000)));
}

cases!(refuses {
    full: (queue_full, Reason::QueueFull),
    expired: (deadline_passes, Reason::DeadlinePassed),
    clock_went_on_by_hours: (hours_pass, Reason::DeadlinePassed),
    came_too_late: (deadline_passed_before, Reason::DeadlinePassed),
    first_token_is_due: (first_token_passes, Reason::ExpectationMissed),
    first_token_unattainable: (first_token_out_of_reach, Reason::ExpectationMissed),
    deadline_unattainable: (deadline_out_of_reach, Reason::ExpectationMissed),
    queued_at_drain: (drained_while_queued, Reason::Draining),
    after_drain: (submitted_after_drain, Reason::Draining),
    queued_at_endpoint_drain: (endpoint_drains_while_queued, Reason::Draining),
    queued_at_withdrawal: (withdrawn_while_queued, Reason::Draining),
    after_withdrawal: (submitted_to_withdrawn, Reason::Draining),
    older_configuration: (stale_configuration, Reason::StaleConfiguration),
    duplicate: (submitted_twice, Reason::Duplicate),
    unloaded: (unloaded_while_queued, Reason::NotHeld),
    gone_endpoint: (unknown_endpoint, Reason::NotHeld),
});

#[test]
fn caller_that_leaves_the_queue_is_not_run() {
    let mut bench = Bench::open();
    bench.submit(1, &submission(1));
    bench.submit(2, &submission(2));
    bench.feed(Event::Finished { call: 1 });
    assert_eq!(bench.agent.queued(), 1);
    bench.feed(Event::Finished { call: 0 });
    assert_eq!(bench.take(), [started(2)]);
}

#[test]
fn withdrawn_endpoint_comes_back() {
    let mut bench = Bench::open();
    for withdrawn in [true, false] {
        let endpoint = "engine";
        bench.feed(Event::Withdrawn {
            endpoint,
            withdrawn,
        });
        let phase = bench.agent.endpoints()[0].phase;
        assert_eq!(phase == Phase::Draining, withdrawn);
    }
    bench.submit(1, &submission(1));
    bench.feed(Event::Finished { call: 0 });
    assert_eq!(bench.take(), [started(1)]);
}

#[test]
fn queued_request_runs_though_its_plan_was_removed() {
    // It was admitted under the configuration then in force, and has been queued
    // since: the newer one concerns what comes after it.
    let mut bench = Bench::open();
    bench.submit(1, &submission(1));
    learn(&mut bench, 7);
    bench.feed(Event::Finished { call: 0 });
    assert_eq!(bench.take(), [started(1)]);
}

#[test]
fn free_slot_is_used_whatever_the_estimate() {
    let mut bench = Bench::measured();
    bench.feed(Event::Finished { call: 1 });
    let hurried = Submission {
        first_token: Some(Duration::from_millis(1)),
        ..submission(2)
    };
    bench.submit(2, &hurried);
    assert_eq!(bench.take(), [started(2)]);
}

#[test]
fn early_refusal_tells_when_to_try_again() {
    let mut bench = Bench::measured();
    first_token_out_of_reach(&mut bench);
    let Some(Command::Refuse { after, .. }) = bench.out.last() else {
        panic!("not refused");
    };
    // Two requests at a second each, 100 ms to the first token, due in 1.5 s.
    assert_eq!(*after, Duration::from_millis(600));
}

#[test]
fn any_time_left_is_taken() {
    let mut bench = Bench::open();
    let endless = Submission {
        remaining: Duration::MAX,
        first_token: Some(Duration::MAX),
        tokens: u64::MAX,
        ..submission(1)
    };
    bench.submit(1, &endless);
    bench.submit(
        2,
        &Submission {
            id: Id {
                entry: 1,
                number: 2,
            },
            ..endless
        },
    );
    bench.feed(Event::Finished { call: 0 });
    assert_eq!(bench.take(), [started(1)]);
}

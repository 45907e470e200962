//! Tests of the agent: the reasons for which it refuses requests, the verdict for each
//! reason, and when queued requests start.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use nutmegyoke_cases::cases;
use nutmegyoke_core::process::agent::queue::MAX_REQUESTS;
use nutmegyoke_core::process::agent::{Command, Event};
use nutmegyoke_core::process::endpoint::{Holding, Phase};
use nutmegyoke_core::process::update::Update;
use nutmegyoke_core::process::{Agent, Endpoint, Machine};
use nutmegyoke_core::request::arrival::Destination;
use nutmegyoke_core::request::{Id, Reason, Submission, Verdict};
use nutmegyoke_core::version::Configuration;
use nutmegyoke_core::version::configuration::Lists;
use nutmegyoke_core::version::grant::Repeat;

/// Time from the start of a request at the fake endpoint to the end of its answer.
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// Time from the start of a request at the fake endpoint to the first token.
const FIRST_TOKEN_TIME: Duration = Duration::from_millis(100);

/// An agent with one endpoint of one slot, which call 0 occupies.
struct Fixture {
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

impl Fixture {
    fn open() -> Self {
        let mut fixture = Self {
            agent: Agent::open(0),
            now: Instant::now(),
            out: Vec::new(),
        };
        fixture.announce(Phase::Ready);
        fixture.submit(0, &submission(0));
        assert_eq!(fixture.take_commands(), [started(0)]);
        fixture
    }

    /// Like [`Fixture::open`], but call 0 has ended and call 1 occupies the slot. The agent
    /// has measured the latency of call 0, from which it estimates waiting times.
    fn with_measured_times() -> Self {
        let mut fixture = Self::open();
        fixture.now += FIRST_TOKEN_TIME;
        fixture.feed(Event::AnswerStarted { call: 0 });
        fixture.now += ANSWER_TIME.saturating_sub(FIRST_TOKEN_TIME);
        fixture.feed(Event::Ended { call: 0 });
        fixture.submit(1, &submission(1));
        fixture.take_commands();
        fixture
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

    fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.out)
    }

    /// The calls refused since the last call of this method, with the reasons.
    /// Panics if a call was started.
    fn take_refusals(&mut self) -> Vec<(u64, Reason)> {
        let refusals = self
            .take_commands()
            .into_iter()
            .map(|command| match command {
                Command::Refuse { call, reason, .. } => (call, reason),
                Command::Start { call, .. } => panic!("call {call} was started instead of refused"),
            });
        refusals.collect()
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

fn queue_full(fixture: &mut Fixture) {
    let long_lived = |number| Submission {
        remaining: Duration::from_hours(1),
        ..submission(number)
    };
    for call in 2..2 + MAX_REQUESTS as u64 {
        fixture.submit(call, &long_lived(call));
    }
    assert_eq!(fixture.take_commands(), []);
    fixture.submit(9_000, &long_lived(9_000));
}

fn deadline_passes(fixture: &mut Fixture) {
    fixture.submit(9_000, &submission(9_000));
    while fixture.out.is_empty() {
        fixture.now = fixture.agent.deadline().unwrap();
        // The endpoint keeps announcing itself, so that its lease does not expire.
        fixture.announce(Phase::Ready);
        fixture.tick();
    }
}

fn clock_jumps_by_hours(fixture: &mut Fixture) {
    fixture.submit(9_000, &submission(9_000));
    fixture.now += Duration::from_hours(9);
    fixture.tick();
}

fn submitted_after_deadline(fixture: &mut Fixture) {
    let late = Submission {
        remaining: Duration::ZERO,
        ..submission(9_000)
    };
    fixture.submit(9_000, &late);
}

fn first_token_deadline_passes(fixture: &mut Fixture) {
    let urgent = Submission {
        first_token: Some(Duration::from_secs(5)),
        ..submission(9_000)
    };
    fixture.submit(9_000, &urgent);
    fixture.now += Duration::from_secs(5);
    fixture.tick();
}

fn drained_while_queued(fixture: &mut Fixture) {
    fixture.submit(9_000, &submission(9_000));
    fixture.feed(Event::Stopping);
}

fn submitted_after_drain(fixture: &mut Fixture) {
    fixture.feed(Event::Stopping);
    fixture.submit(9_000, &submission(9_000));
}

fn endpoint_drains_while_queued(fixture: &mut Fixture) {
    fixture.submit(9_000, &submission(9_000));
    fixture.announce(Phase::Draining);
}

fn withdrawn_while_queued(fixture: &mut Fixture) {
    fixture.submit(9_000, &submission(9_000));
    fixture.feed(Event::Withdrawn {
        endpoint: "engine",
        withdrawn: true,
    });
    // The endpoint is not aware of the withdrawal and announces itself as ready.
    fixture.announce(Phase::Ready);
}

fn submitted_to_withdrawn(fixture: &mut Fixture) {
    fixture.feed(Event::Withdrawn {
        endpoint: "engine",
        withdrawn: true,
    });
    fixture.submit(9_000, &submission(9_000));
}

fn unloaded_while_queued(fixture: &mut Fixture) {
    fixture.submit(9_000, &submission(9_000));
    let empty = Endpoint {
        holding: Holding::Engine {
            models: Vec::new(),
            adapters: Vec::new(),
        },
        // One slot is free, so only the missing model prevents a start.
        slots: 2,
        ..endpoint(Phase::Ready)
    };
    fixture.feed(Event::Announced {
        endpoint: &empty,
        address: address(),
    });
}

fn stale_configuration(fixture: &mut Fixture) {
    update_configuration(fixture, 7);
    let stale = Submission {
        configuration: 6,
        ..submission(9_000)
    };
    fixture.submit(9_000, &stale);
}

fn submitted_twice(fixture: &mut Fixture) {
    fixture.submit(2, &submission(9_000));
    fixture.submit(9_000, &submission(9_000));
}

fn unknown_endpoint(fixture: &mut Fixture) {
    let misaddressed = Submission {
        endpoint: "other".to_owned(),
        ..submission(9_000)
    };
    fixture.submit(9_000, &misaddressed);
}

fn estimate_exceeds_first_token_time(fixture: &mut Fixture) {
    // One request runs and one is queued: an estimate of two seconds, plus the time to
    // the first token.
    fixture.submit(2, &submission(2));
    let urgent = Submission {
        first_token: Some(Duration::from_millis(1_500)),
        ..submission(9_000)
    };
    fixture.submit(9_000, &urgent);
}

fn estimate_exceeds_deadline(fixture: &mut Fixture) {
    let short = Submission {
        remaining: Duration::from_millis(1_500),
        ..submission(9_000)
    };
    fixture.submit(9_000, &short);
}

fn update_configuration(fixture: &mut Fixture, number: u64) {
    let lists = Lists {
        number,
        ..Lists::default()
    };
    let update = Update {
        configuration: Some(Configuration::open(lists).unwrap()),
        ..Update::default()
    };
    fixture.feed(Event::Updated { update: &update });
}

/// Checks that `cause` makes the agent refuse call 9000 for `reason`, and that call 1
/// keeps running. Only a duplicate may have run, because its original may run.
fn refusal(cause: fn(&mut Fixture), reason: Reason) {
    let mut fixture = Fixture::with_measured_times();
    cause(&mut fixture);
    assert_eq!(fixture.take_refusals().last(), Some(&(9_000, reason)));
    let expected = if reason == Reason::Duplicate {
        Verdict::MayHaveRun { reason }
    } else {
        Verdict::NotRun { reason }
    };
    assert_eq!(Command::verdict(reason), expected);
    let before = fixture.agent.in_flight();
    fixture.feed(Event::Ended { call: 1 });
    assert_eq!(fixture.agent.in_flight(), before - 1);
    // The host also reports the end of a refused call. That must not start any call.
    fixture.feed(Event::Ended { call: 9_000 });
    assert!(!fixture.take_commands().contains(&started(9_000)));
}

cases!(refusal {
    queue_is_full: (queue_full, Reason::QueueFull),
    deadline_passed_in_queue: (deadline_passes, Reason::DeadlinePassed),
    deadline_passed_during_clock_jump: (clock_jumps_by_hours, Reason::DeadlinePassed),
    deadline_passed_on_arrival: (submitted_after_deadline, Reason::DeadlinePassed),
    first_token_due_in_queue: (first_token_deadline_passes, Reason::ExpectationMissed),
    first_token_unattainable: (estimate_exceeds_first_token_time, Reason::ExpectationMissed),
    deadline_unattainable: (estimate_exceeds_deadline, Reason::ExpectationMissed),
    queued_when_agent_drains: (drained_while_queued, Reason::Draining),
    submitted_to_draining_agent: (submitted_after_drain, Reason::Draining),
    queued_when_endpoint_drains: (endpoint_drains_while_queued, Reason::Draining),
    queued_when_endpoint_is_withdrawn: (withdrawn_while_queued, Reason::Draining),
    submitted_to_withdrawn_endpoint: (submitted_to_withdrawn, Reason::Draining),
    older_configuration: (stale_configuration, Reason::StaleConfiguration),
    duplicate: (submitted_twice, Reason::Duplicate),
    queued_when_model_is_unloaded: (unloaded_while_queued, Reason::NotHeld),
    endpoint_not_on_this_vm: (unknown_endpoint, Reason::NotHeld),
});

#[test]
fn disconnected_request_leaves_the_queue_without_running() {
    let mut fixture = Fixture::open();
    fixture.submit(1, &submission(1));
    fixture.submit(2, &submission(2));
    fixture.feed(Event::Ended { call: 1 });
    assert_eq!(fixture.agent.queued(), 1);
    fixture.feed(Event::Ended { call: 0 });
    assert_eq!(fixture.take_commands(), [started(2)]);
}

#[test]
fn endpoint_serves_requests_after_its_withdrawal_is_undone() {
    let mut fixture = Fixture::open();
    for withdrawn in [true, false] {
        let endpoint = "engine";
        fixture.feed(Event::Withdrawn {
            endpoint,
            withdrawn,
        });
        let phase = fixture.agent.endpoints()[0].phase;
        assert_eq!(phase == Phase::Draining, withdrawn);
    }
    fixture.submit(1, &submission(1));
    fixture.feed(Event::Ended { call: 0 });
    assert_eq!(fixture.take_commands(), [started(1)]);
}

#[test]
fn queued_request_runs_after_its_plan_was_removed() {
    // The request was admitted under the configuration in force at that time. A newer
    // one applies only to requests that arrive later.
    let mut fixture = Fixture::open();
    fixture.submit(1, &submission(1));
    update_configuration(&mut fixture, 7);
    fixture.feed(Event::Ended { call: 0 });
    assert_eq!(fixture.take_commands(), [started(1)]);
}

#[test]
fn free_slot_is_used_regardless_of_the_estimate() {
    let mut fixture = Fixture::with_measured_times();
    fixture.feed(Event::Ended { call: 1 });
    let urgent = Submission {
        first_token: Some(Duration::from_millis(1)),
        ..submission(2)
    };
    fixture.submit(2, &urgent);
    assert_eq!(fixture.take_commands(), [started(2)]);
}

#[test]
fn refusal_by_estimate_sets_the_retry_delay() {
    let mut fixture = Fixture::with_measured_times();
    estimate_exceeds_first_token_time(&mut fixture);
    let Some(Command::Refuse { retry_after, .. }) = fixture.out.last() else {
        panic!("the call was not refused");
    };
    // Two requests of 1 s each and 100 ms to the first token exceed the limit of 1.5 s
    // by 600 ms.
    assert_eq!(*retry_after, Duration::from_millis(600));
}

#[test]
fn maximum_durations_and_token_counts_are_accepted() {
    let mut fixture = Fixture::open();
    let unlimited = Submission {
        remaining: Duration::MAX,
        first_token: Some(Duration::MAX),
        tokens: u64::MAX,
        ..submission(1)
    };
    fixture.submit(1, &unlimited);
    fixture.submit(
        2,
        &Submission {
            id: Id {
                entry: 1,
                number: 2,
            },
            ..unlimited
        },
    );
    fixture.feed(Event::Ended { call: 0 });
    assert_eq!(fixture.take_commands(), [started(1)]);
}

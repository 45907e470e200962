//! Property test of the agent: under any order of events, each call is started or
//! refused at most once, and slots and queues stay within their limits.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use nutmegyoke_cases::config;
use nutmegyoke_core::process::agent::queue::MAX_REQUESTS;
use nutmegyoke_core::process::agent::{Command, Event};
use nutmegyoke_core::process::endpoint::{Holding, Phase};
use nutmegyoke_core::process::{Agent, Endpoint, Machine};
use nutmegyoke_core::request::arrival::Destination;
use nutmegyoke_core::request::{Id, Submission};
use nutmegyoke_core::version::grant::Repeat;
use proptest::prelude::*;

const ENDPOINTS: [&str; 2] = ["one", "two"];
const SLOTS: u32 = 3;

/// An event that the agent receives, or time passing.
#[derive(Clone, Debug)]
enum Step {
    Announce {
        endpoint: usize,
        ready: bool,
    },
    Submit {
        endpoint: usize,
        customer: u8,
        priority: u8,
        first_token: Option<u64>,
        remaining: u64,
    },
    /// The answer of a call started.
    Answer {
        index: usize,
    },
    /// The answer ended, or the caller disconnected.
    Finish {
        index: usize,
    },
    Withdraw {
        endpoint: usize,
        withdrawn: bool,
    },
    Advance {
        milliseconds: u64,
    },
    Drain,
}

fn step() -> impl Strategy<Value = Step> {
    let endpoint = 0..ENDPOINTS.len();
    let submit = (
        endpoint.clone(),
        0..4_u8,
        0..10_u8,
        prop::option::of(0..5_000_u64),
        0..30_000_u64,
    );
    prop_oneof![
        2 => (endpoint.clone(), prop::bool::weighted(0.9))
            .prop_map(|(endpoint, ready)| Step::Announce { endpoint, ready }),
        12 => submit.prop_map(|(endpoint, customer, priority, first_token, remaining)| {
            Step::Submit { endpoint, customer, priority, first_token, remaining }
        }),
        4 => any::<usize>().prop_map(|index| Step::Answer { index }),
        6 => any::<usize>().prop_map(|index| Step::Finish { index }),
        1 => (endpoint, any::<bool>())
            .prop_map(|(endpoint, withdrawn)| Step::Withdraw { endpoint, withdrawn }),
        3 => (0..3_000_u64).prop_map(|milliseconds| Step::Advance { milliseconds }),
    ]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let drains = prop::bool::weighted(0.3);
    (prop::collection::vec(step(), 1..300), drains).prop_map(|(mut steps, drains)| {
        if drains {
            let middle = steps.len() / 2;
            steps.insert(middle, Step::Drain);
        }
        steps
    })
}

/// The state of all calls, derived only from events and commands.
#[derive(Default)]
struct Calls {
    queued: BTreeSet<u64>,
    /// The endpoint of each running call.
    running: BTreeMap<u64, usize>,
    /// The endpoint of each call that was ever submitted.
    endpoints: BTreeMap<u64, usize>,
}

impl Calls {
    fn apply(&mut self, commands: Vec<Command>) -> Result<(), TestCaseError> {
        for command in commands {
            match command {
                Command::Start { call, .. } => {
                    prop_assert!(
                        self.queued.remove(&call),
                        "call {} started but not queued",
                        call
                    );
                    self.running.insert(call, self.endpoints[&call]);
                }
                Command::Refuse { call, .. } => {
                    prop_assert!(
                        self.queued.remove(&call),
                        "call {} refused but not queued",
                        call
                    );
                }
                #[allow(unreachable_patterns, reason = "commands for engines' memory")]
                _ => {}
            }
        }
        for endpoint in 0..ENDPOINTS.len() {
            let running = self.running.values().filter(|&&at| at == endpoint);
            prop_assert!(running.count() <= SLOTS as usize);
        }
        prop_assert!(self.queued.len() <= ENDPOINTS.len() * MAX_REQUESTS);
        Ok(())
    }

    /// Picks one of the calls that have not ended.
    fn pick(&self, index: usize) -> Option<u64> {
        let unfinished: Vec<u64> = self
            .queued
            .iter()
            .chain(self.running.keys())
            .copied()
            .collect();
        (!unfinished.is_empty()).then(|| unfinished[index % unfinished.len()])
    }
}

fn announcement(name: &str, ready: bool) -> Endpoint {
    Endpoint {
        name: name.to_owned(),
        holding: Holding::Service {
            service: "desk".into(),
        },
        slots: SLOTS,
        phase: if ready { Phase::Ready } else { Phase::Draining },
    }
}

fn submission(number: u64, endpoint: usize, customer: u8, priority: u8) -> Submission {
    Submission {
        id: Id { entry: 1, number },
        attempt: 0,
        customer: customer.to_string().as_str().into(),
        priority,
        endpoint: ENDPOINTS[endpoint].to_owned(),
        destination: Destination::Service {
            service: "desk".into(),
        },
        repeat: Repeat::Once,
        remaining: Duration::ZERO,
        first_token: None,
        tokens: 0,
        configuration: 0,
        incarnation: 1,
        keyed: false,
    }
}

proptest! {
    #![proptest_config(config(200))]

    #[test]
    fn each_call_is_started_or_refused_once(steps in steps()) {
        let mut now = Instant::now();
        let mut agent = Agent::open(1);
        let mut calls = Calls::default();
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
        for (number, step) in (0..).zip(steps) {
            let mut out = Vec::new();
            match step {
                Step::Announce { endpoint, ready } => {
                    let endpoint = &announcement(ENDPOINTS[endpoint], ready);
                    agent.handle(now, Event::Announced { endpoint, address }, &mut out);
                }
                Step::Submit { endpoint, customer, priority, first_token, remaining } => {
                    let submission = &Submission {
                        first_token: first_token.map(Duration::from_millis),
                        remaining: Duration::from_millis(remaining),
                        ..submission(number, endpoint, customer, priority)
                    };
                    calls.queued.insert(number);
                    calls.endpoints.insert(number, endpoint);
                    let event = Event::Submitted { call: number, submission, bytes: 9 };
                    agent.handle(now, event, &mut out);
                }
                Step::Answer { index } => {
                    if let Some(call) = calls.pick(index) {
                        agent.handle(now, Event::AnswerStarted { call }, &mut out);
                    }
                }
                Step::Finish { index } => {
                    if let Some(call) = calls.pick(index) {
                        calls.queued.remove(&call);
                        calls.running.remove(&call);
                        agent.handle(now, Event::Ended { call }, &mut out);
                    }
                }
                Step::Withdraw { endpoint, withdrawn } => {
                    let endpoint = ENDPOINTS[endpoint];
                    agent.handle(now, Event::Withdrawn { endpoint, withdrawn }, &mut out);
                }
                Step::Advance { milliseconds } => {
                    now += Duration::from_millis(milliseconds);
                    if agent.deadline().is_some_and(|at| at <= now) {
                        agent.handle(now, Agent::tick(), &mut out);
                    }
                    prop_assert!(agent.deadline().is_none_or(|at| at > now));
                }
                Step::Drain => agent.handle(now, Event::Stopping, &mut out),
            }
            calls.apply(out)?;
            prop_assert_eq!(agent.in_flight(), calls.queued.len() + calls.running.len());
            prop_assert_eq!(agent.queued(), calls.queued.len());
        }
        // A drain refuses every queued call and lets the running ones finish.
        let mut out = Vec::new();
        agent.handle(now, Event::Stopping, &mut out);
        calls.apply(out)?;
        prop_assert!(calls.queued.is_empty());
        prop_assert_eq!(agent.in_flight(), calls.running.len());
    }
}

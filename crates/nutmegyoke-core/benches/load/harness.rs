//! Runs an entry and its agents in virtual time, with simulated clients and engines.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use nutmegyoke_core::process::agent::{self, Event as AgentEvent};
use nutmegyoke_core::process::entry::{self, Event as EntryEvent};
use nutmegyoke_core::process::{Agent, Entry, Machine};
use nutmegyoke_core::request::arrival::Subject;
use nutmegyoke_core::request::{Arrival, Reason, Submission, Verdict};

use crate::Policy;
use crate::fifo::Fifo;
use crate::fleet::{
    DEADLINE, ENGINES, EXPECTED_FIRST_TOKEN, PREFILL, SLOTS, TOKEN_INTERVAL, address, capacity,
    endpoint, update,
};
use crate::report::Report;
use crate::workload::{self, MAX_TOKENS, PROMPT_TOKENS, Request};

/// The one-way delay of a message between two processes.
const NETWORK_DELAY: Duration = Duration::from_millis(1);

/// The time between two announcements of an endpoint.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);

const SEED: u64 = 20_261_204;

/// An event in virtual time.
///
/// `number` identifies a request at the entry, `call` one of its attempts at an agent.
#[derive(Debug)]
enum Event {
    /// A client sent a request to the entry.
    Arrival { request: Request },
    /// A submission reached an agent.
    Submission {
        submission: Submission,
        agent: usize,
    },
    /// The engine sent its first token.
    FirstToken { number: u64, call: u64 },
    /// The engine completed its answer.
    Completion { number: u64, call: u64 },
    /// An agent's refusal reached the entry.
    Refusal { number: u64, reason: Reason },
    /// The client reaches its deadline and disconnects.
    Disconnect { number: u64 },
    /// All endpoints announce themselves to their agents.
    Announcements,
}

/// The agent's state machine or the baseline that replaces it.
enum Implementation {
    Agent(Box<Agent>),
    Fifo(Fifo),
}

/// A request that has neither been answered nor refused.
struct Pending {
    request: Request,
    arrived: Instant,
    first_token: Option<Instant>,
    /// The agent and the call of the attempt in flight.
    attempt: Option<(usize, u64)>,
}

/// The entry, its agents and the scheduled events.
pub struct Harness {
    policy: Policy,
    start: Instant,
    now: Instant,
    /// The scheduled events, by time and, at the same time, in the order of scheduling.
    events: BTreeMap<(Instant, u64), Event>,
    entry: Entry,
    agents: Vec<Implementation>,
    requests: HashMap<u64, Pending>,
    /// The request and the submission time of each call.
    calls: HashMap<u64, (u64, Instant)>,
    last_id: u64,
    report: Report,
}

impl Harness {
    pub fn open(policy: Policy) -> Self {
        let start = Instant::now();
        let agents = (0..ENGINES).map(|index| match policy {
            Policy::Fifo => Implementation::Fifo(Fifo::open(address(index), SLOTS as usize)),
            _ => Implementation::Agent(Box::new(Agent::open(1))),
        });
        let mut harness = Self {
            policy,
            start,
            now: start,
            events: BTreeMap::new(),
            entry: Entry::open(1, &"here".into(), SEED),
            agents: agents.collect(),
            requests: HashMap::new(),
            calls: HashMap::new(),
            last_id: 0,
            report: Report::open(Duration::ZERO),
        };
        let update = update(policy);
        harness.feed_entry(EntryEvent::Updated { update: &update });
        harness.announce();
        harness
    }

    /// Lets requests arrive for `duration` and runs until all of them have ended.
    pub fn run(mut self, load: f64, duration: Duration) -> Report {
        self.report = Report::open(duration);
        let mut random = fastrand::Rng::with_seed(SEED);
        for request in workload::generate(load, capacity(), duration, &mut random) {
            self.schedule(self.start + request.at, Event::Arrival { request });
        }
        let end = self.start + duration + DEADLINE * 2;
        while let Some(at) = self.next_wakeup().filter(|&at| at < end) {
            self.now = self.now.max(at);
            self.tick();
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= self.now
            {
                let event = entry.remove();
                self.handle(event);
            }
        }
        self.report
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.last_id += 1;
        self.events.insert((at, self.last_id), event);
    }

    /// The time of the next event or of the next deadline of a state machine.
    fn next_wakeup(&self) -> Option<Instant> {
        let event = self.events.first_key_value().map(|(&(at, _), _)| at);
        let agents = self.agents.iter().filter_map(|agent| match agent {
            Implementation::Agent(agent) => agent.deadline(),
            Implementation::Fifo(fifo) => fifo.deadline(),
        });
        event
            .into_iter()
            .chain(self.entry.deadline())
            .chain(agents)
            .min()
    }

    fn tick(&mut self) {
        if self.entry.deadline().is_some_and(|at| at <= self.now) {
            self.feed_entry(Entry::tick());
        }
        for index in 0..self.agents.len() {
            let deadline = match &self.agents[index] {
                Implementation::Agent(agent) => agent.deadline(),
                Implementation::Fifo(_) => None,
            };
            if deadline.is_some_and(|at| at <= self.now) {
                self.feed_agent(index, Agent::tick());
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { request } => self.arrive(request),
            Event::Submission { submission, agent } => self.submit(&submission, agent),
            Event::FirstToken { number, call } => {
                // The client may have disconnected in the meantime.
                if let Some((agent, _)) = self.attempt(number, call) {
                    self.feed_agent(agent, AgentEvent::AnswerStarted { call });
                    if let Some(pending) = self.requests.get_mut(&number) {
                        pending.first_token = Some(self.now + NETWORK_DELAY);
                    }
                }
            }
            Event::Completion { number, call } => {
                if let Some((agent, _)) = self.attempt(number, call) {
                    self.feed_agent(agent, AgentEvent::Ended { call });
                    self.calls.remove(&call);
                    self.complete(number);
                }
            }
            Event::Refusal { number, reason } => {
                let verdict = Verdict::NotRun { reason };
                self.feed_entry(EntryEvent::AttemptEnded { number, verdict });
            }
            Event::Disconnect { number } => self.disconnect(number),
            Event::Announcements => self.announce(),
        }
    }

    /// The attempt in flight of a request, if it is `call`.
    fn attempt(&self, number: u64, call: u64) -> Option<(usize, u64)> {
        let attempt = self.requests.get(&number)?.attempt?;
        (attempt.1 == call).then_some(attempt)
    }

    fn arrive(&mut self, request: Request) {
        self.last_id += 1;
        let number = self.last_id;
        self.report.record_offered(request.customer);
        let pending = Pending {
            request,
            arrived: self.now,
            first_token: None,
            attempt: None,
        };
        self.requests.insert(number, pending);
        self.schedule(self.now + DEADLINE, Event::Disconnect { number });
        let arrival = Arrival {
            key: Some(request.customer.key()),
            subject: Subject::Completion {
                name: "price",
                prompt_tokens: PROMPT_TOKENS,
                max_tokens: MAX_TOKENS,
            },
            idempotency_key: None,
            once: false,
            digest: 0,
        };
        let arrival = &arrival;
        self.feed_entry(EntryEvent::Arrived { number, arrival });
    }

    fn submit(&mut self, submission: &Submission, agent: usize) {
        let number = submission.id.number;
        let Some(pending) = self.requests.get_mut(&number) else {
            return;
        };
        self.last_id += 1;
        let call = self.last_id;
        pending.attempt = Some((agent, call));
        self.calls.insert(call, (number, self.now));
        let mut submission = submission.clone();
        if self.policy == Policy::Fair {
            // Without expectations the agent refuses no request early.
            submission.first_token = None;
            submission.remaining = Duration::from_hours(1);
        }
        self.feed_agent(
            agent,
            AgentEvent::Submitted {
                call,
                submission: &submission,
                bytes: 800,
            },
        );
    }

    fn complete(&mut self, number: u64) {
        let verdict = Verdict::Ran;
        self.feed_entry(EntryEvent::AttemptEnded { number, verdict });
        let Some(pending) = self.requests.get(&number) else {
            return;
        };
        let first_token = pending.first_token.unwrap_or(self.now);
        let in_time = first_token.saturating_duration_since(pending.arrived)
            <= EXPECTED_FIRST_TOKEN
            && self.now.saturating_duration_since(pending.arrived) <= DEADLINE;
        let customer = pending.request.customer;
        let tokens = u64::from(PROMPT_TOKENS + pending.request.tokens);
        if in_time {
            self.report.record_attained(customer);
        } else {
            self.report.record_late();
        }
        self.feed_entry(EntryEvent::Metered { number, tokens });
        self.forget(number);
    }

    fn disconnect(&mut self, number: u64) {
        if self.requests.contains_key(&number) {
            self.report.record_refusal(Reason::CallerLeft);
            self.forget(number);
        }
    }

    /// Closes the client's connection and cancels its attempt in flight, if any.
    fn forget(&mut self, number: u64) {
        let pending = self.requests.remove(&number);
        self.feed_entry(EntryEvent::Disconnected { number });
        if let Some((agent, call)) = pending.and_then(|pending| pending.attempt)
            && self.calls.remove(&call).is_some()
        {
            self.feed_agent(agent, AgentEvent::Ended { call });
        }
    }

    fn feed_entry(&mut self, event: EntryEvent<'_>) {
        let mut out = Vec::new();
        self.entry.handle(self.now, event, &mut out);
        for command in out {
            match command {
                entry::Command::Dispatch {
                    agent, submission, ..
                } => {
                    let agent = usize::from(agent.port());
                    self.schedule(
                        self.now + NETWORK_DELAY,
                        Event::Submission { submission, agent },
                    );
                }
                entry::Command::Finish {
                    number,
                    verdict: Verdict::NotRun { reason },
                    ..
                } => {
                    self.report.record_refusal(reason);
                    self.forget(number);
                }
                entry::Command::CountRetry { .. } => self.report.record_retry(),
                _ => {}
            }
        }
    }

    fn feed_agent(&mut self, index: usize, event: AgentEvent<'_>) {
        let mut out = Vec::new();
        match &mut self.agents[index] {
            Implementation::Agent(agent) => agent.handle(self.now, event, &mut out),
            Implementation::Fifo(fifo) => fifo.handle(self.now, event, &mut out),
        }
        for command in out {
            match command {
                agent::Command::Start { call, .. } => self.start(call),
                agent::Command::Refuse { call, reason, .. } => {
                    if let Some((number, _)) = self.calls.remove(&call) {
                        self.schedule(self.now + NETWORK_DELAY, Event::Refusal { number, reason });
                    }
                }
                #[allow(unreachable_patterns, reason = "commands for engines' memory")]
                _ => {}
            }
        }
    }

    /// Starts a call on its engine.
    fn start(&mut self, call: u64) {
        let Some(&(number, submitted)) = self.calls.get(&call) else {
            return;
        };
        self.report
            .record_wait(self.now.saturating_duration_since(submitted));
        let Some(pending) = self.requests.get(&number) else {
            return;
        };
        let service_time = PREFILL + TOKEN_INTERVAL * (pending.request.tokens - 1);
        self.schedule(self.now + PREFILL, Event::FirstToken { number, call });
        self.schedule(self.now + service_time, Event::Completion { number, call });
    }

    fn announce(&mut self) {
        for index in 0..ENGINES {
            let event = AgentEvent::Announced {
                endpoint: &endpoint(),
                address: address(index),
            };
            self.feed_agent(usize::from(index), event);
        }
        self.schedule(self.now + ANNOUNCEMENT_INTERVAL, Event::Announcements);
    }
}

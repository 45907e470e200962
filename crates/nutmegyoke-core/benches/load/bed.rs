//! The event loop over virtual time, with the fakes at the machines' interfaces.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use nutmegyoke_core::process::agent::{self, Event as AgentEvent};
use nutmegyoke_core::process::entry::{self, Event as EntryEvent};
use nutmegyoke_core::process::{Agent, Entry, Machine};
use nutmegyoke_core::request::arrival::Subject;
use nutmegyoke_core::request::{Arrival, Reason, Submission, Verdict};

use crate::Policy;
use crate::callers::{self, Call, PROMPT, TOKENS_ALLOWED};
use crate::fifo::Fifo;
use crate::fleet::{
    DEADLINE, ENGINES, FIRST, FIRST_TOKEN, SLOTS, TOKEN, address, capacity, endpoint, news,
};
use crate::report::Report;

/// From one process to another.
const LINK: Duration = Duration::from_millis(1);

/// The time between two announcements of an endpoint.
const ANNOUNCED: Duration = Duration::from_secs(1);

const SEED: u64 = 20_261_204;

/// What is due at a virtual time.
#[derive(Debug)]
enum Due {
    Arrival {
        call: Call,
    },
    Submission {
        submission: Submission,
        agent: usize,
    },
    /// The engine sent its first token, or ended.
    First {
        number: u64,
        call: u64,
    },
    End {
        number: u64,
        call: u64,
    },
    /// An agent's refusal reached the entry.
    Refusal {
        number: u64,
        reason: Reason,
    },
    /// The caller gives up.
    Leave {
        number: u64,
    },
    Announcements,
}

/// The agent under test.
enum Station {
    New(Box<Agent>),
    Old(Fifo),
}

/// A request on its way.
struct Request {
    call: Call,
    arrived: Instant,
    first: Option<Instant>,
    /// The call at an agent of the attempt in flight.
    running: Option<(usize, u64)>,
}

/// The entry, its agents and what is due.
pub struct Bed {
    policy: Policy,
    base: Instant,
    now: Instant,
    due: BTreeMap<(Instant, u64), Due>,
    entry: Entry,
    agents: Vec<Station>,
    requests: HashMap<u64, Request>,
    /// The request and submission time of each call at an agent.
    calls: HashMap<u64, (u64, Instant)>,
    next: u64,
    report: Report,
}

impl Bed {
    pub fn open(policy: Policy) -> Self {
        let base = Instant::now();
        let agents = (0..ENGINES).map(|index| match policy {
            Policy::Fifo => Station::Old(Fifo::open(address(index), SLOTS as usize)),
            _ => Station::New(Box::new(Agent::open(1))),
        });
        let mut bed = Self {
            policy,
            base,
            now: base,
            due: BTreeMap::new(),
            entry: Entry::open(1, &"here".into(), SEED),
            agents: agents.collect(),
            requests: HashMap::new(),
            calls: HashMap::new(),
            next: 0,
            report: Report::open(Duration::ZERO),
        };
        let news = news(policy);
        bed.feed_entry(EntryEvent::Updated { update: &news });
        bed.announce();
        bed
    }

    /// Runs callers for `length` and everything they cause to its end.
    pub fn run(mut self, load: f64, length: Duration) -> Report {
        self.report = Report::open(length);
        let mut random = fastrand::Rng::with_seed(SEED);
        for call in callers::draw(load, capacity(), length, &mut random) {
            self.at(self.base + call.at, Due::Arrival { call });
        }
        let end = self.base + length + DEADLINE * 2;
        while let Some(at) = self.earliest().filter(|&at| at < end) {
            self.now = self.now.max(at);
            self.tick();
            while let Some(entry) = self.due.first_entry()
                && entry.key().0 <= self.now
            {
                let due = entry.remove();
                self.act(due);
            }
        }
        self.report
    }

    fn at(&mut self, at: Instant, due: Due) {
        self.next += 1;
        self.due.insert((at, self.next), due);
    }

    fn earliest(&self) -> Option<Instant> {
        let due = self.due.first_key_value().map(|(&(at, _), _)| at);
        let agents = self.agents.iter().filter_map(|station| match station {
            Station::New(agent) => agent.deadline(),
            Station::Old(fifo) => fifo.deadline(),
        });
        due.into_iter()
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
                Station::New(agent) => agent.deadline(),
                Station::Old(_) => None,
            };
            if deadline.is_some_and(|at| at <= self.now) {
                self.feed_agent(index, Agent::tick());
            }
        }
    }

    fn act(&mut self, due: Due) {
        match due {
            Due::Arrival { call } => self.arrive(call),
            Due::Submission { submission, agent } => self.submit(&submission, agent),
            Due::First { number, call } => {
                // The caller may have left meanwhile.
                if let Some((agent, _)) = self.running(number, call) {
                    self.feed_agent(agent, AgentEvent::Answered { call });
                    if let Some(request) = self.requests.get_mut(&number) {
                        request.first = Some(self.now + LINK);
                    }
                }
            }
            Due::End { number, call } => {
                if let Some((agent, _)) = self.running(number, call) {
                    self.feed_agent(agent, AgentEvent::Finished { call });
                    self.calls.remove(&call);
                    self.answered(number);
                }
            }
            Due::Refusal { number, reason } => {
                let verdict = Verdict::NotRun { reason };
                self.feed_entry(EntryEvent::AttemptEnded { number, verdict });
            }
            Due::Leave { number } => self.leave(number),
            Due::Announcements => self.announce(),
        }
    }

    fn running(&self, number: u64, call: u64) -> Option<(usize, u64)> {
        let running = self.requests.get(&number)?.running?;
        (running.1 == call).then_some(running)
    }

    fn arrive(&mut self, call: Call) {
        self.next += 1;
        let number = self.next;
        self.report.offered(call.customer);
        let request = Request {
            call,
            arrived: self.now,
            first: None,
            running: None,
        };
        self.requests.insert(number, request);
        self.at(self.now + DEADLINE, Due::Leave { number });
        let arrival = Arrival {
            key: Some(call.customer.key()),
            subject: Subject::Completion {
                name: "price",
                prompt_tokens: PROMPT,
                max_tokens: TOKENS_ALLOWED,
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
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        self.next += 1;
        let call = self.next;
        request.running = Some((agent, call));
        self.calls.insert(call, (number, self.now));
        let mut submission = submission.clone();
        if self.policy == Policy::Fair {
            // The agent knows of no expectation, so it refuses nothing early.
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

    fn answered(&mut self, number: u64) {
        let verdict = Verdict::Ran;
        self.feed_entry(EntryEvent::AttemptEnded { number, verdict });
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let first = request.first.unwrap_or(self.now);
        let in_time = first.saturating_duration_since(request.arrived) <= FIRST_TOKEN
            && self.now.saturating_duration_since(request.arrived) <= DEADLINE;
        let customer = request.call.customer;
        let tokens = u64::from(PROMPT + request.call.tokens);
        if in_time {
            self.report.attained(customer);
        } else {
            self.report.late();
        }
        self.feed_entry(EntryEvent::Metered { number, tokens });
        self.forget(number);
    }

    fn leave(&mut self, number: u64) {
        if self.requests.contains_key(&number) {
            self.report.refused(Reason::CallerLeft);
            self.forget(number);
        }
    }

    /// The caller's connection ends, and with it the call at an agent.
    fn forget(&mut self, number: u64) {
        let request = self.requests.remove(&number);
        self.feed_entry(EntryEvent::Dropped { number });
        if let Some((agent, call)) = request.and_then(|request| request.running)
            && self.calls.remove(&call).is_some()
        {
            self.feed_agent(agent, AgentEvent::Finished { call });
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
                    self.at(self.now + LINK, Due::Submission { submission, agent });
                }
                entry::Command::Settle {
                    number,
                    verdict: Verdict::NotRun { reason },
                    ..
                } => {
                    self.report.refused(reason);
                    self.forget(number);
                }
                entry::Command::CountRetry { .. } => self.report.retried(),
                _ => {}
            }
        }
    }

    fn feed_agent(&mut self, index: usize, event: AgentEvent<'_>) {
        let mut out = Vec::new();
        match &mut self.agents[index] {
            Station::New(agent) => agent.handle(self.now, event, &mut out),
            Station::Old(fifo) => fifo.handle(self.now, event, &mut out),
        }
        for command in out {
            match command {
                agent::Command::Start { call, .. } => self.start(call),
                agent::Command::Refuse { call, reason, .. } => {
                    if let Some((number, _)) = self.calls.remove(&call) {
                        self.at(self.now + LINK, Due::Refusal { number, reason });
                    }
                }
                #[allow(unreachable_patterns, reason = "commands for engines' memory")]
                _ => {}
            }
        }
    }

    fn start(&mut self, call: u64) {
        let Some(&(number, submitted)) = self.calls.get(&call) else {
            return;
        };
        self.report
            .waited(self.now.saturating_duration_since(submitted));
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let whole = FIRST + TOKEN * (request.call.tokens - 1);
        self.at(self.now + FIRST, Due::First { number, call });
        self.at(self.now + whole, Due::End { number, call });
    }

    fn announce(&mut self) {
        for index in 0..ENGINES {
            let event = AgentEvent::Announced {
                endpoint: &endpoint(),
                address: address(index),
            };
            self.feed_agent(usize::from(index), event);
        }
        self.at(self.now + ANNOUNCED, Due::Announcements);
    }
}

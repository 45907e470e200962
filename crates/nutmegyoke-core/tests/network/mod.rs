//! Simulation of entries, agents and control on a network that loses, delays, reorders
//! and duplicates messages, with processes that restart at any time.

mod control;
mod fleet;
mod message;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use fleet::Fleet;
use message::{Message, Origin};
use nutmegyoke_core::process::agent::{Command as AgentCommand, Event as AgentEvent};
use nutmegyoke_core::process::control::{Command as ControlCommand, Event as ControlEvent};
use nutmegyoke_core::process::entry::{Command, Event};
use nutmegyoke_core::process::{Agent, Control, Entry, Machine};
use nutmegyoke_core::request::arrival::Subject;
use nutmegyoke_core::request::{Arrival, Id, Reason, Submission, Verdict};

pub use fleet::{AGENTS, ENTRIES};

/// Idempotency keys that callers use.
const KEYS: [&str; 3] = ["lot-1", "lot-2", "lot-3"];

/// Rounds of 0.4 s at the end of a case, together longer than the plan's deadline and every
/// retry delay, so that every request finishes.
const FINAL_ROUNDS: usize = 40;

/// The verdict when the link to an agent breaks after a submission.
const LINK_LOST: Verdict = Verdict::MayHaveRun {
    reason: Reason::LinkLost,
};

/// One step of the simulation.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// The kind of step.
    pub kind: Kind,
    /// Chooses the process, message or request that the step applies to.
    pub pick: usize,
}

/// The kinds of step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A caller sends a booking with an idempotency key.
    CallKeyed,
    /// A caller sends a booking without a key.
    CallUnkeyed,
    /// A caller sends a request that may run more than once.
    CallRepeatable,
    /// A message arrives.
    Deliver,
    /// A message in flight is duplicated.
    Duplicate,
    /// The link of an attempt breaks.
    BreakLink,
    /// An endpoint answers a request.
    Finish,
    /// An endpoint fails while it runs a request.
    Fail,
    /// An attempt reaches its deadline.
    TimeOut,
    /// An entry gives up waiting for the answer to a claim.
    ClaimUnanswered,
    /// A caller disconnects.
    Disconnect,
    /// Time passes.
    Advance,
    /// An entry receives the current configuration and directory.
    Update,
    /// An agent receives a new configuration.
    Configure,
    RestartAgent,
    RestartEntry,
}

/// A request that an endpoint is running.
#[derive(Clone, Debug)]
struct Running {
    agent: usize,
    call: u64,
    reply: Origin,
}

/// All processes, the messages in flight between them, and the state of each request.
pub struct Simulation {
    now: Instant,
    fleet: Fleet,
    entries: Vec<Entry>,
    /// The run number of each entry, unique among the runs of all entries.
    runs: [u64; ENTRIES],
    agents: Vec<Agent>,
    control: Control,
    messages: Vec<Message>,
    /// The attempt in progress, by the run of the entry and the number of the request.
    attempts: HashMap<(u64, u64), Origin>,
    /// The attempt behind each call, by agent and call.
    calls: HashMap<(usize, u64), Origin>,
    running: Vec<Running>,
    /// The last number given to a request or call.
    last_number: u64,
    /// The booking that a request makes; the same for requests with the same key.
    bookings: HashMap<Id, String>,
    /// How often each request ran.
    ran: HashMap<Id, u32>,
    /// Requests for which the caller got the verdict that they did not run.
    refused: Vec<Id>,
    /// The first violation of the at-most-once guarantee.
    pub violation: Option<String>,
}

impl Simulation {
    /// Creates a simulation in which every process is up.
    pub fn open() -> Self {
        let fleet = Fleet::open();
        let mut simulation = Self {
            now: Instant::now(),
            entries: (0..ENTRIES)
                .map(|entry| Fleet::entry(entry as u64 + 1))
                .collect(),
            runs: std::array::from_fn(|entry| entry as u64 + 1),
            agents: (0..AGENTS).map(|agent| fleet.agent(agent)).collect(),
            control: control::open(),
            fleet,
            messages: Vec::new(),
            attempts: HashMap::new(),
            calls: HashMap::new(),
            running: Vec::new(),
            last_number: 100,
            bookings: HashMap::new(),
            ran: HashMap::new(),
            refused: Vec::new(),
            violation: None,
        };
        for entry in 0..ENTRIES {
            simulation.update_entry(entry);
        }
        simulation
    }

    /// Performs one step.
    pub fn step(&mut self, step: Step) {
        let Step { kind, pick } = step;
        match kind {
            Kind::CallKeyed => self.call(pick, Some(KEYS[pick / ENTRIES % KEYS.len()]), "POST"),
            Kind::CallUnkeyed => self.call(pick, None, "POST"),
            Kind::CallRepeatable => self.call(pick, None, "GET"),
            Kind::Deliver => self.deliver(pick),
            Kind::Duplicate => self.duplicate(pick),
            Kind::BreakLink => self.break_link(pick),
            Kind::Finish => self.finish(pick, Verdict::Ran),
            Kind::Fail => self.finish(
                pick,
                Verdict::MayHaveRun {
                    reason: Reason::EndpointFailed,
                },
            ),
            Kind::TimeOut => self.time_out(pick),
            Kind::ClaimUnanswered => self.claim_unanswered(pick),
            Kind::Disconnect => self.disconnect(pick),
            Kind::Advance => self.advance(pick),
            Kind::Update => self.update_entry(pick % ENTRIES),
            Kind::Configure => self.configure_agent(pick % AGENTS),
            Kind::RestartAgent => self.restart_agent(pick % AGENTS),
            Kind::RestartEntry => self.restart_entry(pick % ENTRIES),
        }
    }

    /// Delivers all messages and ends all requests. Then checks that no request ran for which
    /// the caller got the verdict that it did not.
    pub fn end_and_check(&mut self) {
        for _ in 0..FINAL_ROUNDS {
            while !self.messages.is_empty() {
                self.deliver(0);
            }
            while !self.running.is_empty() {
                self.finish(0, Verdict::Ran);
            }
            self.advance(399);
        }
        for id in &self.refused {
            if self.ran.contains_key(id) {
                self.violation.get_or_insert(format!(
                    "request {id} ran, but its verdict was that it did not run"
                ));
            }
        }
    }

    fn call(&mut self, pick: usize, key: Option<&str>, method: &str) {
        let entry = pick % ENTRIES;
        self.last_number += 1;
        let number = self.last_number;
        let id = Id {
            entry: self.runs[entry],
            number,
        };
        if method == "POST" {
            let booking = key.map_or(id.to_string(), str::to_owned);
            self.bookings.insert(id, booking);
        }
        let arrival = Arrival {
            key: Some("key"),
            subject: Subject::Call {
                service: "desk",
                method,
                path: "/bookings",
            },
            idempotency_key: key,
            once: false,
            digest: 1,
        };
        self.feed(
            entry,
            Event::Arrived {
                number,
                arrival: &arrival,
            },
        );
    }

    /// Feeds an event to an entry and sends the messages that it commands.
    fn feed(&mut self, entry: usize, event: Event<'_>) {
        let mut out = Vec::new();
        self.entries[entry].handle(self.now, event, &mut out);
        let run = self.runs[entry];
        for command in out {
            match command {
                Command::Claim {
                    number,
                    name,
                    holder,
                    digest,
                } => self.messages.push(Message::Claim {
                    reply: Origin {
                        entry,
                        run,
                        number,
                        attempt: 0,
                    },
                    name,
                    holder,
                    digest,
                }),
                Command::Conclude {
                    name,
                    holder,
                    verdict,
                    vm,
                } => self.messages.push(Message::Conclude {
                    name,
                    holder,
                    verdict,
                    vm,
                }),
                Command::Dispatch {
                    number, submission, ..
                } => self.dispatch(entry, number, submission),
                Command::Finish {
                    number, verdict, ..
                } => {
                    self.record_finished(Id { entry: run, number }, verdict);
                }
                _ => {}
            }
        }
    }

    fn dispatch(&mut self, entry: usize, number: u64, submission: Submission) {
        let run = self.runs[entry];
        let reply = Origin {
            entry,
            run,
            number,
            attempt: submission.attempt,
        };
        self.attempts.insert((run, number), reply);
        let agent = Fleet::addressed_agent(&submission);
        self.messages.push(Message::Submit {
            reply,
            agent,
            submission,
        });
    }

    fn record_finished(&mut self, id: Id, verdict: Verdict) {
        self.attempts.remove(&(id.entry, id.number));
        if let Verdict::NotRun { .. } = verdict {
            self.refused.push(id);
        }
    }

    fn deliver(&mut self, pick: usize) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages.swap_remove(pick % self.messages.len());
        match message {
            Message::Submit {
                reply,
                agent,
                submission,
            } => self.submit(reply, agent, &submission),
            Message::Outcome { reply, verdict } => self.end_attempt(reply, verdict),
            Message::Claim {
                reply,
                name,
                holder,
                digest,
            } => self.feed_control(
                ControlEvent::Claimed {
                    call: 0,
                    name: &name,
                    holder,
                    digest,
                    unix_ms: 0,
                },
                Some(reply),
            ),
            Message::Conclude {
                name,
                holder,
                verdict,
                vm,
            } => self.feed_control(
                ControlEvent::Concluded {
                    call: 0,
                    name: &name,
                    holder,
                    verdict,
                    vm: &vm,
                },
                None,
            ),
            Message::ClaimDecided { reply, outcome } => {
                if self.runs[reply.entry] == reply.run {
                    let number = reply.number;
                    let outcome = &outcome;
                    self.feed(reply.entry, Event::ClaimDecided { number, outcome });
                }
            }
        }
    }

    fn feed_control(&mut self, event: ControlEvent<'_>, reply: Option<Origin>) {
        for command in control::feed(&mut self.control, self.now, event) {
            if let (ControlCommand::AnswerClaim { outcome, .. }, Some(reply)) = (command, reply) {
                self.messages.push(Message::ClaimDecided { reply, outcome });
            }
        }
    }

    /// Reports the end of an attempt to its entry, unless the attempt has ended already.
    fn end_attempt(&mut self, reply: Origin, verdict: Verdict) {
        let expected = self.attempts.get(&(reply.run, reply.number));
        if self.runs[reply.entry] != reply.run || expected != Some(&reply) {
            return;
        }
        self.attempts.remove(&(reply.run, reply.number));
        let number = reply.number;
        self.feed(reply.entry, Event::AttemptEnded { number, verdict });
    }

    fn submit(&mut self, reply: Origin, agent: usize, submission: &Submission) {
        self.last_number += 1;
        let call = self.last_number;
        self.calls.insert((agent, call), reply);
        self.feed_agent(
            agent,
            AgentEvent::Submitted {
                call,
                submission,
                bytes: 0,
            },
        );
    }

    fn feed_agent(&mut self, agent: usize, event: AgentEvent<'_>) {
        let mut out = Vec::new();
        self.agents[agent].handle(self.now, event, &mut out);
        for command in out {
            match command {
                AgentCommand::Start { call, .. } => self.start(agent, call),
                AgentCommand::Refuse { call, reason, .. } => {
                    if let Some(reply) = self.calls.remove(&(agent, call)) {
                        let verdict = AgentCommand::verdict(reason);
                        self.messages.push(Message::Outcome { reply, verdict });
                    }
                }
                #[allow(unreachable_patterns, reason = "other commands concern no request")]
                _ => {}
            }
        }
    }

    /// Starts a request on the endpoint and checks that no booking runs twice.
    fn start(&mut self, agent: usize, call: u64) {
        let Some(&reply) = self.calls.get(&(agent, call)) else {
            return;
        };
        let id = Id {
            entry: reply.run,
            number: reply.number,
        };
        self.running.push(Running { agent, call, reply });
        *self.ran.entry(id).or_default() += 1;
        let Some(booking) = self.bookings.get(&id) else {
            return;
        };
        let runs_of_booking = self
            .ran
            .iter()
            .filter(|(id, _)| self.bookings.get(id) == Some(booking));
        let runs: u32 = runs_of_booking.map(|(_, runs)| runs).sum();
        if runs > 1 {
            self.violation
                .get_or_insert(format!("booking {booking} ran {runs} times"));
        }
    }

    fn finish(&mut self, pick: usize, verdict: Verdict) {
        if self.running.is_empty() {
            return;
        }
        let Running { agent, call, reply } = self.running.swap_remove(pick % self.running.len());
        self.calls.remove(&(agent, call));
        self.messages.push(Message::Outcome { reply, verdict });
        self.feed_agent(agent, AgentEvent::Ended { call });
    }

    fn duplicate(&mut self, pick: usize) {
        if !self.messages.is_empty() {
            let message = self.messages[pick % self.messages.len()].clone();
            self.messages.push(message);
        }
    }

    /// Breaks the link of an attempt. Its messages may still arrive.
    fn break_link(&mut self, pick: usize) {
        if self.attempts.is_empty() {
            return;
        }
        let mut attempts: Vec<Origin> = self.attempts.values().copied().collect();
        attempts.sort_by_key(|reply| (reply.run, reply.number));
        self.end_attempt(attempts[pick % attempts.len()], LINK_LOST);
    }

    /// Lets the entry's timer end an attempt.
    fn time_out(&mut self, pick: usize) {
        let mut attempts: Vec<Origin> = self.attempts.values().copied().collect();
        attempts.sort_by_key(|reply| (reply.run, reply.number));
        if !attempts.is_empty() {
            let verdict = Verdict::MayHaveRun {
                reason: Reason::DeadlinePassed,
            };
            self.end_attempt(attempts[pick % attempts.len()], verdict);
        }
    }

    /// Lets the entry give up waiting for the answer to a claim.
    fn claim_unanswered(&mut self, pick: usize) {
        let claims = self.messages.iter().filter_map(|message| match message {
            Message::Claim { reply, .. } | Message::ClaimDecided { reply, .. } => Some(*reply),
            _ => None,
        });
        let claims: Vec<Origin> = claims.collect();
        if !claims.is_empty() {
            let reply = claims[pick % claims.len()];
            if self.runs[reply.entry] == reply.run {
                let number = reply.number;
                self.feed(reply.entry, Event::ClaimUnanswered { number });
            }
        }
    }

    /// Disconnects the caller of a request that has an attempt in progress.
    fn disconnect(&mut self, pick: usize) {
        let mut attempts: Vec<Origin> = self.attempts.values().copied().collect();
        attempts.sort_by_key(|reply| (reply.run, reply.number));
        if !attempts.is_empty() {
            let Origin {
                entry, run, number, ..
            } = attempts[pick % attempts.len()];
            self.attempts.remove(&(run, number));
            self.feed(entry, Event::Disconnected { number });
        }
    }

    /// Advances the clock by 10 ms to 409 ms.
    fn advance(&mut self, pick: usize) {
        self.now += Duration::from_millis(10 + (pick % 400) as u64);
        for entry in 0..ENTRIES {
            self.feed(entry, Entry::tick());
        }
        for agent in 0..AGENTS {
            self.feed_agent(agent, Agent::tick());
        }
    }

    fn update_entry(&mut self, entry: usize) {
        let update = self.fleet.update();
        self.feed(entry, Event::Updated { update: &update });
    }

    /// Gives an agent a newer configuration before the entries have it.
    fn configure_agent(&mut self, agent: usize) {
        self.fleet.raise_configuration_number();
        let update = self.fleet.update();
        self.feed_agent(agent, AgentEvent::Updated { update: &update });
    }

    fn restart_agent(&mut self, agent: usize) {
        self.fleet.restart_agent(agent);
        self.agents[agent] = self.fleet.agent(agent);
        self.running.retain(|running| running.agent != agent);
        let lost: Vec<(usize, u64)> = self
            .calls
            .keys()
            .copied()
            .filter(|key| key.0 == agent)
            .collect();
        for key in lost {
            if let Some(reply) = self.calls.remove(&key) {
                self.messages.push(Message::Outcome {
                    reply,
                    verdict: LINK_LOST,
                });
            }
        }
    }

    fn restart_entry(&mut self, entry: usize) {
        let run = self.runs[entry];
        self.attempts.retain(|key, _| key.0 != run);
        self.runs[entry] += ENTRIES as u64;
        self.entries[entry] = Fleet::entry(self.runs[entry]);
        self.update_entry(entry);
    }
}

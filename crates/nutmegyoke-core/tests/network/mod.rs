//! Entries, agents and control on a fake network that loses, delays, reorders
//! and duplicates what they send, and lets processes die at any moment.

mod bed;
mod control;
mod message;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use bed::Bed;
use message::{Address, Message};
use nutmegyoke_core::process::agent::{Command as AgentCommand, Event as AgentEvent};
use nutmegyoke_core::process::control::{Command as ControlCommand, Event as ControlEvent};
use nutmegyoke_core::process::entry::{Command, Event};
use nutmegyoke_core::process::{Agent, Control, Entry, Machine};
use nutmegyoke_core::request::arrival::Subject;
use nutmegyoke_core::request::{Arrival, Id, Reason, Submission, Verdict};

pub use bed::{AGENTS, ENTRIES};

/// Idempotency keys that callers use.
const KEYS: [&str; 3] = ["lot-1", "lot-2", "lot-3"];

/// Steps of 0.4 s at the end: longer than the plan's deadline and every pause.
const PASSES: usize = 40;

/// The entry loses sight of what it submitted.
const LOST: Verdict = Verdict::MayHaveRun {
    reason: Reason::LinkLost,
};

/// One step of the world; `pick` chooses what it applies to.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// What happens.
    pub kind: Kind,
    /// Chooses among what it can happen to.
    pub pick: usize,
}

/// What can happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    CallKeyed,
    CallUnkeyed,
    CallRepeatable,
    Deliver,
    Duplicate,
    BreakLink,
    Finish,
    Fail,
    GiveUp,
    Unclaimed,
    Leave,
    Pass,
    Teach,
    Configure,
    RestartAgent,
    RestartEntry,
}

/// A request that an endpoint runs.
#[derive(Clone, Debug)]
struct Running {
    agent: usize,
    call: u64,
    reply: Address,
}

/// All processes, what is on its way between them, and what is known of each request.
pub struct World {
    now: Instant,
    bed: Bed,
    entries: Vec<Entry>,
    runs: [u64; ENTRIES],
    agents: Vec<Agent>,
    control: Control,
    messages: Vec<Message>,
    /// The attempt that each request waits for.
    attempts: HashMap<(u64, u64), Address>,
    calls: HashMap<(usize, u64), Address>,
    running: Vec<Running>,
    next: u64,
    /// The booking that a request stands for; the same for resends of a key.
    bookings: HashMap<Id, String>,
    ran: HashMap<Id, u32>,
    refused: Vec<Id>,
    /// The first breach of a promise.
    pub breach: Option<String>,
}

impl World {
    /// Opens a world in which every process is up.
    pub fn open() -> Self {
        let bed = Bed::open();
        let mut world = Self {
            now: Instant::now(),
            entries: (0..ENTRIES)
                .map(|entry| Bed::entry(entry as u64 + 1))
                .collect(),
            runs: std::array::from_fn(|entry| entry as u64 + 1),
            agents: (0..AGENTS).map(|agent| bed.agent(agent)).collect(),
            control: control::open(),
            bed,
            messages: Vec::new(),
            attempts: HashMap::new(),
            calls: HashMap::new(),
            running: Vec::new(),
            next: 100,
            bookings: HashMap::new(),
            ran: HashMap::new(),
            refused: Vec::new(),
            breach: None,
        };
        for entry in 0..ENTRIES {
            world.teach(entry);
        }
        world
    }

    /// Takes one step.
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
            Kind::GiveUp => self.give_up(pick),
            Kind::Unclaimed => self.unclaimed(pick),
            Kind::Leave => self.leave(pick),
            Kind::Pass => self.pass(pick),
            Kind::Teach => self.teach(pick % ENTRIES),
            Kind::Configure => self.configure(pick % AGENTS),
            Kind::RestartAgent => self.restart_agent(pick % AGENTS),
            Kind::RestartEntry => self.restart_entry(pick % ENTRIES),
        }
    }

    /// Delivers all that is on its way and ends all that runs, then judges.
    pub fn end(&mut self) {
        for _ in 0..PASSES {
            while !self.messages.is_empty() {
                self.deliver(0);
            }
            while !self.running.is_empty() {
                self.finish(0, Verdict::Ran);
            }
            self.pass(399);
        }
        for id in &self.refused {
            if self.ran.contains_key(id) {
                self.breach
                    .get_or_insert(format!("{id} ran and its caller was told it did not"));
            }
        }
    }

    fn call(&mut self, pick: usize, key: Option<&str>, method: &str) {
        let entry = pick % ENTRIES;
        self.next += 1;
        let number = self.next;
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

    /// Feeds an entry and puts what it commands on its way.
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
                    reply: Address {
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
                Command::Settle {
                    number, verdict, ..
                } => {
                    self.settled(Id { entry: run, number }, verdict);
                }
                _ => {}
            }
        }
    }

    fn dispatch(&mut self, entry: usize, number: u64, submission: Submission) {
        let run = self.runs[entry];
        let reply = Address {
            entry,
            run,
            number,
            attempt: submission.attempt,
        };
        self.attempts.insert((run, number), reply);
        let agent = Bed::agent_of(&submission);
        self.messages.push(Message::Submit {
            reply,
            agent,
            submission,
        });
    }

    fn settled(&mut self, id: Id, verdict: Verdict) {
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
            Message::Outcome { reply, verdict } => self.outcome(reply, verdict),
            Message::Claim {
                reply,
                name,
                holder,
                digest,
            } => self.ask(
                ControlEvent::Claimed {
                    call: 0,
                    name: &name,
                    holder,
                    digest,
                    wall: 0,
                },
                Some(reply),
            ),
            Message::Conclude {
                name,
                holder,
                verdict,
                vm,
            } => self.ask(
                ControlEvent::Concluded {
                    call: 0,
                    name: &name,
                    holder,
                    verdict,
                    vm: &vm,
                },
                None,
            ),
            Message::Judged { reply, outcome } => {
                if self.runs[reply.entry] == reply.run {
                    let number = reply.number;
                    let outcome = &outcome;
                    self.feed(reply.entry, Event::ClaimDecided { number, outcome });
                }
            }
        }
    }

    fn ask(&mut self, event: ControlEvent<'_>, reply: Option<Address>) {
        for command in control::ask(&mut self.control, self.now, event) {
            if let (ControlCommand::Judge { outcome, .. }, Some(reply)) = (command, reply) {
                self.messages.push(Message::Judged { reply, outcome });
            }
        }
    }

    /// Feeds the end of an attempt, unless the entry gave the attempt up before.
    fn outcome(&mut self, reply: Address, verdict: Verdict) {
        let waits = self.attempts.get(&(reply.run, reply.number));
        if self.runs[reply.entry] != reply.run || waits != Some(&reply) {
            return;
        }
        self.attempts.remove(&(reply.run, reply.number));
        let number = reply.number;
        self.feed(reply.entry, Event::AttemptEnded { number, verdict });
    }

    fn submit(&mut self, reply: Address, agent: usize, submission: &Submission) {
        self.next += 1;
        let call = self.next;
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

    /// The endpoint begins to run a request: the moment that counts.
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
        let resends = self
            .ran
            .iter()
            .filter(|(id, _)| self.bookings.get(id) == Some(booking));
        let runs: u32 = resends.map(|(_, runs)| runs).sum();
        if runs > 1 {
            self.breach
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
        self.feed_agent(agent, AgentEvent::Finished { call });
    }

    fn duplicate(&mut self, pick: usize) {
        if !self.messages.is_empty() {
            let message = self.messages[pick % self.messages.len()].clone();
            self.messages.push(message);
        }
    }

    /// The link under a submission breaks; what was sent may still arrive.
    fn break_link(&mut self, pick: usize) {
        if self.attempts.is_empty() {
            return;
        }
        let mut waiting: Vec<Address> = self.attempts.values().copied().collect();
        waiting.sort_by_key(|reply| (reply.run, reply.number));
        self.outcome(waiting[pick % waiting.len()], LOST);
    }

    /// The entry's own timer ends an attempt.
    fn give_up(&mut self, pick: usize) {
        let mut waiting: Vec<Address> = self.attempts.values().copied().collect();
        waiting.sort_by_key(|reply| (reply.run, reply.number));
        if !waiting.is_empty() {
            let verdict = Verdict::MayHaveRun {
                reason: Reason::DeadlinePassed,
            };
            self.outcome(waiting[pick % waiting.len()], verdict);
        }
    }

    /// The entry gives up on an answer from control.
    fn unclaimed(&mut self, pick: usize) {
        let claims = self.messages.iter().filter_map(|message| match message {
            Message::Claim { reply, .. } | Message::Judged { reply, .. } => Some(*reply),
            _ => None,
        });
        let claims: Vec<Address> = claims.collect();
        if !claims.is_empty() {
            let reply = claims[pick % claims.len()];
            if self.runs[reply.entry] == reply.run {
                let number = reply.number;
                self.feed(reply.entry, Event::ClaimUnanswered { number });
            }
        }
    }

    /// A caller leaves; of the host's requests only those with an attempt.
    fn leave(&mut self, pick: usize) {
        let mut waiting: Vec<Address> = self.attempts.values().copied().collect();
        waiting.sort_by_key(|reply| (reply.run, reply.number));
        if !waiting.is_empty() {
            let Address {
                entry, run, number, ..
            } = waiting[pick % waiting.len()];
            self.attempts.remove(&(run, number));
            self.feed(entry, Event::Dropped { number });
        }
    }

    /// Time passes.
    fn pass(&mut self, pick: usize) {
        self.now += Duration::from_millis(10 + (pick % 400) as u64);
        for entry in 0..ENTRIES {
            self.feed(entry, Entry::tick());
        }
        for agent in 0..AGENTS {
            self.feed_agent(agent, Agent::tick());
        }
    }

    fn teach(&mut self, entry: usize) {
        let news = self.bed.news();
        self.feed(entry, Event::Updated { update: &news });
    }

    /// An agent learns of a newer configuration before the entries do.
    fn configure(&mut self, agent: usize) {
        self.bed.raise();
        let news = self.bed.news();
        self.feed_agent(agent, AgentEvent::Taught { news: &news });
    }

    fn restart_agent(&mut self, agent: usize) {
        self.bed.restart(agent);
        self.agents[agent] = self.bed.agent(agent);
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
                    verdict: LOST,
                });
            }
        }
    }

    fn restart_entry(&mut self, entry: usize) {
        let run = self.runs[entry];
        self.attempts.retain(|key, _| key.0 != run);
        self.runs[entry] += ENTRIES as u64;
        self.entries[entry] = Bed::entry(self.runs[entry]);
        self.teach(entry);
    }
}

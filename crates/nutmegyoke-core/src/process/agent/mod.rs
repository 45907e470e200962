//! The decisions of an agent, the sole authority over the endpoints of its VM.
//!
//! A submitted request is refused, queued or started; the agent alone knows
//! for sure that a request it refused did not run.

pub mod event;
pub mod ledger;
pub mod memory;
pub mod seen;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

pub use event::{Command, Event};
pub use ledger::Ledger;
pub use memory::Memory;
use seen::Seen;

use super::endpoint::Phase;
use super::{Endpoint, Machine, Sink};
use crate::request::{Reason, Submission, Verdict};
use crate::version::Configuration;

/// Requests that wait for one endpoint at most.
const QUEUE: usize = 64;

/// An agent's decision state.
#[derive(Debug)]
pub struct Agent {
    incarnation: u64,
    configuration: Rc<Configuration>,
    endpoints: BTreeMap<String, Backend>,
    calls: HashMap<u64, Call>,
    seen: Seen,
    draining: bool,
}

/// An endpoint with its queue.
#[derive(Debug)]
struct Backend {
    endpoint: Endpoint,
    address: SocketAddr,
    running: u32,
    queue: VecDeque<u64>,
}

/// A submitted request until its end.
#[derive(Debug)]
struct Call {
    endpoint: String,
    running: bool,
}

impl Agent {
    /// Opens an agent that knows no endpoint yet.
    ///
    /// `incarnation` tells this run from earlier ones on the same VM.
    #[must_use]
    pub fn open(incarnation: u64) -> Self {
        Self {
            incarnation,
            configuration: Rc::default(),
            endpoints: BTreeMap::new(),
            calls: HashMap::new(),
            seen: Seen::default(),
            draining: false,
        }
    }

    /// The endpoints as the directory shall show them.
    #[must_use]
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.endpoints
            .values()
            .map(|backend| {
                let mut endpoint = backend.endpoint.clone();
                if self.draining {
                    endpoint.phase = Phase::Draining;
                }
                endpoint
            })
            .collect()
    }

    /// The configuration in force.
    #[must_use]
    pub fn configuration(&self) -> &Rc<Configuration> {
        &self.configuration
    }

    /// Requests queued or running.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    fn submit<S>(&mut self, call: u64, submission: &Submission, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        if let Err(reason) = self.check(submission) {
            return out.push(Command::Refuse { call, reason });
        }
        self.seen.insert(submission.id, submission.attempt);
        self.calls.insert(
            call,
            Call {
                endpoint: submission.endpoint.clone(),
                running: false,
            },
        );
        if let Some(backend) = self.endpoints.get_mut(&submission.endpoint) {
            backend.queue.push_back(call);
        }
        self.start(&submission.endpoint, out);
    }

    fn check(&self, submission: &Submission) -> Result<(), Reason> {
        if submission.incarnation != self.incarnation {
            return Err(Reason::Restarted);
        }
        if self.draining {
            return Err(Reason::Draining);
        }
        if submission.configuration < self.configuration.number() {
            return Err(Reason::StaleConfiguration);
        }
        if self.seen.contains(submission.id, submission.attempt) {
            return Err(Reason::Duplicate);
        }
        let backend = self.endpoints.get(&submission.endpoint);
        let backend = backend.ok_or(Reason::NotHeld)?;
        if !backend.endpoint.serves(submission.destination.target()) {
            return Err(Reason::NotHeld);
        }
        if backend.queue.len() >= QUEUE {
            return Err(Reason::QueueFull);
        }
        Ok(())
    }

    fn start<S>(&mut self, name: &str, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let Some(backend) = self.endpoints.get_mut(name) else {
            return;
        };
        while backend.running < backend.endpoint.slots {
            let Some(call) = backend.queue.pop_front() else {
                return;
            };
            if let Some(state) = self.calls.get_mut(&call) {
                state.running = true;
                backend.running += 1;
                out.push(Command::Start {
                    call,
                    address: backend.address,
                });
            }
        }
    }

    fn finish<S>(&mut self, call: u64, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let Some(state) = self.calls.remove(&call) else {
            return;
        };
        if let Some(backend) = self.endpoints.get_mut(&state.endpoint) {
            if state.running {
                backend.running -= 1;
            } else {
                backend.queue.retain(|&waiting| waiting != call);
            }
        }
        self.start(&state.endpoint, out);
    }

    fn announce(&mut self, endpoint: &Endpoint, address: SocketAddr) {
        let backend = self
            .endpoints
            .entry(endpoint.name.clone())
            .or_insert_with(|| Backend {
                endpoint: endpoint.clone(),
                address,
                running: 0,
                queue: VecDeque::new(),
            });
        backend.endpoint = endpoint.clone();
        backend.address = address;
    }
}

impl Machine for Agent {
    type Event<'a> = Event<'a>;
    type Command = Command;

    fn handle<S>(&mut self, _now: Instant, event: Event<'_>, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        match event {
            Event::Announced { endpoint, address } => self.announce(endpoint, address),
            Event::Submitted { call, submission } => self.submit(call, submission, out),
            Event::Finished { call } => self.finish(call, out),
            Event::Taught { news } => {
                if let Some(newer) = &news.configuration
                    && newer.number() > self.configuration.number()
                {
                    self.configuration = Rc::clone(newer);
                }
            }
            Event::Drained => self.draining = true,
            Event::Ticked => {}
        }
    }

    fn tick() -> Event<'static> {
        Event::Ticked
    }

    fn deadline(&self) -> Option<Instant> {
        None
    }
}

impl Command {
    /// The verdict behind a refusal by the agent, which knows that nothing ran.
    #[must_use]
    pub fn verdict(reason: Reason) -> Verdict {
        match reason {
            // The earlier submission of the same attempt may be running.
            // The earlier run of this agent may have taken it; that is forgotten.
            Reason::Duplicate | Reason::Restarted => Verdict::MayHaveRun { reason },
            _ => Verdict::NotRun { reason },
        }
    }
}

//! The state machine of an agent, the sole authority over the endpoints of its VM.
//!
//! A submitted request is refused, queued or started at a [`backend`], which holds the
//! [`queue`] and the slots of one endpoint. Only the agent can say for certain that a
//! request which it refused did not run. The [`memory`] of engines is a state machine of
//! its own, with one [`ledger`] per engine. All state lives as long as the process.

pub mod backend;
pub mod dedup;
pub mod estimate;
pub mod event;
pub mod ledger;
pub mod memory;
pub mod queue;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use backend::{Backend, Decision, Refusal};
use dedup::Window;
pub use event::{Command, Event};
pub use ledger::Ledger;
pub use memory::Memory;
use queue::Item;

use super::endpoint::Phase;
use super::{Endpoint, Machine, Sink};
use crate::request::{Reason, Submission, Verdict};
use crate::version::Configuration;

/// The state of an agent.
#[derive(Debug)]
pub struct Agent {
    incarnation: u64,
    configuration: Rc<Configuration>,
    endpoints: BTreeMap<String, Backend>,
    calls: HashMap<u64, Call>,
    dedup: Window,
    draining: bool,
}

/// A submitted request that has not ended.
#[derive(Debug)]
struct Call {
    endpoint: String,
    cost: u64,
    /// When it got a slot; `None` while it is queued.
    started: Option<Instant>,
    answer_started: bool,
}

impl Agent {
    /// Creates an agent without endpoints.
    ///
    /// `incarnation` distinguishes this run from earlier ones on the same VM.
    #[must_use]
    pub fn open(incarnation: u64) -> Self {
        Self {
            incarnation,
            configuration: Rc::default(),
            endpoints: BTreeMap::new(),
            calls: HashMap::new(),
            dedup: Window::default(),
            draining: false,
        }
    }

    /// The endpoints as listed in the directory.
    #[must_use]
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.endpoints
            .values()
            .filter(|backend| !backend.lease_expired())
            .map(|backend| {
                let mut endpoint = backend.endpoint();
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

    /// The number of requests queued or running at one endpoint.
    #[must_use]
    pub fn load(&self, endpoint: &str) -> u32 {
        let backend = self.endpoints.get(endpoint);
        backend.map_or(0, |backend| {
            let queued = u32::try_from(backend.queue().len()).unwrap_or(u32::MAX);
            backend.running().saturating_add(queued)
        })
    }

    /// The number of requests queued or running.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// The number of requests that wait for a slot.
    #[must_use]
    pub fn queued(&self) -> usize {
        let queues = self.endpoints.values().map(Backend::queue);
        queues.map(queue::Queue::len).sum()
    }

    /// Whether the process is about to stop and accepts no new requests.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.draining
    }

    fn submit<S>(
        &mut self,
        now: Instant,
        call: u64,
        submission: &Submission,
        bytes: usize,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        let item = Item {
            call,
            customer: submission.customer.clone(),
            destination: submission.destination.clone(),
            priority: submission.priority,
            first_token_due: submission
                .first_token
                .map(|remaining| deadline_after(now, remaining)),
            deadline: deadline_after(now, submission.remaining),
            cost: submission.tokens.clamp(1, queue::MAX_COST_TOKENS),
            bytes,
        };
        if let Err(refusal) = self
            .admit_once(submission)
            .and_then(|()| self.check(now, submission, &item))
        {
            return out.push(Command::refuse(call, refusal));
        }
        self.calls.insert(
            call,
            Call {
                endpoint: submission.endpoint.clone(),
                cost: item.cost,
                started: None,
                answer_started: false,
            },
        );
        self.update_backend(now, &submission.endpoint, out, |backend, decisions| {
            backend.push(item, decisions);
        });
    }

    /// Refuses a submission that is meant for an earlier run of the agent, or that was
    /// received before. A submission that is refused afterwards counts as received: its
    /// duplicate may arrive when the cause of the refusal is gone, and the entry may have
    /// retried elsewhere by then.
    fn admit_once(&mut self, submission: &Submission) -> Result<(), Refusal> {
        if submission.incarnation != self.incarnation {
            return Err(Refusal::retry_immediately(Reason::Restarted));
        }
        if self.dedup.contains(submission.id, submission.attempt) {
            return Err(Refusal::retry_immediately(Reason::Duplicate));
        }
        self.dedup.insert(submission.id, submission.attempt);
        Ok(())
    }

    fn check(&self, now: Instant, submission: &Submission, item: &Item) -> Result<(), Refusal> {
        if self.draining {
            return Err(Refusal::retry_immediately(Reason::Draining));
        }
        if submission.configuration < self.configuration.number() {
            return Err(Refusal::retry_immediately(Reason::StaleConfiguration));
        }
        let backend = self.endpoints.get(&submission.endpoint);
        let backend = backend.ok_or(Refusal::retry_immediately(Reason::NotHeld))?;
        backend.check(now, item)
    }

    /// Changes one backend, starts waiting requests on its free slots, and issues the
    /// commands for its decisions.
    fn update_backend<S, F>(&mut self, now: Instant, name: &str, out: &mut S, change: F)
    where
        S: Sink<Command = Command>,
        F: FnOnce(&mut Backend, &mut Vec<Decision>),
    {
        let Some(backend) = self.endpoints.get_mut(name) else {
            return;
        };
        let mut decisions = Vec::new();
        change(backend, &mut decisions);
        backend.fill_slots(now, &mut decisions);
        let address = backend.address();
        for decision in decisions {
            match decision {
                Decision::Start { item } => {
                    if let Some(state) = self.calls.get_mut(&item.call) {
                        state.started = Some(now);
                    }
                    let call = item.call;
                    out.push(Command::Start { call, address });
                }
                Decision::Refuse { call, refusal } => {
                    self.calls.remove(&call);
                    out.push(Command::refuse(call, refusal));
                }
            }
        }
    }

    fn begin_answer(&mut self, now: Instant, call: u64) {
        let Some(state) = self.calls.get_mut(&call) else {
            return;
        };
        let backend = self.endpoints.get_mut(&state.endpoint);
        if let (Some(started), false, Some(backend)) =
            (state.started, state.answer_started, backend)
        {
            state.answer_started = true;
            backend.record_first_byte(now.saturating_duration_since(started));
        }
    }

    fn end_call<S>(&mut self, now: Instant, call: u64, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let Some(state) = self.calls.remove(&call) else {
            return;
        };
        self.update_backend(now, &state.endpoint, out, |backend, _| {
            match state.started {
                Some(started) => {
                    let elapsed = now.saturating_duration_since(started);
                    backend.release_slot(state.answer_started.then_some(elapsed), state.cost);
                }
                None => backend.remove(call),
            }
        });
    }

    fn announce<S>(&mut self, now: Instant, endpoint: &Endpoint, address: SocketAddr, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let name = &endpoint.name;
        self.endpoints
            .entry(name.clone())
            .or_insert_with(|| Backend::open(now, endpoint, address));
        self.update_backend(now, name, out, |backend, decisions| {
            backend.announce(now, endpoint, address);
            if backend.draining() {
                backend.drain(decisions);
            }
        });
    }

    fn withdraw<S>(&mut self, now: Instant, name: &str, withdrawn: bool, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        self.update_backend(now, name, out, |backend, decisions| {
            backend.set_withdrawn(withdrawn);
            if withdrawn {
                backend.drain(decisions);
            }
        });
    }

    fn drain<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        self.draining = true;
        for name in self.endpoint_names() {
            self.update_backend(now, &name, out, Backend::drain);
        }
    }

    /// Refuses requests that have expired and drops endpoints whose lease has expired.
    fn expire<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        for name in self.endpoint_names() {
            self.update_backend(now, &name, out, |backend, decisions| {
                backend.expire_lease(now, decisions);
            });
        }
        // A backend with running requests stays until they have ended or the endpoint
        // announces itself again.
        self.endpoints
            .retain(|_, backend| !backend.lease_expired() || backend.running() > 0);
    }

    fn endpoint_names(&self) -> Vec<String> {
        self.endpoints.keys().cloned().collect()
    }
}

impl Machine for Agent {
    type Event<'a> = Event<'a>;
    type Command = Command;

    fn handle<S>(&mut self, now: Instant, event: Event<'_>, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        match event {
            Event::Announced { endpoint, address } => self.announce(now, endpoint, address, out),
            Event::Submitted {
                call,
                submission,
                bytes,
            } => self.submit(now, call, submission, bytes, out),
            Event::AnswerStarted { call } => self.begin_answer(now, call),
            Event::Ended { call } => self.end_call(now, call, out),
            Event::Updated { update } => {
                if let Some(newer) = &update.configuration
                    && newer.number() > self.configuration.number()
                {
                    self.configuration = Rc::clone(newer);
                }
            }
            Event::Withdrawn {
                endpoint,
                withdrawn,
            } => self.withdraw(now, endpoint, withdrawn, out),
            Event::Stopping => self.drain(now, out),
            Event::Ticked => self.expire(now, out),
        }
    }

    fn tick() -> Event<'static> {
        Event::Ticked
    }

    fn deadline(&self) -> Option<Instant> {
        self.endpoints.values().filter_map(Backend::deadline).min()
    }
}

/// The maximum time that a request may wait and run, so that a value sent by an entry
/// cannot overflow the clock.
const MAX_REQUEST_DURATION: Duration = Duration::from_hours(24);

/// `now + remaining`, at most [`MAX_REQUEST_DURATION`] ahead.
fn deadline_after(now: Instant, remaining: Duration) -> Instant {
    now + remaining.min(MAX_REQUEST_DURATION)
}

impl Command {
    fn refuse(call: u64, refusal: Refusal) -> Self {
        Self::Refuse {
            call,
            reason: refusal.reason,
            retry_after: refusal.retry_after,
        }
    }

    /// The verdict that a refusal for `reason` implies.
    #[must_use]
    pub fn verdict(reason: Reason) -> Verdict {
        match reason {
            // Duplicate: the earlier submission of the same attempt may be running.
            // Restarted: an earlier run of this agent may have accepted the request,
            // of which this run has no record.
            Reason::Duplicate | Reason::Restarted => Verdict::MayHaveRun { reason },
            _ => Verdict::NotRun { reason },
        }
    }
}

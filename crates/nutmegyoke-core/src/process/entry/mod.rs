//! The decisions of an entry: admission, routing, retries.
//!
//! An arrival is admitted by the configuration in force, routed to an endpoint
//! of the directory and dispatched. When the attempt ends, its verdict decides
//! between another attempt and the answer to the caller.

pub mod bucket;
pub mod event;
pub mod quota;
pub mod route;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

pub use event::{Command, Event};
use quota::Quotas;

use super::member::Role;
use super::{DataCentre, Directory, Machine, Sink};
use crate::request::arrival::Subject;
use crate::request::attempt::{self, Next, Progress};
use crate::request::{Arrival, Id, Reason, Submission, Verdict, admission};
use crate::version::Configuration;

/// An entry's decision state.
#[derive(Debug)]
pub struct Entry {
    run: u64,
    data_centre: DataCentre,
    configuration: Rc<Configuration>,
    directory: Directory,
    requests: HashMap<u64, Request>,
    loads: route::Loads,
    quotas: Quotas,
    entries: u32,
    random: fastrand::Rng,
    draining: bool,
}

/// One request in flight.
#[derive(Debug)]
struct Request {
    submission: Submission,
    deadline: Instant,
    first_token: Option<Instant>,
    started: bool,
    target: route::Choice,
}

impl Entry {
    /// Opens an entry without configuration and directory.
    ///
    /// `run` identifies this run of the process, see [`Id::entry`]; `seed`
    /// seeds the sampling of endpoints.
    #[must_use]
    pub fn open(run: u64, data_centre: &DataCentre, seed: u64) -> Self {
        Self {
            run,
            data_centre: data_centre.clone(),
            configuration: Rc::default(),
            directory: Directory::default(),
            requests: HashMap::new(),
            loads: route::Loads::default(),
            quotas: Quotas::default(),
            entries: 1,
            random: fastrand::Rng::with_seed(seed),
            draining: false,
        }
    }

    /// The configuration in force.
    #[must_use]
    pub fn configuration(&self) -> &Rc<Configuration> {
        &self.configuration
    }

    /// The copy of the directory.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// The identity of request `number` across processes.
    #[must_use]
    pub fn id(&self, number: u64) -> Id {
        Id {
            entry: self.run,
            number,
        }
    }

    /// What the plans have used of their limits.
    #[must_use]
    pub fn quotas(&self) -> &Quotas {
        &self.quotas
    }

    /// Whether the entry can serve: it has a configuration and is not leaving.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.configuration.number() > 0 && !self.draining
    }

    fn arrive<S>(&mut self, now: Instant, number: u64, arrival: &Arrival<'_>, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        if self.draining {
            return out.push(refuse(number, Reason::Draining));
        }
        let admission = match admission::admit(&self.configuration, arrival) {
            Ok(admission) => admission,
            Err(reason) => return out.push(refuse(number, reason)),
        };
        let (first_token, tokens) = match arrival.subject {
            Subject::Completion { prompt, tokens, .. } => {
                let all = u64::from(prompt) + u64::from(tokens);
                (Some(admission.plan.first_token), all)
            }
            Subject::Call { .. } => (None, 0),
        };
        let charged = self
            .quotas
            .charge(now, number, admission.plan, tokens, self.entries);
        if let Err(refusal) = charged {
            return out.push(Command::Settle {
                number,
                verdict: Verdict::NotRun {
                    reason: refusal.reason,
                },
                after: Some(refusal.after),
            });
        }
        let submission = Submission {
            id: self.id(number),
            attempt: 0,
            customer: admission.plan.customer.clone(),
            priority: admission.plan.priority,
            endpoint: String::new(),
            destination: admission.destination,
            repeat: admission.repeat,
            remaining: admission.plan.deadline,
            first_token,
            tokens,
            configuration: self.configuration.number(),
        };
        let request = Request {
            deadline: now + admission.plan.deadline,
            first_token: first_token.map(|expected| now + expected),
            submission,
            started: false,
            target: route::Choice::default(),
        };
        self.dispatch(now, number, request, out);
    }

    fn dispatch<S>(&mut self, now: Instant, number: u64, mut request: Request, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let query = route::Query {
            target: request.submission.destination.target(),
            data_centre: &self.data_centre,
            avoid: &request.target,
        };
        let Some(choice) = route::choose(&self.directory, &self.loads, query, &mut self.random)
        else {
            self.quotas.meter(number, 0);
            return out.push(refuse(number, Reason::NoEndpoint));
        };
        self.loads.add(&choice);
        request.submission.endpoint.clone_from(&choice.endpoint);
        request.submission.remaining = request.deadline.saturating_duration_since(now);
        let due = request.first_token;
        request.submission.first_token = due.map(|due| due.saturating_duration_since(now));
        request.submission.configuration = self.configuration.number();
        out.push(Command::Dispatch {
            number,
            agent: choice.address,
            submission: request.submission.clone(),
        });
        request.target = choice;
        self.requests.insert(number, request);
    }

    fn settle<S>(&mut self, now: Instant, number: u64, verdict: Verdict, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let Some(mut request) = self.requests.remove(&number) else {
            return;
        };
        self.loads.remove(&request.target);
        let progress = Progress {
            attempts: request.submission.attempt + 1,
            started: request.started,
            repeat: request.submission.repeat,
        };
        match attempt::next(progress, verdict) {
            Next::Retry { reason } if now < request.deadline => {
                out.push(Command::Retried { reason });
                if reason == Reason::StaleConfiguration {
                    out.push(Command::Refresh);
                }
                request.submission.attempt += 1;
                self.dispatch(now, number, request, out);
            }
            Next::Retry { .. } | Next::Settle { .. } => {
                if let Verdict::NotRun { .. } = verdict {
                    self.quotas.meter(number, 0);
                }
                out.push(Command::Settle {
                    number,
                    verdict,
                    after: None,
                });
            }
        }
    }
}

impl Machine for Entry {
    type Event<'a> = Event<'a>;
    type Command = Command;

    fn handle<S>(&mut self, now: Instant, event: Event<'_>, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        match event {
            Event::Arrived { number, arrival } => self.arrive(now, number, arrival, out),
            Event::Started { number } => {
                if let Some(request) = self.requests.get_mut(&number) {
                    request.started = true;
                }
            }
            Event::Settled { number, verdict } => self.settle(now, number, verdict, out),
            Event::Metered { number, tokens } => self.quotas.meter(number, tokens),
            Event::Left { number } => {
                self.quotas
                    .settle(now, number, &self.configuration, self.entries);
                if let Some(request) = self.requests.remove(&number) {
                    self.loads.remove(&request.target);
                }
            }
            Event::Taught { news } => {
                if let Some(newer) = &news.configuration
                    && newer.number() > self.configuration.number()
                {
                    self.configuration = Rc::clone(newer);
                    self.quotas.retain(newer);
                }
                self.directory.learn(&news.directory);
                self.entries = count(&self.directory);
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

/// The live entries, this one included.
fn count(directory: &Directory) -> u32 {
    let entries = directory
        .members()
        .filter(|member| member.role == Role::Entry);
    u32::try_from(entries.count()).unwrap_or(u32::MAX).max(1)
}

fn refuse(number: u64, reason: Reason) -> Command {
    Command::Settle {
        number,
        verdict: Verdict::NotRun { reason },
        after: None,
    }
}

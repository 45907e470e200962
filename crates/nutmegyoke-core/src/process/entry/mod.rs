//! The decisions of an entry: admission, claims, routing, retries.
//!
//! An arrival is admitted by the configuration in force and routed to an
//! endpoint of the directory; a keyed request that must not run twice obtains
//! a claim first. When an attempt ends, its verdict decides between another
//! attempt after a pause and the answer to the caller.

mod attempts;
pub mod backoff;
pub mod bucket;
pub mod budget;
mod claiming;
pub mod event;
pub mod quota;
pub mod request;
pub mod route;
pub mod timer;

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use attempts::conclude;
use budget::Budget;
pub use event::{Command, Event};
use quota::Quotas;
use request::{Phase, Request, Wish};
use route::Router;
use route::policy::NearFirst;
use timer::Timer;

use super::member::Role;
use super::news::News;
use super::{DataCentre, Directory, Machine, Sink};
use crate::request::arrival::Subject;
use crate::request::attempt;
use crate::request::{Admission, Arrival, Id, Reason, Submission, Verdict, admission, claim};
use crate::version::grant::Repeat;
use crate::version::{Configuration, Customer};

/// An entry's decision state.
#[derive(Debug)]
pub struct Entry {
    run: u64,
    configuration: Rc<Configuration>,
    directory: Directory,
    requests: HashMap<u64, Request>,
    router: Router<NearFirst>,
    /// By customer, so that the failures of one use up no other's retries.
    budgets: BTreeMap<Customer, Budget>,
    timer: Timer,
    quotas: Quotas,
    entries: u32,
    random: fastrand::Rng,
    draining: bool,
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
            configuration: Rc::default(),
            directory: Directory::default(),
            requests: HashMap::new(),
            router: Router::open(data_centre, seed),
            budgets: BTreeMap::new(),
            timer: Timer::default(),
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
        let expected = expected(arrival, &admission);
        let charged =
            self.quotas
                .charge(now, number, admission.plan, expected.tokens, self.entries);
        if let Err(refusal) = charged {
            return out.push(Command::Settle {
                number,
                verdict: Verdict::NotRun {
                    reason: refusal.reason,
                },
                after: Some(refusal.after),
            });
        }
        let request = self.admitted(now, number, arrival, admission, expected);
        if request.claim.is_some() {
            self.claim(number, request, out);
        } else {
            self.dispatch(now, number, request, out);
        }
    }

    fn admitted(
        &self,
        now: Instant,
        number: u64,
        arrival: &Arrival<'_>,
        admission: Admission<'_>,
        Expected {
            first_token,
            tokens,
        }: Expected,
    ) -> Request {
        let once = admission.repeat == Repeat::Once;
        let key = arrival.idempotency.filter(|_| once);
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
            incarnation: 0,
            keyed: key.is_some(),
        };
        let claim = key.map(|key| Wish {
            name: claim::Name {
                customer: admission.plan.customer.clone(),
                key: key.to_owned(),
            },
            digest: arrival.digest,
            asked: 0,
            granted: false,
        });
        Request {
            deadline: now + admission.plan.deadline,
            arrived: now,
            first_token: first_token.map(|expected| now + expected),
            submission,
            started: false,
            uncertain: None,
            target: None,
            phase: Phase::Running,
            claim,
        }
    }

    fn leave<S>(&mut self, number: u64, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let Some(request) = self.requests.remove(&number) else {
            return;
        };
        if let Some(at) = request.wake() {
            self.timer.cancel(at, number);
        }
        let reason = Reason::CallerLeft;
        let last = if request.phase == Phase::Running {
            if let Some(place) = &request.target {
                place.gauge.remove();
            }
            Verdict::MayHaveRun { reason }
        } else {
            Verdict::NotRun { reason }
        };
        let verdict = attempt::whole(request.uncertain, last);
        conclude(request, verdict, out);
    }

    /// Takes a request out if it is in `phase`; a late event finds it elsewhere.
    fn take(&mut self, number: u64, phase: Phase) -> Option<Request> {
        if self.requests.get(&number)?.phase != phase {
            return None;
        }
        self.requests.remove(&number)
    }

    fn learn(&mut self, news: &News) {
        if let Some(newer) = &news.configuration
            && newer.number() > self.configuration.number()
        {
            self.configuration = Rc::clone(newer);
            self.quotas.retain(newer);
            let plans = &newer.lists().plans;
            self.budgets
                .retain(|customer, _| plans.iter().any(|plan| plan.customer == *customer));
        }
        let delta = self.directory.expand(&news.directory);
        if self.directory.learn(&delta) {
            self.router.learn(&delta);
        }
        self.entries = count(&self.directory);
    }

    /// Goes on with every request whose pause is over.
    fn wake<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        while let Some(number) = self.timer.due(now) {
            let Some(request) = self.requests.remove(&number) else {
                continue;
            };
            match request.phase {
                Phase::Held { .. } => self.claim(number, request, out),
                _ => self.dispatch(now, number, request, out),
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
            Event::Judged { number, outcome } => self.judged(now, number, outcome, out),
            Event::Unclaimed { number } => self.unclaimed(number, out),
            Event::Forgotten { number } => self.forgotten(number, out),
            Event::Started { number } => {
                if let Some(request) = self.requests.get_mut(&number) {
                    request.started = true;
                }
            }
            Event::Reported { number, load } => {
                let request = self.requests.get(&number);
                if let Some(place) = request.and_then(|request| request.target.as_ref()) {
                    place.gauge.report(now, load);
                }
            }
            Event::Settled { number, verdict } => self.settle(now, number, verdict, out),
            Event::Metered { number, tokens } => self.quotas.meter(number, tokens),
            Event::Left { number } => {
                self.quotas
                    .settle(now, number, &self.configuration, self.entries);
                self.leave(number, out);
            }
            Event::Taught { news } => self.learn(news),
            Event::Drained => self.draining = true,
            Event::Ticked => self.wake(now, out),
        }
    }

    fn tick() -> Event<'static> {
        Event::Ticked
    }

    fn deadline(&self) -> Option<Instant> {
        self.timer.deadline()
    }
}

/// What an admitted request leads to expect.
#[derive(Clone, Copy, Debug)]
struct Expected {
    /// When the first token is due after the arrival, if the request is for tokens.
    first_token: Option<Duration>,
    /// The tokens that it may cost, prompt included.
    tokens: u64,
}

fn expected(arrival: &Arrival<'_>, admission: &Admission<'_>) -> Expected {
    match arrival.subject {
        Subject::Completion { prompt, tokens, .. } => Expected {
            first_token: Some(admission.plan.first_token),
            tokens: u64::from(prompt) + u64::from(tokens),
        },
        Subject::Call { .. } => Expected {
            first_token: None,
            tokens: 0,
        },
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

//! The state machine of an entry: admission, claims, routing, retries.
//!
//! A request is admitted by the current configuration and charged to the
//! [`quota`] of its plan. A keyed request that must run at most once acquires a
//! claim from control first. Then [`route`] chooses an endpoint of the directory,
//! and the request is dispatched to the endpoint's agent. The verdict of the
//! attempt decides whether the request is retried after a [`backoff`] or the
//! caller is answered.
//!
//! A [`request`] is stored from its admission until it is answered, and its charge
//! until the host reports that nothing more is sent to the caller. All other state
//! lives as long as the process.

mod attempts;
pub mod backoff;
pub mod bucket;
mod claims;
pub mod event;
pub mod quota;
pub mod request;
pub mod retry_budget;
pub mod route;
pub mod timer;

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use attempts::conclude_claim;
pub use event::{Command, Event};
use quota::Quotas;
use request::{Acquisition, Phase, Request};
use retry_budget::Budget;
use route::Router;
use route::policy::LocalFirst;
use timer::Timer;

use super::member::Role;
use super::update::Update;
use super::{DataCentre, Directory, Machine, Sink};
use crate::request::arrival::Subject;
use crate::request::attempt;
use crate::request::{Admission, Arrival, Id, Reason, Submission, Verdict, admission, claim};
use crate::version::grant::Repeat;
use crate::version::{Configuration, Customer};

/// An entry's state machine.
#[derive(Debug)]
pub struct Entry {
    run: u64,
    configuration: Rc<Configuration>,
    directory: Directory,
    requests: HashMap<u64, Request>,
    router: Router<LocalFirst>,
    /// Per customer, so that the failures of one customer use up no other's retries.
    retry_budgets: BTreeMap<Customer, Budget>,
    timer: Timer,
    quotas: Quotas,
    /// Live entries of the directory, this one included.
    live_entries: u32,
    random: fastrand::Rng,
    draining: bool,
}

impl Entry {
    /// Opens an entry without a configuration and with an empty directory.
    ///
    /// `run` identifies this run of the process, see [`Id::entry`]. `seed` seeds
    /// the sampling of endpoints and the jitter of backoffs.
    #[must_use]
    pub fn open(run: u64, data_centre: &DataCentre, seed: u64) -> Self {
        Self {
            run,
            configuration: Rc::default(),
            directory: Directory::default(),
            requests: HashMap::new(),
            router: Router::open(data_centre, seed),
            retry_budgets: BTreeMap::new(),
            timer: Timer::default(),
            quotas: Quotas::default(),
            live_entries: 1,
            random: fastrand::Rng::with_seed(seed),
            draining: false,
        }
    }

    /// The current configuration.
    #[must_use]
    pub fn configuration(&self) -> &Rc<Configuration> {
        &self.configuration
    }

    /// This entry's copy of the directory.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// The number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// The ID of request `number` that is unique across processes.
    #[must_use]
    pub fn id(&self, number: u64) -> Id {
        Id {
            entry: self.run,
            number,
        }
    }

    /// The usage of each plan's limits.
    #[must_use]
    pub fn quotas(&self) -> &Quotas {
        &self.quotas
    }

    /// Whether the entry accepts requests: it has a configuration and is not draining.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.configuration.number() > 0 && !self.draining
    }

    /// Admits or refuses a request, then acquires its claim or dispatches it.
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
        let bounds = bounds(arrival, &admission);
        let charged = self.quotas.charge(
            now,
            number,
            admission.plan,
            bounds.tokens,
            self.live_entries,
        );
        if let Err(refusal) = charged {
            return out.push(Command::Finish {
                number,
                verdict: Verdict::NotRun {
                    reason: refusal.reason,
                },
                retry_after: Some(refusal.retry_after),
            });
        }
        let request = self.open_request(now, number, arrival, admission, bounds);
        if request.claim.is_some() {
            self.request_claim(number, request, out);
        } else {
            self.dispatch(now, number, request, out);
        }
    }

    /// Builds the state of an admitted request.
    fn open_request(
        &self,
        now: Instant,
        number: u64,
        arrival: &Arrival<'_>,
        admission: Admission<'_>,
        Bounds {
            first_token,
            tokens,
        }: Bounds,
    ) -> Request {
        let once = admission.repeat == Repeat::Once;
        let key = arrival.idempotency_key.filter(|_| once);
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
        let claim = key.map(|key| Acquisition {
            name: claim::Name {
                customer: admission.plan.customer.clone(),
                key: key.to_owned(),
            },
            digest: arrival.digest,
            tries: 0,
            granted: false,
        });
        Request {
            deadline: now + admission.plan.deadline,
            arrived: now,
            first_token: first_token.map(|limit| now + limit),
            submission,
            answer_started: false,
            uncertain: None,
            candidate: None,
            phase: Phase::Running,
            claim,
        }
    }

    /// Ends a request whose caller disconnected before it was answered.
    fn cancel<S>(&mut self, number: u64, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let Some(request) = self.requests.remove(&number) else {
            return;
        };
        if let Some(at) = request.wake_at() {
            self.timer.cancel(at, number);
        }
        let reason = Reason::CallerLeft;
        let last = if request.phase == Phase::Running {
            if let Some(candidate) = &request.candidate {
                candidate.load.decrement();
            }
            Verdict::MayHaveRun { reason }
        } else {
            Verdict::NotRun { reason }
        };
        let verdict = attempt::overall(request.uncertain, last);
        conclude_claim(request, verdict, out);
    }

    /// Removes a request if it is in `phase`. A late event is ignored, because the
    /// request is in another phase by then.
    fn take_in_phase(&mut self, number: u64, phase: Phase) -> Option<Request> {
        if self.requests.get(&number)?.phase != phase {
            return None;
        }
        self.requests.remove(&number)
    }

    /// Applies a newer configuration and changes of the directory.
    fn apply_update(&mut self, update: &Update) {
        if let Some(newer) = &update.configuration
            && newer.number() > self.configuration.number()
        {
            self.configuration = Rc::clone(newer);
            self.quotas.retain(newer);
            let plans = &newer.lists().plans;
            self.retry_budgets
                .retain(|customer, _| plans.iter().any(|plan| plan.customer == *customer));
        }
        let delta = self.directory.expand(&update.directory);
        if self.directory.apply(&delta) {
            self.router.apply(&delta);
        }
        self.live_entries = count_entries(&self.directory);
    }

    /// Resumes every request whose wakeup is due.
    fn resume_due<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        while let Some(number) = self.timer.pop_due(now) {
            let Some(request) = self.requests.remove(&number) else {
                continue;
            };
            match request.phase {
                Phase::ClaimHeld { .. } => self.request_claim(number, request, out),
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
            Event::ClaimDecided { number, outcome } => {
                self.claim_decided(now, number, outcome, out);
            }
            Event::ClaimUnanswered { number } => self.claim_unanswered(number, out),
            Event::AnswerGone { number } => self.answer_gone(number, out),
            Event::AnswerStarted { number } => {
                if let Some(request) = self.requests.get_mut(&number) {
                    request.answer_started = true;
                }
            }
            Event::LoadReported { number, load } => {
                let request = self.requests.get(&number);
                if let Some(candidate) = request.and_then(|request| request.candidate.as_ref()) {
                    candidate.load.report(now, load);
                }
            }
            Event::AttemptEnded { number, verdict } => {
                self.end_attempt(now, number, verdict, out);
            }
            Event::Metered { number, tokens } => self.quotas.meter(number, tokens),
            Event::Disconnected { number } => {
                self.quotas
                    .finish(now, number, &self.configuration, self.live_entries);
                self.cancel(number, out);
            }
            Event::Updated { update } => self.apply_update(update),
            Event::Stopping => self.draining = true,
            Event::Ticked => self.resume_due(now, out),
        }
    }

    fn tick() -> Event<'static> {
        Event::Ticked
    }

    fn deadline(&self) -> Option<Instant> {
        self.timer.deadline()
    }
}

/// The upper bounds for an admitted request.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    /// The expected time from the arrival to the first token; `None` for a call of a
    /// plain service.
    first_token: Option<Duration>,
    /// The maximum number of tokens that the request uses, prompt included.
    tokens: u64,
}

fn bounds(arrival: &Arrival<'_>, admission: &Admission<'_>) -> Bounds {
    match arrival.subject {
        Subject::Completion {
            prompt_tokens,
            max_tokens,
            ..
        } => Bounds {
            first_token: Some(admission.plan.first_token),
            tokens: u64::from(prompt_tokens) + u64::from(max_tokens),
        },
        Subject::Call { .. } => Bounds {
            first_token: None,
            tokens: 0,
        },
    }
}

/// The number of live entries, at least 1 for this one.
fn count_entries(directory: &Directory) -> u32 {
    let entries = directory
        .members()
        .filter(|member| member.role == Role::Entry);
    u32::try_from(entries.count()).unwrap_or(u32::MAX).max(1)
}

fn refuse(number: u64, reason: Reason) -> Command {
    Command::Finish {
        number,
        verdict: Verdict::NotRun { reason },
        retry_after: None,
    }
}

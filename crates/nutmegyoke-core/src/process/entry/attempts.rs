//! How an entry makes one attempt after the other, until one ends the request.

use std::time::Instant;

use super::budget::Budget;
use super::request::{Phase, Request};
use super::{Command, Entry, backoff};
use crate::process::Sink;
use crate::request::attempt::{self, Next, Progress};
use crate::request::{Reason, Verdict, admission};
use crate::version::Customer;

impl Entry {
    pub(super) fn dispatch<S>(
        &mut self,
        now: Instant,
        number: u64,
        mut request: Request,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        if now >= request.deadline {
            return self.give_up(number, request, Reason::DeadlinePassed, out);
        }
        if !self.allowed(number, &request) {
            return self.give_up(number, request, Reason::NotGranted, out);
        }
        let target = request.submission.destination.target();
        let avoid = request.target.as_deref();
        let Some(place) = self.router.choose(now, target, avoid) else {
            return self.give_up(number, request, Reason::NoEndpoint, out);
        };
        place.gauge.add();
        request.submission.endpoint.clone_from(&place.endpoint);
        request.submission.remaining = request.deadline.saturating_duration_since(now);
        let due = request.first_token;
        request.submission.first_token = due.map(|due| due.saturating_duration_since(now));
        request.submission.configuration = self.configuration.number();
        request.submission.incarnation = place.incarnation;
        out.push(Command::Dispatch {
            number,
            agent: place.address,
            submission: request.submission.clone(),
        });
        request.target = Some(place);
        request.phase = Phase::Running;
        self.requests.insert(number, request);
    }

    /// Whether the configuration in force still allows a request that an earlier
    /// one admitted.
    fn allowed(&self, number: u64, request: &Request) -> bool {
        if request.submission.configuration == self.configuration.number() {
            return true;
        }
        let pace = self.quotas.pace(number);
        let plan = pace.and_then(|pace| self.configuration.plan(pace.plan()));
        let grant = self.configuration.grant(&request.submission.destination);
        plan.zip(grant)
            .is_some_and(|(plan, grant)| admission::allows(grant, plan))
    }

    pub(super) fn settle<S>(&mut self, now: Instant, number: u64, verdict: Verdict, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let Some(mut request) = self.take(number, Phase::Running) else {
            return;
        };
        if let Some(place) = &request.target {
            place.gauge.remove();
            if shuns(verdict) {
                place.gauge.shun(now);
            }
        }
        if verdict == Verdict::Ran {
            self.budget(&request.submission.customer).earn();
        }
        let progress = Progress {
            attempts: request.submission.attempt + 1,
            started: request.started,
            repeat: request.submission.repeat,
            uncertain: request.uncertain,
        };
        match attempt::next(progress, verdict) {
            Next::Retry { reason } => {
                if let Verdict::MayHaveRun { reason } = verdict {
                    request.uncertain = Some(reason);
                }
                self.retry(now, number, request, reason, out);
            }
            Next::Settle { verdict } => self.close(number, request, verdict, out),
        }
    }

    fn budget(&mut self, customer: &Customer) -> &mut Budget {
        self.budgets.entry(customer.clone()).or_default()
    }

    /// Pauses a request until its next attempt, if time and budget allow one.
    fn retry<S>(
        &mut self,
        now: Instant,
        number: u64,
        mut request: Request,
        reason: Reason,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        request.submission.attempt += 1;
        let until = now + backoff::ATTEMPT.pause(request.submission.attempt, &mut self.random);
        if until >= request.deadline {
            return self.give_up(number, request, reason, out);
        }
        if !self.budget(&request.submission.customer).spend() {
            out.push(Command::Withheld { reason });
            return self.give_up(number, request, reason, out);
        }
        out.push(Command::Retried { reason });
        if reason == Reason::StaleConfiguration {
            out.push(Command::Refresh);
        }
        request.phase = Phase::Paused { until };
        self.timer.set(until, number);
        self.requests.insert(number, request);
    }

    /// Ends a request whose last attempt did not run, or was never made.
    pub(super) fn give_up<S>(&mut self, number: u64, request: Request, reason: Reason, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let verdict = attempt::whole(request.uncertain, Verdict::NotRun { reason });
        self.close(number, request, verdict, out);
    }

    /// Answers the caller and concludes the claim that the request holds.
    pub(super) fn close<S>(&mut self, number: u64, request: Request, verdict: Verdict, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        if let Verdict::NotRun { .. } = verdict {
            self.quotas.meter(number, 0);
        }
        out.push(Command::Settle {
            number,
            verdict,
            after: None,
        });
        conclude(request, verdict, out);
    }
}

/// Whether a verdict tells that the place takes no requests now.
fn shuns(verdict: Verdict) -> bool {
    matches!(
        verdict.reason(),
        Some(
            Reason::Unreachable
                | Reason::LinkLost
                | Reason::Draining
                | Reason::NotHeld
                | Reason::Restarted
        )
    )
}

/// Tells control how the holder of a claim ended.
pub(super) fn conclude<S>(request: Request, verdict: Verdict, out: &mut S)
where
    S: Sink<Command = Command>,
{
    if let Some(wish) = request.claim
        && wish.granted
    {
        out.push(Command::Conclude {
            name: wish.name,
            holder: request.submission.id,
            verdict,
            vm: request
                .target
                .map_or_else(String::new, |place| place.vm.clone()),
        });
    }
}

//! Dispatches attempts of a request and decides on retries.

use std::time::Instant;

use super::request::{Phase, Request};
use super::retry_budget::Budget;
use super::{Command, Entry, backoff};
use crate::process::Sink;
use crate::request::attempt::{self, Next, Progress};
use crate::request::{Reason, Verdict, admission};
use crate::version::Customer;

impl Entry {
    /// Submits the next attempt of a request to an agent.
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
        if !self.still_allowed(number, &request) {
            return self.give_up(number, request, Reason::NotGranted, out);
        }
        let target = request.submission.destination.target();
        let avoid = request.candidate.as_deref();
        let Some(candidate) = self.router.choose(now, target, avoid) else {
            return self.give_up(number, request, Reason::NoEndpoint, out);
        };
        candidate.load.increment();
        request.submission.endpoint.clone_from(&candidate.endpoint);
        request.submission.remaining = request.deadline.saturating_duration_since(now);
        let due = request.first_token;
        request.submission.first_token = due.map(|due| due.saturating_duration_since(now));
        request.submission.configuration = self.configuration.number();
        request.submission.incarnation = candidate.incarnation;
        out.push(Command::Dispatch {
            number,
            agent: candidate.address,
            submission: request.submission.clone(),
        });
        request.candidate = Some(candidate);
        request.phase = Phase::Running;
        self.requests.insert(number, request);
    }

    /// Whether the current configuration still allows a request that was
    /// admitted under an earlier one.
    fn still_allowed(&self, number: u64, request: &Request) -> bool {
        if request.submission.configuration == self.configuration.number() {
            return true;
        }
        let latency = self.quotas.latency(number);
        let plan = latency.and_then(|latency| self.configuration.plan(latency.plan()));
        let grant = self.configuration.grant(&request.submission.destination);
        plan.zip(grant)
            .is_some_and(|(plan, grant)| admission::allows(grant, plan))
    }

    /// Retries or finishes a request whose current attempt ended with `verdict`.
    pub(super) fn end_attempt<S>(
        &mut self,
        now: Instant,
        number: u64,
        verdict: Verdict,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        let Some(mut request) = self.take_in_phase(number, Phase::Running) else {
            return;
        };
        if let Some(candidate) = &request.candidate {
            candidate.load.decrement();
            if ejects(verdict) {
                candidate.load.eject(now);
            }
        }
        if verdict == Verdict::Ran {
            self.retry_budget(&request.submission.customer).deposit();
        }
        let progress = Progress {
            attempts: request.submission.attempt + 1,
            answer_started: request.answer_started,
            repeat: request.submission.repeat,
            uncertain: request.uncertain,
        };
        match attempt::next(progress, verdict) {
            Next::Retry { reason } => {
                if let Verdict::MayHaveRun { reason } = verdict {
                    request.uncertain = Some(reason);
                }
                self.schedule_retry(now, number, request, reason, out);
            }
            Next::Finish { verdict } => self.finish(number, request, verdict, out),
        }
    }

    fn retry_budget(&mut self, customer: &Customer) -> &mut Budget {
        self.retry_budgets.entry(customer.clone()).or_default()
    }

    /// Schedules the next attempt, if deadline and retry budget allow one.
    fn schedule_retry<S>(
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
        let until = now + backoff::RETRY.delay(request.submission.attempt, &mut self.random);
        if until >= request.deadline {
            return self.give_up(number, request, reason, out);
        }
        if !self
            .retry_budget(&request.submission.customer)
            .try_withdraw()
        {
            out.push(Command::CountWithheldRetry { reason });
            return self.give_up(number, request, reason, out);
        }
        out.push(Command::CountRetry { reason });
        if reason == Reason::StaleConfiguration {
            out.push(Command::WakeHeartbeat);
        }
        request.phase = Phase::BackingOff { until };
        self.timer.set(until, number);
        self.requests.insert(number, request);
    }

    /// Fails a request without another attempt. The verdict is that it did not run,
    /// unless one of its attempts may have run.
    pub(super) fn give_up<S>(&mut self, number: u64, request: Request, reason: Reason, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let verdict = attempt::overall(request.uncertain, Verdict::NotRun { reason });
        self.finish(number, request, verdict, out);
    }

    /// Answers the caller; if the request holds a claim, reports the verdict to control.
    pub(super) fn finish<S>(&mut self, number: u64, request: Request, verdict: Verdict, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        if let Verdict::NotRun { .. } = verdict {
            self.quotas.meter(number, 0);
        }
        out.push(Command::Finish {
            number,
            verdict,
            retry_after: None,
        });
        conclude_claim(request, verdict, out);
    }
}

/// Whether a verdict means that the endpoint currently accepts no requests, so
/// that it is ejected for a while.
fn ejects(verdict: Verdict) -> bool {
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

/// Reports the verdict of a request that holds a claim to control.
pub(super) fn conclude_claim<S>(request: Request, verdict: Verdict, out: &mut S)
where
    S: Sink<Command = Command>,
{
    if let Some(acquisition) = request.claim
        && acquisition.granted
    {
        out.push(Command::Conclude {
            name: acquisition.name,
            holder: request.submission.id,
            verdict,
            vm: request
                .candidate
                .map_or_else(String::new, |candidate| candidate.vm.clone()),
        });
    }
}

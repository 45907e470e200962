//! Acquires claims and waits for claims that other requests hold.
//!
//! A keyed request that must run at most once is dispatched only while it
//! holds the claim of its key. While another request holds the claim, this one
//! polls control with exponential backoff. When the holder has run, its answer
//! is fetched from the agent that ran it. The verdict of a request that holds a
//! claim is reported to control, which releases the claim if the request did not run.

use std::time::Instant;

use super::backoff;
use super::request::{Phase, Request};
use super::{Command, Entry};
use crate::process::{Sink, directory};
use crate::request::claim::{Claim, Outcome};
use crate::request::{Reason, Verdict};

impl Entry {
    /// Requests the claim from control.
    pub(super) fn request_claim<S>(&mut self, number: u64, mut request: Request, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        if let Some(acquisition) = &mut request.claim {
            acquisition.tries += 1;
            out.push(Command::Claim {
                number,
                name: acquisition.name.clone(),
                holder: request.submission.id,
                digest: acquisition.digest,
            });
        }
        request.phase = Phase::Claiming;
        self.requests.insert(number, request);
    }

    /// Handles control's answer to the request for a claim.
    pub(super) fn claim_decided<S>(
        &mut self,
        now: Instant,
        number: u64,
        outcome: &Outcome,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        let Some(mut request) = self.take_in_phase(number, Phase::Claiming) else {
            return;
        };
        match outcome {
            Outcome::Granted => {
                if let Some(acquisition) = &mut request.claim {
                    acquisition.granted = true;
                }
                self.dispatch(now, number, request, out);
            }
            Outcome::Held { claim } => self.claim_held(now, number, request, claim, out),
            Outcome::Mismatch => {
                let verdict = Verdict::NotRun {
                    reason: Reason::KeyReused,
                };
                self.finish(number, request, verdict, out);
            }
            Outcome::Expired => {
                // An earlier request with the key may have run and its claim been dropped.
                let verdict = Verdict::MayHaveRun {
                    reason: Reason::KeyExpired,
                };
                self.finish(number, request, verdict, out);
            }
            Outcome::Full => {
                let verdict = Verdict::NotRun {
                    reason: Reason::ClaimsFull,
                };
                self.finish(number, request, verdict, out);
            }
        }
    }

    /// Fails a request whose claim was not answered. It was never dispatched.
    pub(super) fn claim_unanswered<S>(&mut self, number: u64, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let Some(mut request) = self.take_in_phase(number, Phase::Claiming) else {
            return;
        };
        // Control may have granted the claim although its answer was lost, so release it.
        if let Some(acquisition) = &mut request.claim {
            acquisition.granted = true;
        }
        let verdict = Verdict::NotRun {
            reason: Reason::Unclaimed,
        };
        self.finish(number, request, verdict, out);
    }

    /// Finishes a resend of a request that ran but whose answer is no longer cached.
    pub(super) fn answer_gone<S>(&mut self, number: u64, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        if let Some(request) = self.take_in_phase(number, Phase::FetchingAnswer) {
            self.finish(number, request, Verdict::Ran, out);
        }
    }

    /// Handles a claim that another request holds, by how that request ended.
    fn claim_held<S>(
        &mut self,
        now: Instant,
        number: u64,
        mut request: Request,
        claim: &Claim,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        match claim.verdict {
            Some(Verdict::Ran) => {
                let Some(member) = self.directory.member(&claim.vm) else {
                    return self.finish(number, request, Verdict::Ran, out);
                };
                out.push(Command::FetchAnswer {
                    number,
                    agent: member.address,
                    id: claim.holder,
                });
                request.phase = Phase::FetchingAnswer;
                self.requests.insert(number, request);
            }
            Some(verdict @ Verdict::MayHaveRun { .. }) => {
                self.finish(number, request, verdict, out);
            }
            // A request that did not run releases its claim, so this one may get it.
            Some(Verdict::NotRun { .. }) | None => {
                self.poll_later(now, number, request, claim, out);
            }
        }
    }

    /// Schedules the next request for a held claim; gives up if the deadline comes
    /// first or the holder is lost.
    fn poll_later<S>(
        &mut self,
        now: Instant,
        number: u64,
        mut request: Request,
        claim: &Claim,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        let tries = request
            .claim
            .as_ref()
            .map_or(1, |acquisition| acquisition.tries);
        let until = now + backoff::CLAIM_POLL.delay(tries, &mut self.random);
        let reason = if until >= request.deadline {
            Reason::StillRunning
        } else if self.holder_lost(now, &request, claim) {
            Reason::HolderLost
        } else {
            request.phase = Phase::ClaimHeld { until };
            self.timer.set(until, number);
            self.requests.insert(number, request);
            return;
        };
        // The request that holds the claim may have run.
        self.finish(number, request, Verdict::MayHaveRun { reason }, out);
    }

    /// Whether the directory no longer lists the entry that holds a claim.
    ///
    /// A new entry may not be listed yet, so the request waits for the length of
    /// a lease first.
    fn holder_lost(&self, now: Instant, request: &Request, claim: &Claim) -> bool {
        let run = claim.holder.entry;
        let waited = now.saturating_duration_since(request.arrived);
        run != self.run
            && waited >= directory::LEASE_DURATION
            && !self
                .directory
                .members()
                .any(|member| member.vm.run_id() == run)
    }
}

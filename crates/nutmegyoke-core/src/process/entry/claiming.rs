//! How an entry obtains, waits for and concludes claims.
//!
//! A keyed request that must not run twice is dispatched only under a claim.
//! While another request holds it, this one looks again with growing pauses
//! until that one has ended; then its answer is recalled from the agent that
//! ran it.

use std::time::Instant;

use super::backoff;
use super::request::{Phase, Request};
use super::{Command, Entry};
use crate::process::{Sink, directory};
use crate::request::claim::{Claim, Outcome};
use crate::request::{Reason, Verdict};

impl Entry {
    /// Asks control for the claim of a request.
    pub(super) fn claim<S>(&mut self, number: u64, mut request: Request, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        if let Some(wish) = &mut request.claim {
            wish.asked += 1;
            out.push(Command::Claim {
                number,
                name: wish.name.clone(),
                holder: request.submission.id,
                digest: wish.digest,
            });
        }
        request.phase = Phase::Claiming;
        self.requests.insert(number, request);
    }

    /// Follows control's answer to the wish for a claim.
    pub(super) fn judged<S>(&mut self, now: Instant, number: u64, outcome: &Outcome, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let Some(mut request) = self.take(number, Phase::Claiming) else {
            return;
        };
        match outcome {
            Outcome::Granted => {
                if let Some(wish) = &mut request.claim {
                    wish.granted = true;
                }
                self.dispatch(now, number, request, out);
            }
            Outcome::Held { claim } => self.held(now, number, request, claim, out),
            Outcome::Mismatch => {
                let verdict = Verdict::NotRun {
                    reason: Reason::KeyReused,
                };
                self.close(number, request, verdict, out);
            }
            Outcome::Expired => {
                // An earlier request with the key may have run, and its claim be dropped.
                let verdict = Verdict::MayHaveRun {
                    reason: Reason::KeyExpired,
                };
                self.close(number, request, verdict, out);
            }
            Outcome::Full => {
                let verdict = Verdict::NotRun {
                    reason: Reason::ClaimsFull,
                };
                self.close(number, request, verdict, out);
            }
        }
    }

    /// Gives up a request that obtained no claim: it was never dispatched.
    pub(super) fn unclaimed<S>(&mut self, number: u64, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let Some(mut request) = self.take(number, Phase::Claiming) else {
            return;
        };
        // Control may have granted it and the answer was lost: release it.
        if let Some(wish) = &mut request.claim {
            wish.granted = true;
        }
        let verdict = Verdict::NotRun {
            reason: Reason::Unclaimed,
        };
        self.close(number, request, verdict, out);
    }

    /// Tells that the request ran although its answer is gone.
    pub(super) fn forgotten<S>(&mut self, number: u64, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        if let Some(request) = self.take(number, Phase::Recalling) {
            self.close(number, request, Verdict::Ran, out);
        }
    }

    fn held<S>(
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
                    return self.close(number, request, Verdict::Ran, out);
                };
                out.push(Command::Recall {
                    number,
                    agent: member.address,
                    id: claim.holder,
                });
                request.phase = Phase::Recalling;
                self.requests.insert(number, request);
            }
            Some(verdict @ Verdict::MayHaveRun { .. }) => {
                self.close(number, request, verdict, out);
            }
            // A request that did not run releases its claim.
            Some(Verdict::NotRun { .. }) | None => self.wait(now, number, request, claim, out),
        }
    }

    fn wait<S>(
        &mut self,
        now: Instant,
        number: u64,
        mut request: Request,
        claim: &Claim,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        let asked = request.claim.as_ref().map_or(1, |wish| wish.asked);
        let until = now + backoff::CLAIM.pause(asked, &mut self.random);
        let reason = if until >= request.deadline {
            Reason::StillRunning
        } else if self.lost(now, &request, claim) {
            Reason::HolderLost
        } else {
            request.phase = Phase::Held { until };
            self.timer.set(until, number);
            self.requests.insert(number, request);
            return;
        };
        // The request behind the claim may have run.
        self.close(number, request, Verdict::MayHaveRun { reason }, out);
    }

    /// Whether the entry that holds a claim is gone, as far as the directory shows.
    ///
    /// The directory may not show a new entry yet, hence the wait of a lease.
    fn lost(&self, now: Instant, request: &Request, claim: &Claim) -> bool {
        let run = claim.holder.entry;
        let waited = now.saturating_duration_since(request.arrived);
        run != self.run
            && waited >= directory::LEASE
            && !self
                .directory
                .members()
                .any(|member| member.vm.run() == run)
    }
}

//! Carries out the entry machine's commands for one request.

use std::rc::Rc;

use hyper::Response;
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::entry::Command;
use nutmegyoke_core::request::{Arrival, Reason, Submission, Verdict};
use nutmegyoke_wire::request::Payload;

use super::answer::Answer;
use super::assembly::{Assembly, assemble};
use super::attempt::Attempt;
use super::reply::{fail, fail_after, respond};
use super::ticket::Ticket;
use super::{Body, stream};
use crate::process;

/// Carries out the machine's commands for one request.
pub async fn forward<C: Clock + 'static>(
    entry: &Rc<process::Entry<C>>,
    arrival: &Arrival<'_>,
    payload: Payload<'_>,
) -> Response<Body> {
    let mut ticket = Ticket::open(entry, arrival);
    while let Some(command) = ticket.next().await {
        match command {
            Command::Dispatch {
                agent, submission, ..
            } => {
                let Ok(client) = entry.pool().get(agent).await else {
                    ticket.settle(UNREACHABLE);
                    continue;
                };
                let answer = Answer::open(&entry.metrics().dropped);
                let attempt = Attempt::spawn(&client, &submission, &payload, answer);
                let hint = attempt.hint();
                match begin(attempt, &submission).await {
                    Begun::Whole { response } => {
                        if let Body::Whole { bytes } = response.body() {
                            ticket.whole(bytes);
                        }
                        ticket.settle(Verdict::Ran);
                        return response;
                    }
                    Begun::Stream {
                        attempt,
                        status,
                        content_type,
                    } => return stream::pass(ticket, attempt, status, &content_type),
                    Begun::Failed { verdict } => {
                        ticket.hint(hint.get());
                        ticket.settle(verdict);
                    }
                }
            }
            Command::Settle { verdict, after, .. } => {
                return fail_after(entry, Some(ticket.id()), verdict, after.or(ticket.after()));
            }
            Command::Refresh | Command::Retried { .. } => {}
        }
    }
    fail(entry, UNREACHABLE, "")
}

/// Nothing was sent, so the request did not run.
const UNREACHABLE: Verdict = Verdict::NotRun {
    reason: Reason::Unreachable,
};

/// The first part of an attempt's outcome.
enum Begun {
    Whole {
        response: Response<Body>,
    },
    Stream {
        attempt: Attempt,
        status: u16,
        content_type: String,
    },
    Failed {
        verdict: Verdict,
    },
}

/// Takes the answer until it is whole, or until it turns out to be a stream.
async fn begin(mut attempt: Attempt, submission: &Submission) -> Begun {
    let assembled = assemble(&mut attempt);
    match compio::time::timeout(submission.remaining, assembled).await {
        Err(_) => Begun::Failed {
            verdict: Verdict::MayHaveRun {
                reason: Reason::DeadlinePassed,
            },
        },
        Ok(Assembly::Failed { verdict }) => Begun::Failed { verdict },
        Ok(Assembly::Stream {
            status,
            content_type,
        }) => Begun::Stream {
            attempt,
            status,
            content_type,
        },
        Ok(Assembly::Whole {
            status,
            content_type,
            body,
        }) => {
            let response = respond(status, &content_type, body.into());
            response.map_or(BAD_HEAD, |response| Begun::Whole { response })
        }
    }
}

/// The endpoint answered with a head that HTTP does not allow.
const BAD_HEAD: Begun = Begun::Failed {
    verdict: Verdict::MayHaveRun {
        reason: Reason::EndpointFailed,
    },
};

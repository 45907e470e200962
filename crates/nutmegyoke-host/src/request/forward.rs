//! Carries out the entry machine's commands for one request.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use hyper::Response;
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::entry::Command;
use nutmegyoke_core::request::{Arrival, Id, Reason, Submission, Verdict};
use nutmegyoke_wire::request::Payload;

use super::answer::Answer;
use super::assembly::{Assembly, assemble};
use super::attempt::Attempt;
use super::reply::{fail, fail_after, respond};
use super::ticket::Ticket;
use super::{Body, stream};
use crate::process;

/// How long after a request's deadline its agent may still tell that it did not run.
const GRACE: Duration = Duration::from_millis(250);

/// How long an agent may take to send a kept answer.
const RECALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The owned form of [`Payload`], for a request that outlives its caller.
struct Parcel {
    method: String,
    path: String,
    content_type: String,
    body: Vec<u8>,
}

impl Parcel {
    fn payload(&self) -> Payload<'_> {
        Payload {
            method: &self.method,
            path: &self.path,
            content_type: &self.content_type,
            body: &self.body,
        }
    }
}

/// Carries out the machine's commands for one request.
///
/// A keyed request goes on when its caller leaves, so that a resend finds its answer.
pub async fn forward<C: Clock + 'static>(
    entry: &Rc<process::Entry<C>>,
    arrival: &Arrival<'_>,
    payload: Payload<'_>,
) -> Response<Body> {
    let ticket = Ticket::open(entry, arrival);
    if arrival.idempotency_key.is_none() {
        return carry(ticket, payload).await;
    }
    let parcel = Parcel {
        method: payload.method.to_owned(),
        path: payload.path.to_owned(),
        content_type: payload.content_type.to_owned(),
        body: payload.body.to_vec(),
    };
    let (sender, response) = oneshot::channel();
    compio::runtime::spawn(async move {
        // The caller may have left; the answer stays at the agent.
        let _ = sender.send(carry(ticket, parcel.payload()).await);
    })
    .detach();
    match response.await {
        Ok(response) => response,
        Err(_) => fail(entry, LOST, ""),
    }
}

async fn carry<C: Clock + 'static>(mut ticket: Ticket<C>, payload: Payload<'_>) -> Response<Body> {
    while let Some(command) = ticket.next().await {
        match command {
            Command::Claim {
                name,
                holder,
                digest,
                ..
            } => {
                let registrar = ticket.entry().registrar();
                let outcome = registrar.claim(&name, holder, digest).await;
                ticket.judged(outcome.as_ref());
            }
            Command::FetchAnswer { agent, id, .. } => match recall(&ticket, agent, id).await {
                Begun::Whole { response } => return response,
                _ => ticket.forgotten(),
            },
            Command::Dispatch {
                agent, submission, ..
            } => match dispatch(&ticket, agent, &submission, &payload).await {
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
                    until,
                } => return stream::pass(ticket, attempt, status, &content_type, until),
                Begun::Failed { verdict } => ticket.settle(verdict),
            },
            Command::Settle {
                verdict,
                retry_after,
                ..
            } => {
                let after = retry_after.or(ticket.after());
                return fail_after(ticket.entry(), Some(ticket.id()), verdict, after);
            }
            _ => {}
        }
    }
    fail(ticket.entry(), LOST, "")
}

/// Nothing was sent, so the request did not run.
const UNREACHABLE: Verdict = Verdict::NotRun {
    reason: Reason::Unreachable,
};

/// The machine is gone, and with it what is known of the request.
const LOST: Verdict = Verdict::MayHaveRun {
    reason: Reason::HolderLost,
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
        until: Instant,
    },
    Failed {
        verdict: Verdict,
    },
}

async fn dispatch<C: Clock + 'static>(
    ticket: &Ticket<C>,
    agent: SocketAddr,
    submission: &Submission,
    payload: &Payload<'_>,
) -> Begun {
    let entry = ticket.entry();
    let Ok(client) = entry.pool().get(agent).await else {
        return Begun::Failed {
            verdict: UNREACHABLE,
        };
    };
    let answer = Answer::open(&entry.metrics().dropped);
    let attempt = Attempt::spawn(&client, submission, payload, answer);
    let until = entry.driver().clock().now() + submission.remaining;
    begin(ticket, attempt, until).await
}

/// Fetches an answer that an agent keeps.
async fn recall<C: Clock + 'static>(ticket: &Ticket<C>, agent: SocketAddr, id: Id) -> Begun {
    let entry = ticket.entry();
    let Ok(client) = entry.pool().get(agent).await else {
        return Begun::Failed {
            verdict: UNREACHABLE,
        };
    };
    let answer = Answer::open(&entry.metrics().dropped);
    let mut attempt = Attempt::recall(&client, id, answer);
    let until = entry.driver().clock().now() + RECALL_TIMEOUT;
    let assembled = super::assembly::assemble_whole(&mut attempt);
    match compio::time::timeout_at(until, assembled).await {
        Ok(Assembly::Whole {
            status,
            content_type,
            body,
        }) => whole(status, &content_type, body),
        _ => Begun::Failed { verdict: LOST },
    }
}

/// Takes the answer until it is whole, or until it turns out to be a stream.
async fn begin<C: Clock + 'static>(
    ticket: &Ticket<C>,
    mut attempt: Attempt,
    until: Instant,
) -> Begun {
    let assembled = compio::time::timeout_at(until + GRACE, assemble(&mut attempt)).await;
    ticket.reported(attempt.load());
    ticket.hint(attempt.hint());
    match assembled {
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
            until,
        },
        Ok(Assembly::Whole {
            status,
            content_type,
            body,
        }) => whole(status, &content_type, body),
    }
}

fn whole(status: u16, content_type: &str, body: Vec<u8>) -> Begun {
    let response = respond(status, content_type, body.into());
    response.map_or(BAD_HEAD, |response| Begun::Whole { response })
}

/// The endpoint answered with a head that HTTP does not allow.
const BAD_HEAD: Begun = Begun::Failed {
    verdict: Verdict::MayHaveRun {
        reason: Reason::EndpointFailed,
    },
};

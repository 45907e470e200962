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
use super::handle::Handle;
use super::reply::{fail, fail_with_retry_after, respond};
use super::{Body, stream};
use crate::process;

/// How long after a request's deadline its agent may still tell that it did not run.
const DEADLINE_GRACE: Duration = Duration::from_millis(250);

/// How long an agent may take to send a kept answer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// The owned form of [`Payload`], for a request that outlives its caller.
struct Buffer {
    method: String,
    path: String,
    content_type: String,
    body: Vec<u8>,
}

impl Buffer {
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
    let handle = Handle::open(entry, arrival);
    if arrival.idempotency.is_none() {
        return execute(handle, payload).await;
    }
    let buffer = Buffer {
        method: payload.method.to_owned(),
        path: payload.path.to_owned(),
        content_type: payload.content_type.to_owned(),
        body: payload.body.to_vec(),
    };
    let (sender, response) = oneshot::channel();
    compio::runtime::spawn(async move {
        // The caller may have left; the answer stays at the agent.
        let _ = sender.send(execute(handle, buffer.payload()).await);
    })
    .detach();
    match response.await {
        Ok(response) => response,
        Err(_) => fail(entry, HOLDER_LOST, ""),
    }
}

async fn execute<C: Clock + 'static>(
    mut handle: Handle<C>,
    payload: Payload<'_>,
) -> Response<Body> {
    while let Some(command) = handle.next().await {
        match command {
            Command::Claim {
                name,
                holder,
                digest,
                ..
            } => {
                let registrar = handle.entry().registrar();
                let outcome = registrar.claim(&name, holder, digest).await;
                handle.claim_decided(outcome.as_ref());
            }
            Command::Recall { agent, id, .. } => match fetch(&handle, agent, id).await {
                Outcome::Buffered { response } => return response,
                _ => handle.answer_gone(),
            },
            Command::Dispatch {
                agent, submission, ..
            } => match dispatch(&handle, agent, &submission, &payload).await {
                Outcome::Buffered { response } => {
                    if let Body::Buffered { bytes } = response.body() {
                        handle.record_body(bytes);
                    }
                    handle.end_attempt(Verdict::Ran);
                    return response;
                }
                Outcome::Stream {
                    attempt,
                    status,
                    content_type,
                    deadline,
                } => return stream::relay(handle, attempt, status, &content_type, deadline),
                Outcome::Failed { verdict } => handle.end_attempt(verdict),
            },
            Command::Settle { verdict, after, .. } => {
                let after = after.or(handle.retry_after());
                return fail_with_retry_after(handle.entry(), Some(handle.id()), verdict, after);
            }
            _ => {}
        }
    }
    fail(handle.entry(), HOLDER_LOST, "")
}

/// Nothing was sent, so the request did not run.
const UNREACHABLE: Verdict = Verdict::NotRun {
    reason: Reason::Unreachable,
};

/// The machine is gone, and with it what is known of the request.
const HOLDER_LOST: Verdict = Verdict::MayHaveRun {
    reason: Reason::HolderLost,
};

/// The first part of an attempt's outcome.
enum Outcome {
    Buffered {
        response: Response<Body>,
    },
    Stream {
        attempt: Attempt,
        status: u16,
        content_type: String,
        deadline: Instant,
    },
    Failed {
        verdict: Verdict,
    },
}

async fn dispatch<C: Clock + 'static>(
    handle: &Handle<C>,
    agent: SocketAddr,
    submission: &Submission,
    payload: &Payload<'_>,
) -> Outcome {
    let entry = handle.entry();
    let Ok(client) = entry.pool().get(agent).await else {
        return Outcome::Failed {
            verdict: UNREACHABLE,
        };
    };
    let answer = Answer::open(&entry.metrics().dropped);
    let attempt = Attempt::spawn(&client, submission, payload, answer);
    let deadline = entry.driver().clock().now() + submission.remaining;
    receive(handle, attempt, deadline).await
}

/// Fetches an answer that an agent keeps.
async fn fetch<C: Clock + 'static>(handle: &Handle<C>, agent: SocketAddr, id: Id) -> Outcome {
    let entry = handle.entry();
    let Ok(client) = entry.pool().get(agent).await else {
        return Outcome::Failed {
            verdict: UNREACHABLE,
        };
    };
    let answer = Answer::open(&entry.metrics().dropped);
    let mut attempt = Attempt::fetch(&client, id, answer);
    let deadline = entry.driver().clock().now() + FETCH_TIMEOUT;
    let assembled = super::assembly::buffer(&mut attempt);
    match compio::time::timeout_at(deadline, assembled).await {
        Ok(Assembly::Buffered {
            status,
            content_type,
            body,
        }) => buffered(status, &content_type, body),
        _ => Outcome::Failed {
            verdict: HOLDER_LOST,
        },
    }
}

/// Takes the answer until it is whole, or until it turns out to be a stream.
async fn receive<C: Clock + 'static>(
    handle: &Handle<C>,
    mut attempt: Attempt,
    deadline: Instant,
) -> Outcome {
    let assembled =
        compio::time::timeout_at(deadline + DEADLINE_GRACE, assemble(&mut attempt)).await;
    handle.load_reported(attempt.load());
    handle.set_retry_after(attempt.retry_after());
    match assembled {
        Err(_) => Outcome::Failed {
            verdict: Verdict::MayHaveRun {
                reason: Reason::DeadlinePassed,
            },
        },
        Ok(Assembly::Failed { verdict }) => Outcome::Failed { verdict },
        Ok(Assembly::Stream {
            status,
            content_type,
        }) => Outcome::Stream {
            attempt,
            status,
            content_type,
            deadline,
        },
        Ok(Assembly::Buffered {
            status,
            content_type,
            body,
        }) => buffered(status, &content_type, body),
    }
}

fn buffered(status: u16, content_type: &str, body: Vec<u8>) -> Outcome {
    let response = respond(status, content_type, body.into());
    response.map_or(INVALID_HEAD, |response| Outcome::Buffered { response })
}

/// The endpoint answered with a head that HTTP does not allow.
const INVALID_HEAD: Outcome = Outcome::Failed {
    verdict: Verdict::MayHaveRun {
        reason: Reason::EndpointFailed,
    },
};

//! Executes the commands of the entry's state machine for one request: claims, attempts at
//! agents and the fetching of cached answers. The results are fed back to the machine until
//! the request is answered.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use hyper::Response;
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::entry::Command;
use nutmegyoke_core::request::{Arrival, Id, Reason, Submission, Verdict};
use nutmegyoke_wire::request::Payload;

use super::answer::Receiver;
use super::assembly::{Assembly, assemble};
use super::attempt::Attempt;
use super::handle::Handle;
use super::reply::{fail, fail_with_retry_after, respond};
use super::{Body, stream};
use crate::connection::account::Reservation;
use crate::process;

/// How long after a request's deadline its agent may still report that it did not run.
const DEADLINE_GRACE: Duration = Duration::from_millis(250);

/// How long an agent may take to send a cached answer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// An owned [`Payload`], for a request that goes on after its caller disconnected.
struct Owned {
    method: String,
    path: String,
    content_type: String,
    body: Vec<u8>,
    /// What the request holds in the account, also after its caller disconnected.
    reservation: Rc<Reservation>,
}

impl Owned {
    fn payload(&self) -> Payload<'_> {
        Payload {
            method: &self.method,
            path: &self.path,
            content_type: &self.content_type,
            body: &self.body,
        }
    }
}

/// Forwards a request to an agent and returns the response for the caller.
///
/// A request with an idempotency key goes on after its caller disconnected, so that a
/// resend receives its answer.
pub async fn forward<C: Clock + 'static>(
    entry: &Rc<process::Entry<C>>,
    arrival: &Arrival<'_>,
    payload: Payload<'_>,
    reservation: &Rc<Reservation>,
) -> Response<Body> {
    let handle = Handle::open(entry, arrival);
    if arrival.idempotency_key.is_none() {
        return execute(handle, payload, reservation).await;
    }
    let owned = Owned {
        method: payload.method.to_owned(),
        path: payload.path.to_owned(),
        content_type: payload.content_type.to_owned(),
        body: payload.body.to_vec(),
        reservation: Rc::clone(reservation),
    };
    let (sender, response) = oneshot::channel();
    compio::runtime::spawn(async move {
        // Fails if the caller disconnected. A resend fetches the answer from the agent's cache.
        let response = execute(handle, owned.payload(), &owned.reservation).await;
        let _ = sender.send(response);
    })
    .detach();
    match response.await {
        Ok(response) => response,
        Err(_) => fail(entry, HOLDER_LOST, ""),
    }
}

/// Executes the state machine's commands until the request is answered.
async fn execute<C: Clock + 'static>(
    mut handle: Handle<C>,
    payload: Payload<'_>,
    reservation: &Reservation,
) -> Response<Body> {
    while let Some(command) = handle.next().await {
        match command {
            Command::Claim {
                name,
                holder,
                digest,
                ..
            } => {
                let claimant = handle.entry().claimant();
                let outcome = claimant.claim(&name, holder, digest).await;
                handle.report_claim(outcome.as_ref());
            }
            Command::FetchAnswer { agent, id, .. } => {
                match fetch(&handle, agent, id, reservation).await {
                    Outcome::Buffered { response } => return response,
                    _ => handle.report_answer_gone(),
                }
            }
            Command::Dispatch {
                agent, submission, ..
            } => match dispatch(&handle, agent, &submission, &payload, reservation).await {
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
            Command::Finish {
                verdict,
                retry_after,
                ..
            } => {
                let retry_after = retry_after.or(handle.retry_after());
                return fail_with_retry_after(
                    handle.entry(),
                    Some(handle.id()),
                    verdict,
                    retry_after,
                );
            }
            _ => {}
        }
    }
    fail(handle.entry(), HOLDER_LOST, "")
}

/// No connection to the agent was made, so the request did not run.
const UNREACHABLE: Verdict = Verdict::NotRun {
    reason: Reason::Unreachable,
};

/// The task or state machine that held the request is gone, so the request may have run.
const HOLDER_LOST: Verdict = Verdict::MayHaveRun {
    reason: Reason::HolderLost,
};

/// The result of an attempt, up to the head of a streamed answer.
enum Outcome {
    /// The complete response.
    Buffered { response: Response<Body> },
    /// The head of an event stream, whose parts follow until `deadline`.
    Stream {
        attempt: Attempt,
        status: u16,
        content_type: String,
        deadline: Instant,
    },
    /// There is no response to return to the caller.
    Failed { verdict: Verdict },
}

/// Submits the request to an agent.
async fn dispatch<C: Clock + 'static>(
    handle: &Handle<C>,
    agent: SocketAddr,
    submission: &Submission,
    payload: &Payload<'_>,
    reservation: &Reservation,
) -> Outcome {
    let entry = handle.entry();
    let Ok(client) = entry.pool().get(agent).await else {
        return Outcome::Failed {
            verdict: UNREACHABLE,
        };
    };
    let answer = Receiver::open(&entry.metrics().dropped_chunks);
    let attempt = Attempt::spawn(&client, submission, payload, answer);
    let deadline = entry.driver().clock().now() + submission.remaining;
    receive(handle, attempt, deadline, reservation).await
}

/// Fetches the cached answer of request `id` from an agent.
async fn fetch<C: Clock + 'static>(
    handle: &Handle<C>,
    agent: SocketAddr,
    id: Id,
    reservation: &Reservation,
) -> Outcome {
    let entry = handle.entry();
    let Ok(client) = entry.pool().get(agent).await else {
        return Outcome::Failed {
            verdict: UNREACHABLE,
        };
    };
    let answer = Receiver::open(&entry.metrics().dropped_chunks);
    let mut attempt = Attempt::fetch(&client, id, answer);
    let deadline = entry.driver().clock().now() + FETCH_TIMEOUT;
    let assembled = super::assembly::buffer(&mut attempt, reservation);
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

/// Receives the complete answer, or the head of an event stream.
async fn receive<C: Clock + 'static>(
    handle: &Handle<C>,
    mut attempt: Attempt,
    deadline: Instant,
    reservation: &Reservation,
) -> Outcome {
    let assembled = assemble(&mut attempt, reservation);
    let assembled = compio::time::timeout_at(deadline + DEADLINE_GRACE, assembled).await;
    handle.report_load(attempt.load());
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

/// Builds the response of a complete answer.
fn buffered(status: u16, content_type: &str, body: Vec<u8>) -> Outcome {
    let response = respond(status, content_type, body.into());
    response.map_or(INVALID_HEAD, |response| Outcome::Buffered { response })
}

/// The endpoint's status or content type is not valid in HTTP.
const INVALID_HEAD: Outcome = Outcome::Failed {
    verdict: Verdict::MayHaveRun {
        reason: Reason::EndpointFailed,
    },
};

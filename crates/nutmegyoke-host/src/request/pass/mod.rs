//! Passes one request of a client through to a service.
//!
//! The body is read first, so that it can be sent to another endpoint. An
//! answer that isn't a stream is read in whole before any of it is passed on.

mod attempt;
mod body;
mod headers;
mod ticket;
mod trail;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{Either, select};
use futures_util::pin_mut;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::gateway::{Command, Event as Input, Halt, Refusal};
use nutmegyoke_core::request::{Passthrough, Reason, Verdict};
use nutmegyoke_wire::request::Failure;

use attempt::{Answer, Choice, Parcel};
pub use body::Passed;
use ticket::Ticket;
pub use trail::Leg;
use trail::{Label, Trail};

use crate::process::dialect::Heading;
use crate::process::{Dialect, Gateway};

/// How long the steward beside an engine may take. An adapter takes 10 ms, in
/// proportion longer while many are on their way.
const PREPARE_TIMEOUT: Duration = Duration::from_millis(600);

/// Passes a request through and returns the answer for its client.
pub async fn pass<C: Clock + 'static, D: Dialect>(
    gateway: Rc<Gateway<C, D>>,
    request: Request<Incoming>,
) -> Response<Passed<C, D>> {
    let (head, body) = request.into_parts();
    let limit = gateway.body_bytes();
    let arrived = gateway.driver().clock().now();
    let body = Limited::new(body, limit).collect().await;
    let heading = D::heading(&head.headers);
    let passage = Passthrough {
        host: host(&head),
        path: head.uri.path(),
        timeout: heading.patience,
        target: heading.target,
        prompt: &heading.prompt,
    };
    let id = heading.id.unwrap_or("-");
    let body = match body {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            let reason = if error.is::<LengthLimitError>() {
                Reason::BodyTooLong
            } else {
                Reason::BodyIncomplete
            };
            let refusal = Refusal {
                verdict: Verdict::not_run(reason),
                retry_after: None,
                halt: Halt::Untried,
            };
            let label = Label::open(id, &passage);
            Trail::open(arrived).close(&gateway, &label, refusal.verdict, Some(refusal.halt));
            return refuse::<C, D>(refusal);
        }
    };
    let ticket = Ticket::open(&gateway, id, passage);
    carry(ticket, &head, &heading, body).await
}

/// The host that the client named, without the port.
fn host(head: &Parts) -> &str {
    let named = head.headers.get(HOST).and_then(|value| value.to_str().ok());
    let named = named.or_else(|| head.uri.host()).unwrap_or_default();
    named.split(':').next().unwrap_or_default()
}

/// Carries out the machine's commands.
async fn carry<C: Clock + 'static, D: Dialect>(
    mut ticket: Ticket<C, D>,
    head: &Parts,
    heading: &Heading<'_>,
    body: Bytes,
) -> Response<Passed<C, D>> {
    let parcel = Parcel {
        head,
        id: heading.id,
        body,
    };
    let gateway = Rc::clone(ticket.gateway());
    let mut failed = None;
    let mut command = ticket.next().await;
    loop {
        let call = ticket.number();
        if let Some(command) = &command {
            ticket.note(command);
        }
        command = match command {
            Some(Command::Prepare {
                endpoint,
                model,
                adapter,
                slots,
                ..
            }) => {
                let since = gateway.driver().clock().now();
                let asked = gateway.prepare(&endpoint, &model, &adapter, slots);
                let asked = compio::time::timeout(PREPARE_TIMEOUT, asked);
                match race(&mut ticket, asked).await {
                    Either::Left(adapters) => {
                        let adapters = adapters.ok().flatten();
                        let adapters = adapters.as_deref();
                        let name = format!("{model}/{adapter}");
                        let there = adapters.is_some_and(|names| names.contains(&name));
                        ticket.prepared(&endpoint.id, &name, since, there);
                        ticket.feed(Input::Prepared { call, adapters });
                        ticket.next().await
                    }
                    Either::Right(command) => command,
                }
            }
            Some(Command::Dispatch {
                endpoint,
                patience,
                rank,
                streams,
                ..
            }) => {
                let choice = Choice {
                    endpoint,
                    patience,
                    rank,
                    streams,
                };
                let clock = gateway.driver().clock();
                let running = attempt::run::<D>(clock, gateway.upstreams(), &parcel, &choice);
                match race(&mut ticket, running).await {
                    Either::Left(Ok(Answer::Whole { response })) => {
                        ticket.settle(Verdict::Ran);
                        return response.map(Passed::from);
                    }
                    Either::Left(Ok(Answer::Streamed {
                        head,
                        body,
                        upstream,
                        keep_alive,
                    })) => {
                        ticket.begin();
                        let body = Passed::streamed(ticket, body, upstream, keep_alive);
                        return Response::from_parts(head, body);
                    }
                    Either::Left(Ok(Answer::Failed { response })) => {
                        failed = Some(response);
                        ticket.fail(Verdict::may_have_run(Reason::EndpointFailed));
                        ticket.next().await
                    }
                    Either::Left(Err(verdict)) => {
                        ticket.fail(verdict);
                        ticket.next().await
                    }
                    Either::Right(command) => command,
                }
            }
            Some(Command::Refuse { refusal, .. }) => {
                ticket.close(refusal.verdict, Some(refusal.halt));
                let own = refusal.verdict.reason() == Some(Reason::EndpointFailed);
                // An endpoint's own account of its failure says more than ours, unless
                // it would promise that the request did not run.
                let honest = |response: &Response<Bytes>| {
                    own && !PROMISES.contains(&response.status().as_u16())
                };
                return match failed.filter(honest) {
                    Some(response) => response.map(Passed::from),
                    None => refuse::<C, D>(refusal),
                };
            }
            Some(Command::PutOff { .. }) => ticket.next().await,
            // The machine lives as long as the process and says nothing else here.
            _ => std::future::pending().await,
        };
    }
}

/// Waits for `work`, or for a command that makes it pointless.
async fn race<C: Clock + 'static, D: Dialect, F: Future>(
    ticket: &mut Ticket<C, D>,
    work: F,
) -> Either<F::Output, Option<Command>> {
    let command = ticket.next();
    pin_mut!(work, command);
    match select(work, command).await {
        Either::Left((done, _)) => Either::Left(done),
        Either::Right((command, _)) => Either::Right(command),
    }
}

/// Statuses by which a client takes a request for not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

fn refuse<C: Clock + 'static, D: Dialect>(refusal: Refusal) -> Response<Passed<C, D>> {
    let failure = Failure::new(refusal.verdict, "");
    let promised = PROMISES.contains(&failure.status);
    let status = match refusal.verdict {
        Verdict::NotRun { .. } => failure.status,
        _ if promised => StatusCode::BAD_GATEWAY.as_u16(),
        _ => failure.status,
    };
    let bytes = Bytes::from(failure.encode());
    let mut response = Response::new(Passed::from(bytes));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after) = refusal.retry_after {
        headers.insert(RETRY_AFTER, D::retry_after(after));
    }
    response
}

//! Forwards one request of a client to a service, in a gateway.
//!
//! The gateway's state machine holds the request and chooses its endpoints; a [`handle`]
//! refers to it there, and each [`attempt`] sends the request to one endpoint. The request
//! body is buffered, so that a retry can send it to another endpoint. An answer that isn't
//! streamed is buffered before any of it is sent to the client, unless it states a length
//! that is too long to buffer.

mod attempt;
mod body;
mod consult;
mod handle;
mod headers;
mod trail;

use std::rc::Rc;

use bytes::Bytes;
use futures_util::future::{Either, select};
use futures_util::pin_mut;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response, StatusCode};
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::gateway::{Command, Event as Input, Halt, Refusal};
use nutmegyoke_core::request::fingerprint::Content;
use nutmegyoke_core::request::{Fingerprint, Passthrough, Reason, Verdict};
use nutmegyoke_wire::request::Failure;

use attempt::{Answer, Choice, Template};
pub use body::Outgoing;
use handle::Handle;
pub use trail::Attempt;
use trail::{Label, Trail};

use crate::connection::{Upload, upload};
use crate::process::{Codec, Gateway};

/// Forwards a request to a service and returns the response for the client.
pub async fn forward<C: Clock + 'static, D: Codec>(
    gateway: Rc<Gateway<C, D>>,
    request: Request<Upload>,
) -> Response<Outgoing<C, D>> {
    let (head, body) = request.into_parts();
    let connection = Rc::clone(body.reservation());
    let arrived = gateway.driver().clock().now();
    let body = if head_bytes(&head) > gateway.max_header_bytes() {
        Err(Reason::HeadersTooLong)
    } else {
        let body = body.read(gateway.max_body_bytes()).await;
        body.map_err(upload::Failure::reason)
    };
    let heading = D::decode_heading(&head.headers);
    let mut passthrough = Passthrough {
        host: host(&head),
        path: head.uri.path(),
        id: heading.id,
        resumption: heading.resumption,
        timeout: heading.timeout,
        target: heading.target,
        prompt: &heading.prompt,
        key: heading.key,
        usage: heading.usage,
        fingerprint: Fingerprint::default(),
    };
    let id = heading.id.unwrap_or("-");
    let body = match body {
        Ok(body) => body,
        Err(reason) => {
            let refusal = Refusal {
                verdict: Verdict::not_run(reason),
                retry_after: None,
                halt: Halt::Untried,
            };
            let label = Label::open(id, &passthrough);
            Trail::open(arrived).close(&gateway, &label, refusal.verdict, Some(refusal.halt));
            return refuse::<C, D>(refusal);
        }
    };
    passthrough.fingerprint = Fingerprint::open(&Content {
        method: head.method.as_str(),
        host: passthrough.host,
        path: head.uri.path_and_query().map_or("", PathAndQuery::as_str),
        caller: head.headers.get(AUTHORIZATION).map(HeaderValue::as_bytes),
        target: passthrough.target,
        prompt: passthrough.prompt,
        body: &body,
    });
    let handle = Handle::open(&gateway, id, passthrough);
    let template = Template {
        head: &head,
        id: heading.id,
        body,
        connection: &connection,
    };
    execute(handle, &template).await
}

/// The shortest length of a request line and headers with this content. Hyper bounds what it reads
/// before the end of the head; a longer head may arrive in one piece.
fn head_bytes(head: &Parts) -> usize {
    // Spaces, version and line ends of the request line and the head; colon and line end of a header.
    const LINE_BYTES: usize = 14;
    const HEADER_BYTES: usize = 3;
    let path = head
        .uri
        .path_and_query()
        .map_or(1, |path| path.as_str().len());
    let headers = head.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + HEADER_BYTES);
    head.method.as_str().len() + path + LINE_BYTES + headers.sum::<usize>()
}

/// The host that the client addressed, without the port.
fn host(head: &Parts) -> &str {
    let host = head.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    host.split(':').next().unwrap_or_default()
}

/// Executes the state machine's commands until the response is known.
async fn execute<C: Clock + 'static, D: Codec>(
    mut handle: Handle<C, D>,
    template: &Template<'_>,
) -> Response<Outgoing<C, D>> {
    let gateway = Rc::clone(handle.gateway());
    let mut failed_response = None;
    let mut command = handle.next().await;
    loop {
        let call = handle.number();
        if let Some(command) = &command {
            handle.record_command(command);
        }
        command = match command {
            Some(
                question @ (Command::Prepare { .. }
                | Command::AskAdmission { .. }
                | Command::Admit { .. }
                | Command::Resumption(_)),
            ) => consult::ask(&mut handle, template.id, question).await,
            Some(Command::Dispatch {
                endpoint,
                timeout,
                priority,
                caller,
                streams,
                ..
            }) => {
                let choice = Choice {
                    endpoint,
                    timeout,
                    priority,
                    caller,
                    streams,
                };
                let clock = gateway.driver().clock();
                let started_ms = choice.endpoint.stamp.started_ms;
                let on_signal = |signal| {
                    gateway.driver().feed(Input::Replied {
                        call,
                        started_ms,
                        signal,
                    });
                };
                let running =
                    attempt::run::<D>(clock, gateway.upstreams(), template, &choice, on_signal);
                match race(&mut handle, running).await {
                    Either::Left(Ok(Answer::Buffered { response })) => {
                        handle.finish(Verdict::Ran);
                        return response.map(Outgoing::from);
                    }
                    Either::Left(Ok(Answer::Streamed {
                        head,
                        body,
                        upstream,
                        keep_alive,
                    })) => {
                        handle.begin_answer();
                        let body = Outgoing::streamed(handle, &head, body, upstream, keep_alive);
                        return Response::from_parts(head, body);
                    }
                    Either::Left(Ok(Answer::Failed { response })) => {
                        failed_response = Some(response);
                        handle.fail_attempt(Verdict::may_have_run(Reason::EndpointFailed));
                        handle.next().await
                    }
                    Either::Left(Err(verdict)) => {
                        handle.fail_attempt(verdict);
                        handle.next().await
                    }
                    Either::Right(command) => command,
                }
            }
            Some(Command::Refuse { refusal, .. }) => {
                handle.close(refusal.verdict, Some(refusal.halt));
                let endpoint_failed = refusal.verdict.reason() == Some(Reason::EndpointFailed);
                // The endpoint's error response says more than a generated one. It can't be
                // used if its status would mean that the request did not run.
                let usable = |response: &Response<Bytes>| {
                    endpoint_failed && !NOT_RUN_STATUSES.contains(&response.status().as_u16())
                };
                return match failed_response.filter(usable) {
                    Some(response) => response.map(Outgoing::from),
                    None => refuse::<C, D>(refusal),
                };
            }
            Some(command) if is_only_logged(&command) => handle.next().await,
            // There is no other command: only an answer that is being streamed is cancelled,
            // and the mailbox stays open, since the state machine lives as long as the
            // process.
            _ => std::future::pending().await,
        };
    }
}

/// Whether a command is only logged, see [`Handle::record_command`].
fn is_only_logged(command: &Command) -> bool {
    matches!(
        command,
        Command::Queued { .. }
            | Command::Declined { .. }
            | Command::RefusedEarly { .. }
            | Command::Throttled { .. }
            | Command::Allotment(_)
            | Command::Withheld { .. }
    )
}

/// Waits for `work` or for the state machine's next command, whichever comes first. A command
/// cancels `work`.
async fn race<C: Clock + 'static, D: Codec, F: Future>(
    handle: &mut Handle<C, D>,
    work: F,
) -> Either<F::Output, Option<Command>> {
    let command = handle.next();
    pin_mut!(work, command);
    match select(work, command).await {
        Either::Left((done, _)) => Either::Left(done),
        Either::Right((command, _)) => Either::Right(command),
    }
}

/// The statuses that tell a client that its request did not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Builds the response to a request that failed. A request that may have run gets 502 in
/// place of a status in [`NOT_RUN_STATUSES`].
fn refuse<C: Clock + 'static, D: Codec>(refusal: Refusal) -> Response<Outgoing<C, D>> {
    let failure = Failure::new(refusal.verdict, "");
    let means_not_run = NOT_RUN_STATUSES.contains(&failure.status);
    let status = match refusal.verdict {
        Verdict::NotRun { .. } => failure.status,
        _ if means_not_run => StatusCode::BAD_GATEWAY.as_u16(),
        _ => failure.status,
    };
    let bytes = Bytes::from(failure.encode());
    let mut response = Response::new(Outgoing::from(bytes));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(retry_after) = refusal.retry_after {
        headers.insert(RETRY_AFTER, D::encode_retry_after(retry_after));
    }
    response
}

//! Answers one request of a caller.
//!
//! The path, the headers and the API key are checked before the body is read, and the
//! length of the body before it is decoded. Valid requests are forwarded.

use std::rc::Rc;

use crate::connection::account::Reservation;
use crate::connection::{Upload, upload};
use bytes::Bytes;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::request::arrival::Subject;
use nutmegyoke_core::request::{Arrival, Reason, admission};
use nutmegyoke_wire::request::failure::REPEATABLE_HEADER;
use nutmegyoke_wire::request::{Completion, Payload, meter, models};
use rapidhash::v3::rapidhash_v3;

use super::forward::forward;
use super::reply::{refuse, respond, text};
use super::{Body, Path};
use crate::process;

/// The header whose value identifies a request across resends.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// How often a body is copied on its way to an agent: into a message, and into the buffer of the
/// connection.
const COPIES: usize = 2;

/// The copies with an idempotency key: the request's task has one of its own.
const COPIES_WITH_KEY: usize = COPIES + 1;

/// The largest total length of a request's header names and values, in bytes.
const MAX_HEADER_BYTES: usize = 32 * 1024;

/// Answers one request of a caller.
pub async fn answer<C: Clock + 'static>(
    entry: &Rc<process::Entry<C>>,
    request: Request<Upload>,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    match Path::parse(&head.method, head.uri.path()) {
        Ok(Path::Health) => text(StatusCode::OK, "ok\n"),
        Ok(Path::Readiness) => readiness(entry),
        Ok(Path::Models) => list_models(entry, &head.headers),
        Ok(path @ (Path::Completion | Path::Service { .. })) => {
            entry.metrics().requests.inc();
            let reservation = Rc::clone(body.reservation());
            match read(entry, &head.headers, body).await {
                Ok(body) => submit(entry, &head, path, &body, &reservation).await,
                Err(reason) => refuse(entry, reason, ""),
            }
        }
        Err(reason) => {
            entry.metrics().requests.inc();
            refuse(entry, reason, "")
        }
    }
}

/// Checks the headers and the API key, then reads the body.
async fn read<C: Clock + 'static>(
    entry: &process::Entry<C>,
    headers: &HeaderMap,
    body: Upload,
) -> Result<Bytes, Reason> {
    let lengths = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    if lengths.sum::<usize>() > MAX_HEADER_BYTES {
        return Err(Reason::HeadersTooLong);
    }
    admission::authenticate(entry.driver().machine().configuration(), bearer(headers))?;
    let reservation = Rc::clone(body.reservation());
    let body = body.read(entry.max_body_bytes()).await;
    let body = body.map_err(upload::Failure::reason)?;
    let copies = if headers.contains_key(IDEMPOTENCY_HEADER) {
        COPIES_WITH_KEY
    } else {
        COPIES
    };
    let copies = reservation.hold(copies * body.len());
    copies.map_err(|_| Reason::MemoryFull)?;
    Ok(body)
}

/// Decodes a completion or a call of a service and forwards it.
async fn submit<C: Clock + 'static>(
    entry: &Rc<process::Entry<C>>,
    head: &Parts,
    path: Path<'_>,
    body: &[u8],
    reservation: &Rc<Reservation>,
) -> Response<Body> {
    let full_path = head.uri.path();
    let path_and_query = head.uri.path_and_query();
    let path_and_query = path_and_query.map_or(full_path, |path_and_query| path_and_query.as_str());
    let payload = Payload {
        method: head.method.as_str(),
        path: path_and_query,
        content_type: header(&head.headers, CONTENT_TYPE.as_str()).unwrap_or(""),
        body,
    };
    if let Path::Service { name, rest } = path {
        let subject = Subject::Call {
            service: name,
            method: head.method.as_str(),
            path: rest,
        };
        let payload = Payload {
            // The path at the service, with the query.
            path: &path_and_query[full_path.len() - rest.len()..],
            ..payload
        };
        let arrival = arrival(&head.headers, subject, &payload);
        return forward(entry, &arrival, payload, reservation).await;
    }
    match Completion::decode(body) {
        Ok(completion) => {
            let subject = Subject::Completion {
                name: &completion.model,
                prompt_tokens: meter::estimate_prompt_tokens(body.len()),
                max_tokens: completion.token_limit(),
            };
            let arrival = arrival(&head.headers, subject, &payload);
            forward(entry, &arrival, payload, reservation).await
        }
        Err(error) => {
            let detail = format!("{error}: send a JSON object with at least `model`");
            refuse(entry, Reason::BadRequest, &detail)
        }
    }
}

fn arrival<'a>(headers: &'a HeaderMap, subject: Subject<'a>, payload: &Payload<'_>) -> Arrival<'a> {
    Arrival {
        key: bearer(headers),
        subject,
        idempotency_key: header(headers, IDEMPOTENCY_HEADER),
        once: header(headers, REPEATABLE_HEADER).is_some_and(|value| value == "no"),
        digest: digest(payload),
    }
}

/// Hashes the method, path and body of a request. The hash distinguishes a resend from another
/// request with the same idempotency key.
fn digest(payload: &Payload<'_>) -> u64 {
    let request_line = [payload.method, " ", payload.path].concat();
    let parts = [
        rapidhash_v3(request_line.as_bytes()),
        rapidhash_v3(payload.body),
    ];
    rapidhash_v3(&parts.map(u64::to_le_bytes).concat())
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The bearer token of the request, which is the API key of a plan.
fn bearer(headers: &HeaderMap) -> Option<&str> {
    header(headers, AUTHORIZATION.as_str())?.strip_prefix("Bearer ")
}

fn readiness<C: Clock + 'static>(entry: &process::Entry<C>) -> Response<Body> {
    if entry.driver().machine().ready() {
        text(StatusCode::OK, "ready\n")
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

/// Lists the models and adapters that the plan of the caller's API key may use.
fn list_models<C: Clock + 'static>(
    entry: &process::Entry<C>,
    headers: &HeaderMap,
) -> Response<Body> {
    let machine = entry.driver().machine();
    let configuration = machine.configuration();
    let plan = match admission::authenticate(configuration, bearer(headers)) {
        Ok(plan) => plan,
        Err(reason) => {
            drop(machine);
            return refuse(entry, reason, "");
        }
    };
    let grants = configuration.lists().grants.iter();
    let allowed = grants.filter(|grant| admission::allows(grant, plan));
    let list = models::encode(allowed);
    respond(200, "application/json", list.into()).unwrap_or_default()
}

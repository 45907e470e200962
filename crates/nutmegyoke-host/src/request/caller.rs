//! Answers one request of a caller.
//!
//! Reads and decodes the request, then has it forwarded.

use std::rc::Rc;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap};
use hyper::{Method, Request, Response, StatusCode};
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::request::arrival::Subject;
use nutmegyoke_core::request::{Arrival, Reason, admission};
use nutmegyoke_wire::request::failure::REPEATABLE_HEADER;
use nutmegyoke_wire::request::{Completion, Payload, meter, models};
use rapidhash::v3::rapidhash_v3;

use super::Body;
use super::forward::forward;
use super::reply::{refuse, respond, text};
use crate::process;

/// The header by which a caller names a request across resends.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Answers one request.
pub async fn answer<C: Clock + 'static>(
    entry: &Rc<process::Entry<C>>,
    request: Request<Incoming>,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    match (&head.method, path) {
        (&Method::GET, "/healthz") => return text(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") => return readiness(entry),
        (&Method::GET, "/v1/models") => return list_models(entry, &head.headers),
        _ => {}
    }
    entry.metrics().requests.inc();
    let Ok(body) = Limited::new(body, entry.body_bytes()).collect().await else {
        return refuse(entry, Reason::BodyTooLong, "");
    };
    let body = body.to_bytes();
    let target = head
        .uri
        .path_and_query()
        .map_or(path, |target| target.as_str());
    let payload = Payload {
        method: head.method.as_str(),
        path: target,
        content_type: header(&head.headers, CONTENT_TYPE.as_str()).unwrap_or(""),
        body: &body,
    };
    match (&head.method, path) {
        (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
            let completion = match Completion::decode(&body) {
                Ok(completion) => completion,
                Err(error) => {
                    let why = format!("{error}: send a JSON object with at least `model`");
                    return refuse(entry, Reason::BadRequest, &why);
                }
            };
            let subject = Subject::Completion {
                name: &completion.model,
                prompt: meter::prompt(body.len()),
                tokens: completion.tokens(),
            };
            forward(entry, &arrival(&head.headers, subject, &body), payload).await
        }
        _ => match service(path) {
            Some((name, rest)) => {
                let subject = Subject::Call {
                    service: name,
                    method: head.method.as_str(),
                    path: rest,
                };
                let payload = Payload {
                    path: target
                        .strip_prefix(&path[..path.len() - rest.len()])
                        .unwrap_or(rest),
                    ..payload
                };
                forward(entry, &arrival(&head.headers, subject, &body), payload).await
            }
            None => refuse(entry, Reason::UnknownPath, ""),
        },
    }
}

/// Splits `/services/NAME/rest` into the name and `/rest`.
fn service(path: &str) -> Option<(&str, &str)> {
    let rest = path.strip_prefix("/services/")?;
    let end = rest.find('/')?;
    (end > 0).then(|| rest.split_at(end))
}

fn arrival<'a>(headers: &'a HeaderMap, subject: Subject<'a>, body: &[u8]) -> Arrival<'a> {
    Arrival {
        key: bearer(headers),
        subject,
        idempotency: header(headers, IDEMPOTENCY_HEADER),
        once: header(headers, REPEATABLE_HEADER).is_some_and(|value| value == "no"),
        digest: rapidhash_v3(body),
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

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

/// Lists the models and adapters that the caller's plan may use.
fn list_models<C: Clock + 'static>(
    entry: &process::Entry<C>,
    headers: &HeaderMap,
) -> Response<Body> {
    let machine = entry.driver().machine();
    let configuration = machine.configuration();
    let plan = bearer(headers).and_then(|key| configuration.plan_by_key(key));
    let Some(plan) = plan else {
        drop(machine);
        return refuse(entry, Reason::BadKey, "");
    };
    let grants = configuration.lists().grants.iter();
    let allowed = grants.filter(|grant| admission::allows(grant, plan));
    let list = models::encode(allowed);
    respond(200, "application/json", list.into()).unwrap_or_default()
}

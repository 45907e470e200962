//! Builds the responses that callers receive.

use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::request::{Id, Reason, Verdict};
use nutmegyoke_wire::request::Failure;
use nutmegyoke_wire::request::failure::RAN_HEADER;

use super::Body;
use crate::process::{self, Event};

/// A plain text response.
#[must_use]
pub fn text(status: StatusCode, text: &str) -> Response<Body> {
    let body = Body::from(text.as_bytes().to_vec());
    respond(status.as_u16(), "text/plain", body).unwrap_or_default()
}

/// A refusal of a request that was never submitted.
pub fn refuse<C: Clock>(entry: &process::Entry<C>, reason: Reason, why: &str) -> Response<Body> {
    fail(entry, Verdict::NotRun { reason }, why)
}

/// The end of a request that was not answered in whole; counts its reason.
pub fn fail<C: Clock>(entry: &process::Entry<C>, verdict: Verdict, why: &str) -> Response<Body> {
    count(entry, None, verdict);
    build(&Failure::new(verdict, why))
}

/// The end of request `id` that was not answered in whole; `after` tells when
/// another try may succeed.
pub fn fail_after<C: Clock>(
    entry: &process::Entry<C>,
    id: Option<Id>,
    verdict: Verdict,
    after: Option<Duration>,
) -> Response<Body> {
    count(entry, id, verdict);
    let mut failure = Failure::new(verdict, "");
    if let Some(after) = after {
        failure.retry(after);
    }
    build(&failure)
}

/// Counts and logs the reason of a request that was not answered in whole.
pub fn count<C: Clock>(entry: &process::Entry<C>, request: Option<Id>, verdict: Verdict) {
    if let Some(reason) = verdict.reason() {
        entry.metrics().count_refusal(reason);
        Event::Refused { request, reason }.log();
    }
}

fn build(failure: &Failure) -> Response<Body> {
    let body = failure.encode().into();
    let mut response = respond(failure.status, "application/json", body).unwrap_or_default();
    let headers = response.headers_mut();
    headers.insert(RAN_HEADER, HeaderValue::from_static(failure.ran().name()));
    if let Some(seconds) = failure.retry_after {
        headers.insert(RETRY_AFTER, seconds.into());
    }
    response
}

/// A response, or `None` if the status or content type is not valid in HTTP.
pub fn respond(status: u16, content_type: &str, body: Body) -> Option<Response<Body>> {
    let builder = Response::builder().status(status);
    let builder = if content_type.is_empty() {
        builder
    } else {
        builder.header(CONTENT_TYPE, content_type)
    };
    builder.body(body).ok()
}

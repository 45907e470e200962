//! Builds the responses to callers.

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

/// The response to a request that was refused before it was submitted.
pub fn refuse<C: Clock>(entry: &process::Entry<C>, reason: Reason, detail: &str) -> Response<Body> {
    fail(entry, Verdict::NotRun { reason }, detail)
}

/// The response to a request that failed; counts and logs the reason.
///
/// `detail` is the message; if it is empty, the message is that of the reason.
pub fn fail<C: Clock>(entry: &process::Entry<C>, verdict: Verdict, detail: &str) -> Response<Body> {
    record_failure(entry, None, verdict);
    build(&Failure::new(verdict, detail))
}

/// The response to the failed request `id`; counts and logs the reason.
///
/// `retry_after` is the time after which a retry may succeed, if it is known.
pub fn fail_with_retry_after<C: Clock>(
    entry: &process::Entry<C>,
    id: Option<Id>,
    verdict: Verdict,
    retry_after: Option<Duration>,
) -> Response<Body> {
    record_failure(entry, id, verdict);
    let mut failure = Failure::new(verdict, "");
    if let Some(retry_after) = retry_after {
        failure.set_retry_after(retry_after);
    }
    build(&failure)
}

/// Counts and logs the reason of a failed request.
pub fn record_failure<C: Clock>(entry: &process::Entry<C>, request: Option<Id>, verdict: Verdict) {
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

/// A response with the given head and body, or `None` if the status or content type is not
/// valid in HTTP.
pub fn respond(status: u16, content_type: &str, body: Body) -> Option<Response<Body>> {
    let builder = Response::builder().status(status);
    let builder = if content_type.is_empty() {
        builder
    } else {
        builder.header(CONTENT_TYPE, content_type)
    };
    builder.body(body).ok()
}

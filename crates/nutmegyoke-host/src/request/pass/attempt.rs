//! One attempt: sends a request to an endpoint and judges the response.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::http::request::Parts;
use hyper::http::response;
use hyper::{Request, Response};
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::registry::Announcement;
use nutmegyoke_core::request::{Reason, Verdict};

use super::headers;
use crate::connection::upstream::{Upstream, Upstreams};
use crate::process::Codec;
use crate::process::codec::{Delivery, Outcome};

/// The longest answer that is read in whole before it is passed on, so that an
/// attempt whose answer breaks off can be repeated.
const WHOLE_BYTES: u64 = 256 * 1024;

/// A request as it is sent to every endpoint that is tried.
pub struct Parcel<'a> {
    pub head: &'a Parts,
    pub id: Option<&'a str>,
    pub body: Bytes,
}

/// What the machine chose for the attempt.
pub struct Choice {
    pub endpoint: Rc<Announcement>,
    pub timeout: Duration,
    pub rank: u8,
    pub streams: bool,
}

/// An endpoint's answer that may be passed on.
pub enum Answer {
    /// It is there in whole.
    Whole { response: Response<Bytes> },
    /// It is read while it is passed on.
    Streamed {
        head: response::Parts,
        body: Incoming,
        upstream: Upstream,
        keep_alive: Option<Duration>,
    },
    /// The endpoint ran the request and tells that it failed.
    Failed { response: Response<Bytes> },
}

/// Sends the request and waits until it is known how the attempt went.
///
/// # Errors
///
/// The verdict on an attempt that gives no answer to pass on.
pub async fn run<D: Codec>(
    clock: &impl Clock,
    upstreams: &Upstreams,
    parcel: &Parcel<'_>,
    choice: &Choice,
) -> Result<Answer, Verdict> {
    let address = choice.endpoint.address;
    let started = clock.now();
    let kept = upstreams.take(started, address);
    let mut upstream = match kept {
        Some(upstream) => upstream,
        None => dial(address).await?,
    };
    let dialling = clock.now().saturating_duration_since(started);
    let delivery = Delivery {
        endpoint: &choice.endpoint.id,
        timeout: choice.timeout.saturating_sub(dialling),
        rank: choice.rank,
    };
    let mut sent = upstream.send(build::<D>(parcel, &delivery)).await;
    if let Err(broken) = &sent
        && !broken.sent
    {
        // The endpoint closed the idle connection before anything was written.
        upstream = dial(address).await?;
        sent = upstream.send(build::<D>(parcel, &delivery)).await;
    }
    let response = sent.map_err(|broken| {
        if broken.sent {
            Verdict::may_have_run(Reason::LinkLost)
        } else {
            Verdict::not_run(Reason::Unreachable)
        }
    })?;
    judge::<D>(clock, upstreams, parcel, choice, response, upstream).await
}

async fn dial(address: std::net::SocketAddr) -> Result<Upstream, Verdict> {
    let dialled = Upstream::dial(address).await;
    dialled.map_err(|_| Verdict::not_run(Reason::Unreachable))
}

fn build<D: Codec>(parcel: &Parcel<'_>, delivery: &Delivery<'_>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(parcel.body.clone()));
    *request.method_mut() = parcel.head.method.clone();
    *request.uri_mut() = parcel.head.uri.clone();
    let headers = request.headers_mut();
    headers::copy(&parcel.head.headers, headers);
    headers.remove(CONTENT_LENGTH);
    if parcel.head.headers.contains_key(CONTENT_LENGTH) || !parcel.body.is_empty() {
        headers.insert(CONTENT_LENGTH, parcel.body.len().into());
    }
    D::encode_delivery(headers, delivery);
    request
}

async fn judge<D: Codec>(
    clock: &impl Clock,
    upstreams: &Upstreams,
    parcel: &Parcel<'_>,
    choice: &Choice,
    response: Response<Incoming>,
    upstream: Upstream,
) -> Result<Answer, Verdict> {
    let (mut head, body) = response.into_parts();
    let reply = D::decode_reply(head.status, &head.headers);
    let keep_alive = reply.keep_alive;
    let fate = reply.outcome;
    // An answer to an earlier request on the connection; what became of this one is unknown.
    if reply.id.is_some() && parcel.id.is_some() && reply.id != parcel.id {
        return Err(Verdict::may_have_run(Reason::Duplicate));
    }
    headers::strip(&mut head.headers);
    if fate == Outcome::Answered && choice.streams {
        return Ok(Answer::Streamed {
            head,
            body,
            upstream,
            keep_alive,
        });
    }
    let length = hyper::body::Body::size_hint(&body);
    if fate == Outcome::Answered && length.lower() > WHOLE_BYTES {
        return Ok(Answer::Streamed {
            head,
            body,
            upstream,
            keep_alive,
        });
    }
    let limit = usize::try_from(WHOLE_BYTES).unwrap_or(usize::MAX);
    let whole = Limited::new(body, limit).collect().await;
    if whole.is_ok() {
        upstreams.keep(clock.now(), upstream, keep_alive);
    }
    match (fate, whole) {
        (Outcome::Declined, _) => Err(Verdict::not_run(Reason::QueueFull)),
        (Outcome::NotHeld, _) => Err(Verdict::not_run(Reason::NotHeld)),
        (Outcome::Unstamped, _) => Err(Verdict::may_have_run(Reason::EndpointFailed)),
        (_, Err(_)) => Err(Verdict::may_have_run(Reason::Truncated)),
        (Outcome::Failed, Ok(body)) => Ok(Answer::Failed {
            response: Response::from_parts(head, body.to_bytes()),
        }),
        (Outcome::Answered, Ok(body)) => Ok(Answer::Whole {
            response: Response::from_parts(head, body.to_bytes()),
        }),
    }
}

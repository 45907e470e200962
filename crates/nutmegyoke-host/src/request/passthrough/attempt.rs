//! One attempt: sends a request to an endpoint and classifies the response.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::http::request::Parts;
use hyper::http::response;
use hyper::{Request, Response, Version};
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::registry::Announcement;
use nutmegyoke_core::process::signal::Signal;
use nutmegyoke_core::request::{Reason, Verdict};
use nutmegyoke_core::version::routing::Caller;

use super::headers;
use crate::connection::account::Reservation;
use crate::connection::upstream::{Upstream, Upstreams};
use crate::process::Codec;
use crate::process::codec::{Delivery, Outcome};
use crate::request::Buffer;
use crate::request::status::is_final;

/// The longest answer that is buffered before it is sent to the client, in bytes. An attempt
/// whose buffered answer ends early can be retried. A longer answer is streamed if it states
/// its length, and fails as truncated if it doesn't.
const MAX_BUFFERED_BYTES: u64 = 256 * 1024;

/// The longest body that is read only to reuse its connection, in bytes. Refusals are shorter.
const MAX_DISCARDED_BYTES: usize = 16 * 1024;

/// How long such a body may take. Usually it comes with its head; a new connection takes
/// about 1 ms.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(20);

/// The client's request, from which the request of each attempt is built.
pub struct Template<'a> {
    pub head: &'a Parts,
    /// The client's ID for the request.
    pub id: Option<&'a str>,
    pub body: Bytes,
    /// What the client's connection holds.
    pub connection: &'a Reservation,
}

/// The state machine's choices for an attempt, as given by
/// [`Command::Dispatch`](nutmegyoke_core::process::gateway::Command::Dispatch).
pub struct Choice {
    pub endpoint: Rc<Announcement>,
    /// How long the endpoint may work on the request.
    pub timeout: Duration,
    /// The priority at the endpoint; 0 is the most urgent.
    pub priority: u8,
    /// Who sent the request.
    pub caller: Caller,
    /// Whether the answer is forwarded while it is read.
    pub streams: bool,
}

/// An endpoint's answer that can be sent to the client.
pub enum Answer {
    /// The complete answer.
    Buffered { response: Response<Bytes> },
    /// The head of an answer whose body is forwarded while it is read.
    Streamed {
        head: response::Parts,
        body: Incoming,
        upstream: Upstream,
        keep_alive: Option<Duration>,
    },
    /// The endpoint ran the request and answered with an error.
    Failed { response: Response<Bytes> },
}

/// Sends the request, over an idle connection if there is one, and receives the answer. Calls
/// `on_signal` with what the answer says of the endpoint.
///
/// # Errors
///
/// The verdict of an attempt without an answer for the client.
pub async fn run<D: Codec>(
    clock: &impl Clock,
    upstreams: &Upstreams,
    template: &Template<'_>,
    choice: &Choice,
    on_signal: impl FnOnce(Signal),
) -> Result<Answer, Verdict> {
    let address = choice.endpoint.address;
    let started = clock.now();
    // Without an ID it could not be told whether an answer belongs to an earlier request.
    let idle = template.id.and_then(|_| upstreams.take(started, address));
    let mut is_reused = idle.is_some();
    let mut upstream = match idle {
        Some(upstream) => upstream,
        None => dial(address).await?,
    };
    let connect_time = clock.now().saturating_duration_since(started);
    let delivery = Delivery {
        endpoint: &choice.endpoint.id,
        timeout: choice.timeout.saturating_sub(connect_time),
        priority: choice.priority,
        caller: &choice.caller,
    };
    let mut sent = upstream.send(build::<D>(template, &delivery)).await;
    if let Err(failure) = &sent
        && !failure.sent
    {
        // Nothing was sent, most likely because the endpoint had closed the idle connection.
        // Sending the request again can't run it twice.
        is_reused = false;
        upstream = dial(address).await?;
        sent = upstream.send(build::<D>(template, &delivery)).await;
    }
    let response = sent.map_err(|failure| {
        if failure.sent {
            Verdict::may_have_run(Reason::LinkLost)
        } else {
            Verdict::not_run(Reason::Unreachable)
        }
    })?;
    if !is_final(response.status()) {
        return Err(Verdict::may_have_run(Reason::EndpointFailed));
    }
    let reply = D::decode_reply(response.status(), response.headers());
    if may_be_repeated(template.id, reply.id, is_reused) {
        return Err(Verdict::may_have_run(Reason::Duplicate));
    }
    on_signal(reply.signal);
    // A client of HTTP/1.0 gets no chunks, so a stream that is cut would look complete.
    let streams = choice.streams && template.head.version > Version::HTTP_10;
    classify::<D>(
        clock,
        upstreams,
        template.connection,
        streams,
        response,
        upstream,
    )
    .await
}

/// Whether a response may be that to an earlier request on the connection, once more, so that it
/// is unknown whether this request ran. On a connection that is reused, the ID has to show that it
/// is not.
fn may_be_repeated(sent: Option<&str>, received: Option<&str>, is_reused: bool) -> bool {
    match (sent, received) {
        (Some(sent), Some(received)) => sent != received,
        _ => is_reused,
    }
}

async fn dial(address: std::net::SocketAddr) -> Result<Upstream, Verdict> {
    let connected = Upstream::dial(address).await;
    connected.map_err(|_| Verdict::not_run(Reason::Unreachable))
}

/// Builds the request for an endpoint, with the headers that the codec adds.
fn build<D: Codec>(template: &Template<'_>, delivery: &Delivery<'_>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(template.body.clone()));
    *request.method_mut() = template.head.method.clone();
    *request.uri_mut() = template.head.uri.clone();
    let headers = request.headers_mut();
    headers::copy(&template.head.headers, headers);
    headers.remove(CONTENT_LENGTH);
    if template.head.headers.contains_key(CONTENT_LENGTH) || !template.body.is_empty() {
        headers.insert(CONTENT_LENGTH, template.body.len().into());
    }
    D::encode_delivery(headers, delivery);
    request
}

/// Classifies a response and buffers its body, unless it is to be streamed.
async fn classify<D: Codec>(
    clock: &impl Clock,
    upstreams: &Upstreams,
    connection: &Reservation,
    streams: bool,
    response: Response<Incoming>,
    upstream: Upstream,
) -> Result<Answer, Verdict> {
    let (mut head, body) = response.into_parts();
    let reply = D::decode_reply(head.status, &head.headers);
    let keep_alive = reply.keep_alive;
    let outcome = reply.outcome;
    headers::strip(&mut head.headers);
    if outcome == Outcome::Answered && streams {
        return Ok(Answer::Streamed {
            head,
            body,
            upstream,
            keep_alive,
        });
    }
    let length = hyper::body::Body::size_hint(&body);
    if outcome == Outcome::Answered && length.lower() > MAX_BUFFERED_BYTES {
        return Ok(Answer::Streamed {
            head,
            body,
            upstream,
            keep_alive,
        });
    }
    let verdict = match outcome {
        Outcome::Declined => Some(Verdict::not_run(Reason::QueueFull)),
        Outcome::NotHeld => Some(Verdict::not_run(Reason::NotHeld)),
        Outcome::Unstamped => Some(Verdict::may_have_run(Reason::EndpointFailed)),
        Outcome::Answered | Outcome::Failed => None,
    };
    if let Some(verdict) = verdict {
        if discard(body).await {
            upstreams.put(clock.now(), upstream, keep_alive);
        }
        return Err(verdict);
    }
    let Some(body) = buffer(body, connection).await else {
        return Err(Verdict::may_have_run(Reason::Truncated));
    };
    upstreams.put(clock.now(), upstream, keep_alive);
    let response = Response::from_parts(head, body);
    Ok(if outcome == Outcome::Failed {
        Answer::Failed { response }
    } else {
        Answer::Buffered { response }
    })
}

/// Reads an answer into one buffer, [`MAX_BUFFERED_BYTES`] at most; `None` if it is longer or ended
/// early. While no memory is free, the endpoint waits.
async fn buffer(mut body: Incoming, connection: &Reservation) -> Option<Bytes> {
    let limit = usize::try_from(MAX_BUFFERED_BYTES).unwrap_or(usize::MAX);
    let mut buffer = Buffer::open(limit, connection);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if !buffer.push(&data).await {
            return None;
        }
    }
    Some(buffer.finish().into())
}

/// Reads a body that is of no use, so that the connection can be reused. Returns false if the
/// body is too long or comes too slowly for that.
async fn discard(body: Incoming) -> bool {
    let read = Limited::new(body, MAX_DISCARDED_BYTES).collect();
    let read = compio::time::timeout(DISCARD_TIMEOUT, read).await;
    read.is_ok_and(|body| body.is_ok())
}

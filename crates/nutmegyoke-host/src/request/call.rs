//! Sends a submission from an agent to its endpoint and the answer back to the entry.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cyper::Client;
use futures_util::stream::FuturesUnordered;
use futures_util::{Stream, StreamExt, pin_mut};
use http::Method;
use http::header::CONTENT_TYPE;
use nutmegyoke_core::request::{Reason, Verdict};
use nutmegyoke_wire::connection::link_capnp::answer;
use nutmegyoke_wire::request::Payload;

use super::status::is_final;
use crate::process::cache::Answer;

/// The most chunks sent to the entry that it has not acknowledged.
const MAX_UNACKNOWLEDGED_CHUNKS: usize = 8;

/// The result of a call to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The number of chunks sent to the entry.
    pub chunks: u64,
    /// The complete answer, if it is to be cached.
    pub cached: Option<Answer>,
    /// The time after which a retry may succeed; zero if unknown.
    pub retry_after: Duration,
}

/// Sends the request to its endpoint and forwards the answer to the entry.
///
/// `cache` asks for a copy of the answer in the outcome; `on_first_chunk` is called when the
/// first chunk of the body arrives.
pub async fn run(
    client: &Client,
    address: SocketAddr,
    payload: &Payload<'_>,
    answer: &answer::Client,
    cache: bool,
    on_first_chunk: impl FnOnce(),
) -> Outcome {
    let response = match send(client, address, payload).await {
        Ok(response) => response,
        Err(error) => return failed(classify(&error), 0),
    };
    if !is_final(response.status()) {
        return failed(ENDPOINT_FAILED, 0);
    }
    let status = response.status().as_u16();
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or("");
    if send_head(answer, status, content_type).await.is_err() {
        return failed(CALLER_LEFT, 0);
    }
    let cached = cache.then(|| Answer::open(status, content_type));
    copy(response.bytes_stream(), answer, cached, on_first_chunk).await
}

/// Sends a cached answer to the entry and returns the number of its chunks.
///
/// # Errors
///
/// The entry no longer accepts the answer.
pub async fn replay(cached: Answer, answer: &answer::Client) -> capnp::Result<u64> {
    send_head(answer, cached.status, &cached.content_type).await?;
    let parts = cached.parts.into_iter().map(Ok::<_, cyper::Error>);
    let outcome = copy(futures_util::stream::iter(parts), answer, None, || {}).await;
    match outcome.verdict {
        Verdict::Ran => Ok(outcome.chunks),
        _ => Err(capnp::Error::disconnected("the entry left".to_owned())),
    }
}

async fn send_head(answer: &answer::Client, status: u16, content_type: &str) -> capnp::Result<()> {
    let mut head = answer.head_request();
    head.get().set_status(status);
    head.get().set_content_type(content_type);
    head.send().promise.await?;
    Ok(())
}

async fn send(
    client: &Client,
    address: SocketAddr,
    payload: &Payload<'_>,
) -> cyper::Result<cyper::Response> {
    let method = Method::from_bytes(payload.method.as_bytes()).unwrap_or(Method::POST);
    let url = format!("http://{address}{}", payload.path);
    let mut request = client.request(method, url)?;
    if !payload.content_type.is_empty() {
        request = request.header(CONTENT_TYPE, payload.content_type)?;
    }
    let body = Bytes::copy_from_slice(payload.body);
    request.body(body).send().await
}

/// Forwards the body to the entry, with up to [`MAX_UNACKNOWLEDGED_CHUNKS`] in flight.
async fn copy(
    body: impl Stream<Item = cyper::Result<Bytes>>,
    answer: &answer::Client,
    mut cached: Option<Answer>,
    on_first_chunk: impl FnOnce(),
) -> Outcome {
    let mut on_first_chunk = Some(on_first_chunk);
    pin_mut!(body);
    let mut unacknowledged = FuturesUnordered::new();
    let mut chunks = 0;
    while let Some(data) = body.next().await {
        let Ok(data) = data else {
            return failed(ENDPOINT_FAILED, chunks);
        };
        if let Some(on_first_chunk) = on_first_chunk.take() {
            on_first_chunk();
        }
        if let Some(cached) = &mut cached {
            cached.push(&data);
        }
        let mut chunk = answer.chunk_request();
        chunk.get().set_sequence(chunks);
        chunk.get().set_data(&data);
        chunks += 1;
        unacknowledged.push(chunk.send().promise);
        if unacknowledged.len() >= MAX_UNACKNOWLEDGED_CHUNKS
            && let Some(Err(_)) = unacknowledged.next().await
        {
            return failed(CALLER_LEFT, chunks);
        }
    }
    while let Some(acknowledged) = unacknowledged.next().await {
        if acknowledged.is_err() {
            return failed(CALLER_LEFT, chunks);
        }
    }
    Outcome {
        verdict: Verdict::Ran,
        chunks,
        cached,
        retry_after: Duration::ZERO,
    }
}

/// The verdict on a request that failed with `error`. Only if no connection was made is it
/// certain that the request did not run.
fn classify(error: &cyper::Error) -> Verdict {
    match error {
        cyper::Error::HyperClient(error) if error.is_connect() => Verdict::NotRun {
            reason: Reason::EndpointFailed,
        },
        cyper::Error::InvalidUrl(_) | cyper::Error::UrlParse(_) => Verdict::NotRun {
            reason: Reason::BadRequest,
        },
        _ => ENDPOINT_FAILED,
    }
}

fn failed(verdict: Verdict, chunks: u64) -> Outcome {
    Outcome {
        verdict,
        chunks,
        cached: None,
        retry_after: Duration::ZERO,
    }
}

/// The connection to the endpoint failed after the request may have been sent.
const ENDPOINT_FAILED: Verdict = Verdict::MayHaveRun {
    reason: Reason::EndpointFailed,
};

/// The entry stopped accepting the answer.
const CALLER_LEFT: Verdict = Verdict::MayHaveRun {
    reason: Reason::CallerLeft,
};

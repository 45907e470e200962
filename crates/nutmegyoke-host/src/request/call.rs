//! Carries one submission to its endpoint, in an agent.

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

use crate::process::cache::Answer;

/// Chunks on their way to the entry at once.
const WINDOW: usize = 8;

/// How a call ended and how many chunks of its answer were sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Chunks sent to the entry.
    pub chunks: u64,
    /// The whole answer, if it is to be kept.
    pub record: Option<Answer>,
    /// When another try may succeed; zero if that is not known.
    pub after: Duration,
}

/// Sends the request to its endpoint and the answer to the entry.
///
/// `answered` is called when the first part of the answer came.
pub async fn run(
    client: &Client,
    address: SocketAddr,
    payload: &Payload<'_>,
    answer: &answer::Client,
    keep: bool,
    answered: impl FnOnce(),
) -> Outcome {
    let response = match send(client, address, payload).await {
        Ok(response) => response,
        Err(error) => return failed(verdict(&error), 0),
    };
    let status = response.status().as_u16();
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let content_type = content_type.unwrap_or("");
    if send_head(answer, status, content_type).await.is_err() {
        return failed(LEFT, 0);
    }
    let record = keep.then(|| Answer::open(status, content_type));
    copy(response.bytes_stream(), answer, record, answered).await
}

/// Sends a kept answer again; returns the number of its chunks.
///
/// # Errors
///
/// The entry left.
pub async fn replay(record: Answer, answer: &answer::Client) -> capnp::Result<u64> {
    send_head(answer, record.status, &record.content_type).await?;
    let parts = record.parts.into_iter().map(Ok::<_, cyper::Error>);
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

/// Copies the body, with a window of unacknowledged chunks.
async fn copy(
    body: impl Stream<Item = cyper::Result<Bytes>>,
    answer: &answer::Client,
    mut record: Option<Answer>,
    answered: impl FnOnce(),
) -> Outcome {
    let mut answered = Some(answered);
    pin_mut!(body);
    let mut window = FuturesUnordered::new();
    let mut chunks = 0;
    while let Some(data) = body.next().await {
        let Ok(data) = data else {
            return failed(BROKEN, chunks);
        };
        if let Some(answered) = answered.take() {
            answered();
        }
        if let Some(record) = &mut record {
            record.push(&data);
        }
        let mut chunk = answer.chunk_request();
        chunk.get().set_sequence(chunks);
        chunk.get().set_data(&data);
        chunks += 1;
        window.push(chunk.send().promise);
        if window.len() >= WINDOW
            && let Some(Err(_)) = window.next().await
        {
            return failed(LEFT, chunks);
        }
    }
    while let Some(acknowledged) = window.next().await {
        if acknowledged.is_err() {
            return failed(LEFT, chunks);
        }
    }
    Outcome {
        verdict: Verdict::Ran,
        chunks,
        record,
        after: Duration::ZERO,
    }
}

/// Only a connection that was never made proves that nothing ran.
fn verdict(error: &cyper::Error) -> Verdict {
    match error {
        cyper::Error::HyperClient(error) if error.is_connect() => Verdict::NotRun {
            reason: Reason::EndpointFailed,
        },
        cyper::Error::InvalidUrl(_) | cyper::Error::UrlParse(_) => Verdict::NotRun {
            reason: Reason::BadRequest,
        },
        _ => BROKEN,
    }
}

fn failed(verdict: Verdict, chunks: u64) -> Outcome {
    Outcome {
        verdict,
        chunks,
        record: None,
        after: Duration::ZERO,
    }
}

const BROKEN: Verdict = Verdict::MayHaveRun {
    reason: Reason::EndpointFailed,
};

const LEFT: Verdict = Verdict::MayHaveRun {
    reason: Reason::CallerLeft,
};

//! Carries one submission to its endpoint, in an agent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cyper::Client;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::Method;
use http::header::CONTENT_TYPE;
use nutmegyoke_core::request::{Reason, Verdict};
use nutmegyoke_wire::connection::link_capnp::answer;
use nutmegyoke_wire::request::Payload;

/// Chunks on their way to the entry at once.
const WINDOW: usize = 8;

/// How a call ended and how many chunks of its answer were sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Chunks sent to the entry.
    pub chunks: u64,
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
    answered: impl FnOnce(),
) -> Outcome {
    let response = match send(client, address, payload).await {
        Ok(response) => response,
        Err(error) => return failed(verdict(&error), 0),
    };
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    let mut head = answer.head_request();
    head.get().set_status(response.status().as_u16());
    head.get().set_content_type(content_type.unwrap_or(""));
    if head.send().promise.await.is_err() {
        return failed(LEFT, 0);
    }
    copy(response, answer, answered).await
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
    response: cyper::Response,
    answer: &answer::Client,
    answered: impl FnOnce(),
) -> Outcome {
    let mut answered = Some(answered);
    let mut body = response.bytes_stream();
    let mut window = FuturesUnordered::new();
    let mut chunks = 0;
    while let Some(data) = body.next().await {
        let Ok(data) = data else {
            return failed(BROKEN, chunks);
        };
        if let Some(answered) = answered.take() {
            answered();
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
        after: Duration::ZERO,
    }
}

const BROKEN: Verdict = Verdict::MayHaveRun {
    reason: Reason::EndpointFailed,
};

const LEFT: Verdict = Verdict::MayHaveRun {
    reason: Reason::CallerLeft,
};

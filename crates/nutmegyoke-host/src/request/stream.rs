//! Relays a streamed answer to the caller, part by part.

use std::time::Instant;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::future::{Either, select};
use futures_util::pin_mut;
use hyper::Response;
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::request::{Reason, Verdict};
use nutmegyoke_wire::request::Failure;

use super::Body;
use super::answer::Part;
use super::attempt::{Attempt, Step};
use super::body::{Truncated, Writer};
use super::handle::Handle;
use super::reply::{fail, record_failure, respond};

/// Returns a response whose body is streamed from `attempt` until `deadline`.
#[must_use]
pub fn relay<C: Clock + 'static>(
    handle: Handle<C>,
    attempt: Attempt,
    status: u16,
    content_type: &str,
    deadline: Instant,
) -> Response<Body> {
    handle.begin_answer();
    let (writer, body) = Body::stream();
    let Some(response) = respond(status, content_type, body) else {
        return fail(handle.entry(), INVALID_HEAD, "");
    };
    compio::runtime::spawn(run(handle, attempt, writer, deadline)).detach();
    response
}

/// The caller closed the connection.
const CALLER_LEFT: Verdict = Verdict::MayHaveRun {
    reason: Reason::CallerLeft,
};

/// The endpoint's status or content type is not valid in HTTP.
const INVALID_HEAD: Verdict = Verdict::MayHaveRun {
    reason: Reason::EndpointFailed,
};

/// The request's deadline passed before the end of the stream.
const DEADLINE_PASSED: Verdict = Verdict::MayHaveRun {
    reason: Reason::DeadlinePassed,
};

/// Relays the parts, then ends the attempt. A failure is sent as a last event before the
/// connection is aborted.
async fn run<C: Clock + 'static>(
    handle: Handle<C>,
    mut attempt: Attempt,
    writer: Writer,
    deadline: Instant,
) {
    let Writer {
        mut parts,
        disconnected,
    } = writer;
    let copied = copy(&handle, &mut attempt, &mut parts);
    let copied = compio::time::timeout_at(deadline, copied);
    let verdict = {
        pin_mut!(copied);
        match select(copied, disconnected).await {
            Either::Left((verdict, _)) => verdict.unwrap_or(DEADLINE_PASSED),
            // Dropping the attempt cancels it, and dropping the handle ends the request in
            // the state machine.
            Either::Right(_) => {
                return record_failure(handle.entry(), Some(handle.id()), CALLER_LEFT);
            }
        }
    };
    handle.report_load(attempt.load());
    handle.end_attempt(verdict);
    if verdict != Verdict::Ran {
        record_failure(handle.entry(), Some(handle.id()), verdict);
        let failure = Failure::new(verdict, "");
        let text = [b"data: ".as_slice(), &failure.encode(), b"\n\n"].concat();
        let _ = parts.send(Ok(text.into())).await;
        let _ = parts.send(Err(Truncated)).await;
    }
}

/// The sending side of a streamed body.
type Sender = futures_channel::mpsc::Sender<Result<Bytes, Truncated>>;

/// Copies the parts of the answer to the body until the attempt ends.
async fn copy<C: Clock + 'static>(
    handle: &Handle<C>,
    attempt: &mut Attempt,
    parts: &mut Sender,
) -> Verdict {
    loop {
        match attempt.next().await {
            Step::Part {
                part: Part::Chunk { data },
            } => {
                handle.record_part(&data);
                if parts.send(Ok(data)).await.is_err() {
                    return Verdict::MayHaveRun {
                        reason: Reason::CallerLeft,
                    };
                }
            }
            Step::Part { .. } => {}
            Step::End { verdict } => return verdict,
        }
    }
}

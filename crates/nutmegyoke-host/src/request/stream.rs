//! Passes a streamed answer on to the caller, part by part.

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
use super::reply::{count, fail, respond};
use super::ticket::Ticket;

/// Passes a streamed answer on as it comes.
#[must_use]
pub fn pass<C: Clock + 'static>(
    ticket: Ticket<C>,
    attempt: Attempt,
    status: u16,
    content_type: &str,
    until: Instant,
) -> Response<Body> {
    ticket.started();
    let (writer, body) = Body::stream();
    let Some(response) = respond(status, content_type, body) else {
        return fail(ticket.entry(), LOST_HEAD, "");
    };
    compio::runtime::spawn(pump(ticket, attempt, writer, until)).detach();
    response
}

const LEFT: Verdict = Verdict::MayHaveRun {
    reason: Reason::CallerLeft,
};

const LOST_HEAD: Verdict = Verdict::MayHaveRun {
    reason: Reason::EndpointFailed,
};

/// The plan's deadline passed before the end of the stream.
const STALLED: Verdict = Verdict::MayHaveRun {
    reason: Reason::DeadlinePassed,
};

async fn pump<C: Clock + 'static>(
    ticket: Ticket<C>,
    mut attempt: Attempt,
    writer: Writer,
    until: Instant,
) {
    let Writer { mut parts, left } = writer;
    let copied = copy(&ticket, &mut attempt, &mut parts);
    let copied = compio::time::timeout_at(until, copied);
    let verdict = {
        pin_mut!(copied);
        match select(copied, left).await {
            Either::Left((verdict, _)) => verdict.unwrap_or(STALLED),
            // Dropping the attempt cancels it; dropping the ticket tells the machine.
            Either::Right(_) => return count(ticket.entry(), Some(ticket.id()), LEFT),
        }
    };
    ticket.reported(attempt.load());
    ticket.settle(verdict);
    if verdict != Verdict::Ran {
        count(ticket.entry(), Some(ticket.id()), verdict);
        let failure = Failure::new(verdict, "");
        let text = [b"data: ".as_slice(), &failure.encode(), b"\n\n"].concat();
        let _ = parts.send(Ok(text.into())).await;
        let _ = parts.send(Err(Truncated)).await;
    }
}

type Parts = futures_channel::mpsc::Sender<Result<Bytes, Truncated>>;

async fn copy<C: Clock + 'static>(
    ticket: &Ticket<C>,
    attempt: &mut Attempt,
    parts: &mut Parts,
) -> Verdict {
    loop {
        match attempt.next().await {
            Step::Part {
                part: Part::Chunk { data },
            } => {
                ticket.part(&data);
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

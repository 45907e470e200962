//! Assembles an answer from its parts.

use nutmegyoke_core::request::{Reason, Verdict};

use super::Buffer;
use super::answer::Part;
use super::attempt::{Attempt, Step};
use crate::connection::account::Reservation;

/// The longest answer that is buffered, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// The content type of answers that are streamed to the caller.
const EVENT_STREAM: &str = "text/event-stream";

/// The result of assembling an answer.
pub enum Assembly {
    /// The complete answer.
    Buffered {
        status: u16,
        content_type: String,
        body: Vec<u8>,
    },
    /// The head of an answer whose content type is an event stream.
    Stream { status: u16, content_type: String },
    /// The attempt ended without a complete answer.
    Failed { verdict: Verdict },
}

/// Buffers an answer, or returns after its head if it is an event stream.
pub async fn assemble(attempt: &mut Attempt, reservation: &Reservation) -> Assembly {
    match head(attempt).await {
        Ok((status, content_type)) if content_type.starts_with(EVENT_STREAM) => Assembly::Stream {
            status,
            content_type,
        },
        Ok((status, content_type)) => body(attempt, status, content_type, reservation).await,
        Err(verdict) => Assembly::Failed { verdict },
    }
}

/// Buffers an answer, whether or not it is an event stream.
pub async fn buffer(attempt: &mut Attempt, reservation: &Reservation) -> Assembly {
    match head(attempt).await {
        Ok((status, content_type)) => body(attempt, status, content_type, reservation).await,
        Err(verdict) => Assembly::Failed { verdict },
    }
}

async fn head(attempt: &mut Attempt) -> Result<(u16, String), Verdict> {
    match attempt.next().await {
        Step::Part {
            part: Part::Head {
                status,
                content_type,
            },
        } => Ok((status, content_type)),
        Step::Part { .. }
        | Step::End {
            verdict: Verdict::Ran,
        } => Err(TRUNCATED),
        Step::End { verdict } => Err(verdict),
    }
}

async fn body(
    attempt: &mut Attempt,
    status: u16,
    content_type: String,
    reservation: &Reservation,
) -> Assembly {
    let mut body = Buffer::open(MAX_ANSWER_BYTES, reservation);
    loop {
        match attempt.next().await {
            Step::Part {
                part: Part::Chunk { data },
            } => {
                if !body.push(&data).await {
                    return Assembly::Failed { verdict: TRUNCATED };
                }
            }
            Step::Part { .. } => {}
            Step::End {
                verdict: Verdict::Ran,
            } => {
                return Assembly::Buffered {
                    status,
                    content_type,
                    body: body.finish(),
                };
            }
            Step::End { verdict } => return Assembly::Failed { verdict },
        }
    }
}

/// The endpoint ran the request, but part of its answer is missing or it is too long.
const TRUNCATED: Verdict = Verdict::MayHaveRun {
    reason: Reason::Truncated,
};

//! Assembles a whole answer from its parts.

use nutmegyoke_core::request::{Reason, Verdict};

use super::answer::Part;
use super::attempt::{Attempt, Step};

/// The longest answer that is assembled before it is passed on, in bytes.
const ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// The type of answers that are passed on part by part.
const EVENT_STREAM: &str = "text/event-stream";

/// An answer, whole or found to be a stream.
pub enum Assembly {
    Whole {
        status: u16,
        content_type: String,
        body: Vec<u8>,
    },
    Stream {
        status: u16,
        content_type: String,
    },
    Failed {
        verdict: Verdict,
    },
}

/// Takes parts until the answer is whole or turns out to be a stream.
pub async fn assemble(attempt: &mut Attempt) -> Assembly {
    let (status, content_type) = match attempt.next().await {
        Step::Part {
            part: Part::Head {
                status,
                content_type,
            },
        } => (status, content_type),
        Step::Part { .. }
        | Step::End {
            verdict: Verdict::Ran,
        } => return failed(Reason::Truncated),
        Step::End { verdict } => return Assembly::Failed { verdict },
    };
    if content_type.starts_with(EVENT_STREAM) {
        return Assembly::Stream {
            status,
            content_type,
        };
    }
    let mut body = Vec::new();
    loop {
        match attempt.next().await {
            Step::Part {
                part: Part::Chunk { data },
            } => {
                if body.len() + data.len() > ANSWER_BYTES {
                    return failed(Reason::Truncated);
                }
                body.extend_from_slice(&data);
            }
            Step::Part { .. } => {}
            Step::End {
                verdict: Verdict::Ran,
            } => {
                return Assembly::Whole {
                    status,
                    content_type,
                    body,
                };
            }
            Step::End { verdict } => return Assembly::Failed { verdict },
        }
    }
}

fn failed(reason: Reason) -> Assembly {
    Assembly::Failed {
        verdict: Verdict::MayHaveRun { reason },
    }
}

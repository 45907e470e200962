//! The JSON error that callers receive.

use std::time::Duration;

use nutmegyoke_core::request::{Reason, Verdict};
use serde::Serialize;

/// The response header that states whether the request ran: `no`, `unknown` or `yes`.
pub const RAN_HEADER: &str = "nutmegyoke-ran";

/// The request header by which a caller declares, with the value `no`, that a request must
/// not run twice.
pub const REPEATABLE_HEADER: &str = "nutmegyoke-repeatable";

/// The error response to a request that was refused or failed.
#[derive(Clone, Debug, Serialize)]
pub struct Failure {
    /// The HTTP status.
    #[serde(skip)]
    pub status: u16,
    /// The value of `Retry-After` in seconds; `None` if a retry would not help.
    #[serde(skip)]
    pub retry_after: Option<u32>,
    error: Detail,
}

#[derive(Clone, Debug, Serialize)]
struct Detail {
    code: &'static str,
    message: String,
    ran: Ran,
}

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It did not run and will not run.
    No,
    /// It may have run.
    Unknown,
    /// It ran, but its answer is no longer available.
    Yes,
}

impl Ran {
    /// The value of [`RAN_HEADER`].
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Yes => "yes",
        }
    }
}

impl Failure {
    /// Builds the error for a request without a complete answer.
    ///
    /// An empty `message` is replaced by the default one of the verdict's reason.
    #[must_use]
    pub fn new(verdict: Verdict, message: &str) -> Self {
        let reason = verdict.reason().unwrap_or(Reason::AnswerGone);
        Self {
            status: status(reason),
            retry_after: retry_after(reason),
            error: Detail {
                code: reason.name(),
                message: if message.is_empty() {
                    default_message(reason).to_owned()
                } else {
                    message.to_owned()
                },
                ran: match verdict {
                    Verdict::NotRun { .. } => Ran::No,
                    Verdict::MayHaveRun { .. } => Ran::Unknown,
                    Verdict::Ran => Ran::Yes,
                },
            },
        }
    }

    /// Sets the time until a retry may succeed, rounded up to whole seconds.
    ///
    /// Does nothing if a retry would not help.
    pub fn set_retry_after(&mut self, delay: Duration) {
        if self.retry_after.is_some() {
            let seconds = delay.as_millis().div_ceil(1000).max(1);
            self.retry_after = Some(u32::try_from(seconds).unwrap_or(u32::MAX));
        }
    }

    /// Whether the request ran.
    #[must_use]
    pub fn ran(&self) -> Ran {
        self.error.ran
    }

    /// Encodes the error as JSON.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

fn status(reason: Reason) -> u16 {
    match reason {
        Reason::BadKey => 401,
        Reason::BadRequest | Reason::BodyIncomplete => 400,
        Reason::BodyStalled => 408,
        Reason::BodyTooLong => 413,
        Reason::HeadersTooLong => 431,
        Reason::MethodNotAllowed => 405,
        Reason::UnknownPath | Reason::UnknownModel | Reason::UnknownService => 404,
        Reason::NotGranted => 403,
        Reason::RateLimited | Reason::ConcurrencyLimited | Reason::TokensLimited => 429,
        Reason::NoEndpoint
        | Reason::Quarantined
        | Reason::UnknownOrigin
        | Reason::OriginGone
        | Reason::EndpointLimited
        | Reason::EndpointPaused
        | Reason::NoConfiguration
        | Reason::MemoryFull
        | Reason::Unreachable
        | Reason::QueueFull
        | Reason::ExpectationMissed
        | Reason::Draining
        | Reason::NotHeld
        | Reason::Unclaimed
        | Reason::ClaimsFull
        | Reason::Unconfirmed
        | Reason::StaleConfiguration => 503,
        Reason::KeyReused | Reason::KeyExpired => 422,
        Reason::StillRunning => 409,
        Reason::AnswerGone => 410,
        Reason::DeadlinePassed => 504,
        Reason::LinkLost
        | Reason::Duplicate
        | Reason::EndpointFailed
        | Reason::Truncated
        | Reason::Restarted
        | Reason::HolderLost
        | Reason::CallerLeft => 502,
    }
}

fn retry_after(reason: Reason) -> Option<u32> {
    matches!(status(reason), 409 | 429 | 503).then_some(1)
}

fn default_message(reason: Reason) -> &'static str {
    match reason {
        Reason::BadKey => "send `Authorization: Bearer KEY` with the key of a plan",
        Reason::BadRequest => "send a JSON object with at least the field `model`",
        Reason::BodyTooLong => "send a shorter body",
        Reason::BodyIncomplete => "send the whole body",
        Reason::BodyStalled => "send the body without pauses",
        Reason::MemoryFull => "no memory is free for the request; try again",
        Reason::HeadersTooLong => "send fewer or shorter headers",
        Reason::MethodNotAllowed => "use GET for /v1/models and POST for completions",
        Reason::NoConfiguration => "the entry has just started; try again",
        Reason::UnknownPath => {
            "use /v1/chat/completions, /v1/completions, /v1/models or /services/NAME/..."
        }
        Reason::UnknownModel => "name a model or adapter from /v1/models",
        Reason::UnknownService => "name a service that is granted to the plan",
        Reason::NotGranted => "the plan may not use this; ask the operator for a grant",
        Reason::RateLimited => "the plan's request rate is used up; send more slowly",
        Reason::ConcurrencyLimited => "the plan's concurrency is used up; wait for an answer first",
        Reason::TokensLimited => "the plan's token budget is used up; send more slowly",
        Reason::NoEndpoint => "no endpoint holds this now; try again",
        Reason::Quarantined => {
            "it crashed several endpoints, or has a prompt part that did; change it"
        }
        Reason::UnknownOrigin | Reason::OriginGone => {
            "the stream can't go on, as its beginning would not fit; begin it anew"
        }
        Reason::EndpointLimited | Reason::EndpointPaused => {
            "the endpoints take no more requests for now; try again as Retry-After says"
        }
        Reason::Unreachable => "no agent could be reached; try again",
        Reason::LinkLost => "the link to the endpoint broke after the request was sent",
        Reason::QueueFull => "the endpoints are busy; try again",
        Reason::DeadlinePassed => "the plan's deadline passed",
        Reason::ExpectationMissed => {
            "the endpoints are too busy to answer in time; try again as Retry-After says"
        }
        Reason::Draining => "this process is stopping; send to another one",
        Reason::Duplicate => "the request was submitted before and may be running",
        Reason::NotHeld => "the endpoint does not hold this any more; try again",
        Reason::StaleConfiguration => "a newer configuration came into force; try again",
        Reason::Unconfirmed => "the path is unknown, but may just have been added; try again",
        Reason::EndpointFailed => "the endpoint failed while it ran the request",
        Reason::Truncated => "the answer broke off before it was whole",
        Reason::CallerLeft => "the caller closed the connection",
        Reason::Restarted => "the agent restarted; whether it ran the request before is unknown",
        Reason::Unclaimed => "no control process granted a claim for the key; try again",
        Reason::KeyExpired => {
            "the key carries a time that claims are not kept for; an earlier request with it may have run"
        }
        Reason::ClaimsFull => "control holds as many claims as it may; try again later",
        Reason::KeyReused => "this key was used with another body; send a key of its own",
        Reason::StillRunning => {
            "the request with this key is still running; ask again with the key"
        }
        Reason::HolderLost => "the entry that ran the request with this key is lost",
        Reason::AnswerGone => "the request with this key ran; its answer is not kept any more",
    }
}

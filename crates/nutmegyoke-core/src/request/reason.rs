//! The reasons why a request is refused or an attempt fails.
//!
//! The same name is used as JSON error code, metric label and in log lines.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// The reason of a refusal or a retry. The names are stable.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The bearer key is missing or belongs to no plan.
    BadKey,
    /// The body is not valid in the protocol.
    BadRequest,
    /// The body is longer than allowed.
    BodyTooLong,
    /// The body ended early.
    BodyIncomplete,
    /// The body made no progress, and others needed its memory or it took too long.
    BodyStalled,
    /// No memory is free for the request.
    MemoryFull,
    /// The headers are longer than allowed.
    HeadersTooLong,
    /// The path does not support this method.
    MethodNotAllowed,
    /// The entry has not received a configuration yet.
    NoConfiguration,
    /// The caller API has no such path.
    UnknownPath,
    /// No grant lists this model or adapter.
    UnknownModel,
    /// No grant lists this service.
    UnknownService,
    /// The plan is not granted the item.
    NotGranted,
    /// The plan's request rate is exceeded.
    RateLimited,
    /// The plan's limit of concurrent requests is reached.
    ConcurrencyLimited,
    /// The plan's token rate is exceeded.
    TokensLimited,
    /// No endpoint holds the required model, adapter or service.
    NoEndpoint,
    /// The request, or one with the same prompt part, crashed several endpoints.
    Quarantined,
    /// The request goes on with a stream, and which build of the service's software began that is not
    /// known.
    UnknownOrigin,
    /// The request goes on with a stream, and no endpoint with the build that began that is left.
    OriginGone,
    /// All endpoints that could take the request are at the limits that they name.
    EndpointLimited,
    /// All endpoints that could take the request asked for a pause.
    EndpointPaused,
    /// The agent could not be reached.
    Unreachable,
    /// The link broke after the request had been sent.
    LinkLost,
    /// The agent's queue is full.
    QueueFull,
    /// The deadline passed before the request was answered.
    DeadlinePassed,
    /// The first token or the end of the answer would be late.
    ExpectationMissed,
    /// The endpoint or process accepts no new requests.
    Draining,
    /// The agent has received this request before.
    Duplicate,
    /// The endpoint no longer holds the required model, adapter or service.
    NotHeld,
    /// The request was admitted under a configuration older than the agent's.
    StaleConfiguration,
    /// The path is not known, but the routing document may be old and no leader confirms it.
    Unconfirmed,
    /// The endpoint answered with an error or closed the connection.
    EndpointFailed,
    /// The answer ended early.
    Truncated,
    /// The caller closed the connection.
    CallerLeft,
    /// The agent restarted after the entry had chosen it.
    Restarted,
    /// No control process answered the request for a claim.
    Unclaimed,
    /// The idempotency key was used with another request.
    KeyReused,
    /// The timestamp of the idempotency key is older than the retention of claims, or ahead of
    /// the clock.
    KeyExpired,
    /// Control stores the maximum number of claims.
    ClaimsFull,
    /// Another request with the key is still running.
    StillRunning,
    /// The entry that holds the claim for this key is no longer in the directory.
    HolderLost,
    /// The request ran, but its answer is no longer stored.
    AnswerGone,
}

impl Reason {
    /// The stable name in JSON, metrics and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        self.into()
    }
}

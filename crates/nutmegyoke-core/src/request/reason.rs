//! Why a request was refused or an attempt failed.
//!
//! One name serves the JSON error code, the metric label and the log line.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// A refusal or retry reason; the names are stable.
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
    /// No bearer key, or one that no plan has.
    BadKey,
    /// The body is not what the protocol asks for.
    BadRequest,
    /// The body is longer than allowed.
    BodyTooLong,
    /// The body broke off before its end.
    BodyIncomplete,
    /// The headers are longer than allowed.
    HeadersTooLong,
    /// The path does not take this method.
    MethodNotAllowed,
    /// The entry has not learned a configuration yet.
    NoConfiguration,
    /// No route of the caller API has this path.
    UnknownPath,
    /// No grant has this model or adapter.
    UnknownModel,
    /// No grant has this service.
    UnknownService,
    /// The plan may not use the item.
    NotGranted,
    /// The plan's rate is used up.
    RateLimited,
    /// The plan's concurrency is used up.
    ConcurrencyLimited,
    /// The plan's token budget is used up.
    TokensLimited,
    /// No endpoint holds what the request needs.
    NoEndpoint,
    /// The agent could not be reached.
    Unreachable,
    /// The link broke after the request had been sent.
    LinkLost,
    /// The agent's queue is full.
    QueueFull,
    /// The deadline passed before the request was answered.
    DeadlinePassed,
    /// The first token or the end would come too late.
    ExpectationMissed,
    /// The endpoint or process takes no new work.
    Draining,
    /// The agent has seen this request before.
    Duplicate,
    /// The endpoint no longer holds what the request needs.
    NotHeld,
    /// The request was admitted under a configuration older than the agent's.
    StaleConfiguration,
    /// The endpoint answered with an error or broke the connection.
    EndpointFailed,
    /// The answer ended before it was whole.
    Truncated,
    /// The caller closed the connection.
    CallerLeft,
    /// The agent restarted after the entry had chosen it.
    Restarted,
    /// No control process granted a claim.
    Unclaimed,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The idempotency key carries a time that claims are not kept for.
    KeyExpired,
    /// Control holds as many claims as it may.
    ClaimsFull,
    /// Another request with the key is still running.
    StillRunning,
    /// The entry that ran a request with the key is lost.
    HolderLost,
    /// The request ran, and its answer is not kept any more.
    AnswerGone,
}

impl Reason {
    /// The stable name, as used in JSON, metrics and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        self.into()
    }
}

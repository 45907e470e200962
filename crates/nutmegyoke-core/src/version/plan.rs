//! A plan: its customer, its limits and the latency that its requests may expect.
//!
//! The limits hold for all entries together, see [`quota`](crate::process::entry::quota).

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Customer;

/// The priority of plans that do not set one; 0 is the most urgent, 9 the least.
pub const DEFAULT_PRIORITY: u8 = 5;

/// A row of the plans list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Plan {
    /// The name of the plan, unique in a configuration.
    pub name: String,
    /// The customer that bought the plan.
    pub customer: Customer,
    /// The bearer key that callers send.
    pub key: String,
    /// The sustained rate of requests per second. The burst is the requests of one second.
    pub requests_per_second: u32,
    /// The maximum number of requests in flight.
    pub concurrency: u32,
    /// The sustained rate of prompt and generated tokens per minute.
    pub tokens_per_minute: u64,
    /// The priority; 0 is the most urgent, 9 the least.
    pub priority: u8,
    /// The expected time to the first token.
    pub first_token: Duration,
    /// The expected mean time between tokens.
    pub between_tokens: Duration,
    /// The time after which a request fails.
    pub deadline: Duration,
}

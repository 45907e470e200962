//! A plan: who bought it, its limits and what its requests may expect.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Customer;

/// Priority of plans that do not set one; 0 is the most urgent, 9 the least.
pub const DEFAULT_PRIORITY: u8 = 5;

/// One row of the plans list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Plan {
    /// The name of the plan, unique in a configuration.
    pub name: String,
    /// Who bought it.
    pub customer: Customer,
    /// The bearer token that callers present.
    pub key: String,
    /// Sustained requests a second; a burst of one second's worth may pass at once.
    pub requests_per_second: u32,
    /// Requests in flight at once through one entry.
    pub concurrency: u32,
    /// Prompt and generated tokens a minute.
    pub tokens_per_minute: u64,
    /// 0 is the most urgent, 9 the least.
    pub priority: u8,
    /// Expectation: time to the first token.
    pub first_token: Duration,
    /// Expectation: time between tokens.
    pub between_tokens: Duration,
    /// Time after which a request is given up.
    pub deadline: Duration,
}

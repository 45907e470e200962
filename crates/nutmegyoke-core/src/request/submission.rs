//! What an entry submits to an agent, without the body.

use std::time::Duration;

use super::Id;
use super::arrival::Destination;
use crate::version::Customer;
use crate::version::grant::Repeat;

/// The part of a submitted request that decisions look at.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Identifies the request across its attempts.
    pub id: Id,
    /// Counts the attempts of the request from 0.
    pub attempt: u32,
    /// Whose request it is.
    pub customer: Customer,
    /// 0 is the most urgent, 9 the least.
    pub priority: u8,
    /// The endpoint on the agent's VM that was chosen.
    pub endpoint: String,
    /// What the request needs the endpoint to hold.
    pub destination: Destination,
    /// Whether it may run more than once.
    pub repeat: Repeat,
    /// The time left until the caller gives up.
    pub remaining: Duration,
    /// The time left until the first token is due; `None` if none is expected, as
    /// of a plain service.
    pub first_token: Option<Duration>,
    /// Prompt and generated tokens at most; 0 for a plain service.
    pub tokens: u64,
    /// The number of the configuration that admitted the request.
    pub configuration: u64,
    /// The incarnation of the agent that was chosen.
    pub incarnation: u64,
    /// Whether the agent shall keep the answer for resends.
    pub keyed: bool,
}

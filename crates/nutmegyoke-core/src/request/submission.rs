//! A request that an entry submits to an agent, without the body.

use std::time::Duration;

use super::Id;
use super::arrival::Destination;
use crate::version::Customer;
use crate::version::grant::Repeat;

/// The properties of a submitted request that decisions use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The identifier of the request, the same for all attempts.
    pub id: Id,
    /// The number of the attempt, starting at 0.
    pub attempt: u32,
    /// The customer that sent the request.
    pub customer: Customer,
    /// The priority; 0 is the most urgent, 9 the least.
    pub priority: u8,
    /// The name of the chosen endpoint on the agent's VM.
    pub endpoint: String,
    /// The model, adapter or service that the endpoint must hold.
    pub destination: Destination,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// The time until the request's deadline.
    pub remaining: Duration,
    /// The time until the first token is due; `None` if there is no such expectation, as for a
    /// plain service.
    pub first_token: Option<Duration>,
    /// The maximum number of prompt and generated tokens; 0 for a plain service.
    pub tokens: u64,
    /// The number of the configuration that admitted the request.
    pub configuration: u64,
    /// The incarnation of the chosen agent.
    pub incarnation: u64,
    /// Whether the agent stores the answer for resends.
    pub keyed: bool,
}

//! What an answer of an endpoint says of the endpoint, whatever became of the request.

use std::time::Duration;

use super::throttle::Notice;

/// The statements of an endpoint in one of its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Signal {
    /// The limit of its requests.
    pub limit: Notice,
    /// Whether it leaves.
    pub departure: Departure,
    /// Whether it wants a pause.
    pub pause: Pause,
}

/// Whether an endpoint takes new requests until its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Departure {
    /// It does not say that it leaves.
    #[default]
    None,
    /// It takes no new requests until its next start.
    Leaving,
    /// The statement can't be read.
    Malformed,
}

/// For how long an endpoint wants no requests from this gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pause {
    /// It asks for no pause.
    #[default]
    None,
    /// It wants no requests for this time from now on.
    For(Duration),
    /// The time can't be read.
    Malformed,
}

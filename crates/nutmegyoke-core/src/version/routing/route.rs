//! One route: which requests it takes and what may be done with them.

use std::time::Duration;

use crate::version::Service;

/// A route of a routing document.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name, for logs.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// What their path begins with; begins and ends with a slash.
    pub prefix: String,
    /// What may be done with a request again.
    pub semantics: Semantics,
    /// The longest time that a client is kept waiting.
    pub timeout: Duration,
    /// The time to the answer, or to the first part of a stream, that is aimed for.
    pub objective: Duration,
    /// The longest pause between parts of a stream that is aimed for.
    pub gap_objective: Option<Duration>,
    /// The precedence among requests; 0 is the most urgent.
    pub rank: u8,
    /// The most endpoints that may run one request.
    pub max_attempts: u32,
    /// Where requests go.
    pub shares: Vec<Share>,
}

/// The part of a route's requests that goes to a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: Service,
    /// Its weight among the shares of the route.
    pub weight: u64,
}

/// What may be done with a request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    /// It may run any number of times.
    Repeatable,
    /// It may run once at most.
    Once,
    /// It is answered by a stream of events. Where `resumable`, another run may
    /// go on after the last event that was delivered; otherwise it may run once.
    Stream { resumable: bool },
}

impl Route {
    /// Whether another endpoint may run a request that may have run before,
    /// as long as nothing of an answer has been delivered.
    #[must_use]
    pub fn repeatable(&self) -> bool {
        match self.semantics {
            Semantics::Repeatable => true,
            Semantics::Once => false,
            Semantics::Stream { resumable } => resumable,
        }
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn streams(&self) -> bool {
        matches!(self.semantics, Semantics::Stream { .. })
    }

    /// The service that `point` falls on, which is uniform over all numbers.
    #[must_use]
    pub fn choose_service(&self, point: u64) -> Option<&Service> {
        let total: u64 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = point.checked_rem(total)?;
        for share in &self.shares {
            if left < share.weight {
                return Some(&share.service);
            }
            left -= share.weight;
        }
        None
    }
}

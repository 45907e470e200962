//! A route: the requests that it matches and how they are delivered.

use std::time::Duration;

use crate::version::Service;

/// A route of a routing document.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the route in logs.
    pub name: String,
    /// The host that requests are addressed to.
    pub host: String,
    /// The prefix of the path; it begins and ends with a slash.
    pub prefix: String,
    /// The delivery semantics of the requests.
    pub semantics: Semantics,
    /// The maximum time until a client receives its answer or an error.
    pub timeout: Duration,
    /// The latency objective: the time to the answer or to the first part of a stream.
    pub objective: Duration,
    /// The objective for the time between two parts of a stream, if any.
    pub gap_objective: Option<Duration>,
    /// The priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// The maximum number of endpoints that may run a request.
    pub max_attempts: u32,
    /// Whether requests need no key although the document lists tenants.
    pub public: bool,
    /// The services that requests are split between.
    pub shares: Vec<Share>,
}

/// A service's share of the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The name of the service.
    pub service: Service,
    /// The weight of the service among the shares of the route.
    pub weight: u64,
}

/// The delivery semantics of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    /// A request may run any number of times.
    Repeatable,
    /// A request must run at most once.
    Once,
    /// A request is answered by a stream of events. If the stream is `resumable`, the
    /// request may run again and continue after the last delivered event. Otherwise it
    /// must run at most once.
    Stream { resumable: bool },
}

impl Route {
    /// Whether a request that may have run may be retried at another endpoint, as long as
    /// no part of an answer was delivered.
    #[must_use]
    pub fn repeatable(&self) -> bool {
        match self.semantics {
            Semantics::Repeatable => true,
            Semantics::Once => false,
            Semantics::Stream { resumable } => resumable,
        }
    }

    /// Whether the answer is a stream that may be taken up again after it broke off.
    #[must_use]
    pub fn resumes(&self) -> bool {
        self.semantics == Semantics::Stream { resumable: true }
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn streams(&self) -> bool {
        matches!(self.semantics, Semantics::Stream { .. })
    }

    /// Chooses a service by weight. `random` is uniform over all values of its type.
    /// `None` if all weights are 0.
    #[must_use]
    pub fn choose_service(&self, random: u64) -> Option<&Service> {
        // A sum of many weights of 64 bits needs more bits.
        let weight = |share: &Share| u128::from(share.weight);
        let total: u128 = self.shares.iter().map(weight).sum();
        let mut offset = u128::from(random).checked_rem(total)?;
        for share in &self.shares {
            if offset < weight(share) {
                return Some(&share.service);
            }
            offset -= weight(share);
        }
        None
    }
}

//! The evidence that gateways send each other.

use std::time::Duration;

use super::{Feature, Origin};

/// Crashes and clearances that another gateway has not acknowledged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    pub crashes: Vec<Report>,
    pub clearances: Vec<Clearance>,
}

/// A crash, as reported by one gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// What crashed.
    pub origin: Origin,
    /// The time since the crash.
    pub age: Duration,
    /// The features of each request that may have caused it.
    pub suspects: Vec<Vec<Feature>>,
}

/// A feature of a suspect that a request had which succeeded since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clearance {
    /// The feature.
    pub feature: Feature,
    /// The time since the success.
    pub age: Duration,
}

impl Evidence {
    /// Whether there is nothing to send.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.clearances.is_empty()
    }
}

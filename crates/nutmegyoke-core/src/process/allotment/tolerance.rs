//! How far the use of an allotment may exceed it.

use std::time::Duration;

use crate::version::routing::Allotment;

/// The bound on the use of each allotment, in every span of `window`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The span in which use is counted.
    pub window: Duration,
    /// The part of the allotment of a span that may be used on top.
    pub overage: f64,
    /// The units that may be used on top of that.
    pub slack: f64,
}

impl Default for Tolerance {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            overage: 0.0,
            slack: 0.0,
        }
    }
}

impl Tolerance {
    /// The units that may be used in a span beyond `allotment`.
    #[must_use]
    pub fn units(&self, allotment: &Allotment) -> f64 {
        let allotted = allotment.rate * self.window.as_secs_f64() + allotment.burst;
        allotted * self.overage + self.slack
    }
}

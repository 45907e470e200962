//! The load of an endpoint that other gateways reported, aged until now.
//!
//! An endpoint goes on working while a report is on its way, and the gateways go on sending. A
//! reported load thus moves towards the mean of the service: down by what the endpoint finishes
//! beyond what it gets, up by what it gets.

/// The least share of an endpoint's speed by which a load above the mean is taken to fall. A
/// service whose endpoints get as much as they can do still evens out, because gateways avoid the
/// endpoint that is above the mean.
const MIN_FALL_SHARE: f64 = 0.25;

/// How loads of a service moved since they were reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Drift {
    /// The mean age of the reports, in milliseconds.
    pub age_ms: f64,
    /// The mean of the reported loads of the endpoints, in units of work.
    pub mean: f64,
    /// What an endpoint is expected to get from other gateways, in units of work in a millisecond.
    pub inflow: f64,
}

impl Drift {
    /// The expected load now of an endpoint that had the load `reported` and finishes `speed` units
    /// of work in a millisecond.
    #[must_use]
    pub fn aged(&self, reported: f64, speed: f64) -> f64 {
        if reported > self.mean {
            let fall = (speed - self.inflow).max(speed * MIN_FALL_SHARE);
            (reported - fall * self.age_ms).max(self.mean)
        } else {
            // A load below the mean attracts more than the mean inflow.
            let rise = self.inflow * 2.0 * self.age_ms;
            (reported + rise).min(self.mean)
        }
    }

    /// The share of a reported difference between endpoints that still counts, in requests of `size`
    /// units. All gateways have the same reports, and those that have chosen since have already
    /// evened the difference out: the more, the more requests there were.
    #[must_use]
    pub fn gain(&self, size: f64) -> f64 {
        if size > 0.0 {
            1.0 / (1.0 + self.inflow * self.age_ms / size)
        } else {
            1.0
        }
    }

    /// By how much the load of an endpoint may differ from the expected one, in units of work: the
    /// standard deviation of what it got from other gateways since, in requests of `size` units.
    #[must_use]
    pub fn uncertainty(&self, size: f64) -> f64 {
        (self.inflow * self.age_ms * size).sqrt()
    }
}

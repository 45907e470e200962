//! The choice of an endpoint by the time that a request is expected to take there.
//!
//! * [`speed`]: the speed of an endpoint, learned from responses;
//! * [`failure`]: the failure rate of an endpoint, its ejection and its gradual return;
//! * [`load`]: the load that other gateways reported, aged until now;
//! * [`affinity`]: the prompt prefixes that an endpoint probably has in its cache;
//! * [`estimate`]: the expected time of a request at an endpoint;
//! * [`observed`], [`pooled`]: what a gateway's requests show of an endpoint and of a service;
//! * [`choice`]: the choice among endpoints with similar expected times.
//!
//! Everything here is pure: the time is an argument, and random numbers are passed in.

pub mod affinity;
pub mod choice;
pub mod estimate;
pub mod failure;
pub mod load;
pub mod observed;
pub mod pooled;
pub mod speed;

pub use affinity::Sightings;
pub use choice::{Candidate, choose};
pub use estimate::Estimate;
pub use failure::{Ejection, Failures};
pub use load::Drift;
pub use observed::Observed;
pub use pooled::{Pooled, Summary};
pub use speed::Speed;

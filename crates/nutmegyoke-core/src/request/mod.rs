//! State that lives as long as one request.
//!
//! An [`arrival`] is a decoded request. [`admission`] checks it, it gets an [`id`],
//! routing chooses an endpoint, and each attempt ends with a [`verdict`] that says
//! whether the request may have run.

pub mod admission;
pub mod arrival;
pub mod attempt;
pub mod claim;
pub mod fingerprint;
pub mod id;
pub mod latency;
pub mod passthrough;
pub mod reason;
pub mod submission;
pub mod verdict;

pub use admission::Admission;
pub use arrival::Arrival;
pub use claim::Claim;
pub use fingerprint::Fingerprint;
pub use id::Id;
pub use latency::Latency;
pub use passthrough::Passthrough;
pub use reason::Reason;
pub use submission::Submission;
pub use verdict::Verdict;

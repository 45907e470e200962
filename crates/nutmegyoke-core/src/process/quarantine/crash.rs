//! A crash of an endpoint, and the requests that may have caused it.

use std::time::Instant;

use super::Feature;

/// The most requests that are kept as suspects of a crash.
pub const MAX_SUSPECTS: usize = 64;

/// The start of an endpoint that ended in a crash. An endpoint crashes at most once in each
/// start, so the reports of several gateways about one crash have the same origin.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// The id of the endpoint.
    pub endpoint: String,
    /// When the endpoint started, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

/// A crash of an endpoint while it had requests that may have caused it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// What crashed.
    pub origin: Origin,
    /// When the first connection broke.
    pub at: Instant,
    /// The features of each request that may have caused it.
    pub suspects: Vec<Vec<Feature>>,
}

/// Adds the features of a request that may have caused a crash, unless they are known or there
/// are [`MAX_SUSPECTS`] already.
pub fn add_suspect(suspects: &mut Vec<Vec<Feature>>, features: &[Feature]) {
    let known = suspects.iter().any(|suspect| suspect == features);
    if !features.is_empty() && !known && suspects.len() < MAX_SUSPECTS {
        suspects.push(features.to_vec());
    }
}

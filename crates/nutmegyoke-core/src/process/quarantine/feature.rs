//! What requests that crash endpoints have in common.

use crate::request::Fingerprint;

/// A property of a request that may be why endpoints crash on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Feature {
    /// It has a prompt part that other requests may have, too.
    Part(u64),
    /// It is this very request, sent again.
    Request(Fingerprint),
}

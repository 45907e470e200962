//! A routing document as it was submitted.

use std::rc::Rc;

/// A numbered document that the control replicas store without decoding it.
///
/// It is decoded and checked before it is published. The source is stored so that a
/// reader gets back exactly what was submitted, including fields that this version
/// does not know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// The version number; the highest published one is in force.
    pub number: u64,
    /// The submitted bytes.
    pub source: Rc<[u8]>,
}

impl Document {
    /// The largest document that gateways accept, in bytes.
    pub const MAX_BYTES: usize = 16 * 1024 * 1024;
}

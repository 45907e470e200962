//! A routing document as its author submitted it.

use std::rc::Rc;

/// A numbered document that the control replicas keep without reading it.
///
/// It is decoded and checked before it is published. Keeping the source lets a
/// reader get back what was submitted, fields unknown to this version included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// The version number; the highest one published is in force.
    pub number: u64,
    /// The bytes as submitted.
    pub source: Rc<[u8]>,
}

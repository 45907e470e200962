//! State that lives as long as one link between two processes.

pub mod sequence;

pub use sequence::Sequence;

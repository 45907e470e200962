//! Encodings of requests and their answers.

pub mod claim;
pub mod completion;
pub mod events;
pub mod failure;
pub mod id;
pub mod meter;
pub mod models;
pub mod payload;
pub mod submission;
pub mod verdict;

pub use completion::Completion;
pub use failure::Failure;
pub use meter::Meter;
pub use payload::Payload;

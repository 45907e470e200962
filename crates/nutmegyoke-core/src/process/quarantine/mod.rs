//! Crashes of endpoints, and the prompt parts that cause them.

pub mod crash;

pub use crash::{Crash, Origin};

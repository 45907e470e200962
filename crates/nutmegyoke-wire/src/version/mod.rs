//! Encodings that live as long as a version of the configuration.

pub mod acceptance;
pub mod diff;
pub mod document;
pub mod ini;
pub mod json;
pub mod lists;

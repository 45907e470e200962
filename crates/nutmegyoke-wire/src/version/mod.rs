//! Encodings of versioned data: configurations and routing documents.

pub mod acceptance;
pub mod diff;
pub mod document;
pub mod ini;
pub mod json;
pub mod lists;

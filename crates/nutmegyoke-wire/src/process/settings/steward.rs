//! The settings of a steward.
//!
//! ```ini
//! [steward]
//! engine = 10.1.0.41:8145
//! ```

use std::net::SocketAddr;

use super::ADDRESS_FORMAT;
use crate::process::ini::{Fault, Section};

/// The settings of a steward.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Steward {
    /// Where the engine beside it is reached.
    pub engine: SocketAddr,
}

impl Steward {
    /// Reads the section.
    ///
    /// # Errors
    ///
    /// The first fault, with file, section, key and what to do.
    pub fn read(section: Section<'_>) -> Result<Self, Fault> {
        let steward = Self {
            engine: section.required("engine", ADDRESS_FORMAT)?,
        };
        section.finish()?;
        Ok(steward)
    }
}

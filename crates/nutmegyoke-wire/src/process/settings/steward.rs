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
    /// The address of the engine on the same VM.
    pub engine: SocketAddr,
}

impl Steward {
    /// Reads the section `[steward]`.
    ///
    /// # Errors
    ///
    /// The first fault in the section.
    pub fn read(section: Section<'_>) -> Result<Self, Fault> {
        let steward = Self {
            engine: section.required("engine", ADDRESS_FORMAT)?,
        };
        section.finish()?;
        Ok(steward)
    }
}

//! The settings of a steward.
//!
//! ```ini
//! [steward]
//! engine = 10.1.0.41:8145
//! fences-checked = true
//! ```

use std::net::SocketAddr;

use super::{ADDRESS_FORMAT, BOOLEAN_FORMAT};
use crate::process::ini::{Fault, Section};

/// The settings of a steward.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Steward {
    /// The address of the engine on the same VM.
    pub engine: SocketAddr,
    /// Whether the engine refuses orders with a lower fencing number than one it has seen.
    pub fences_checked: bool,
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
            fences_checked: read_fences_checked(&section)?,
        };
        section.finish()?;
        Ok(steward)
    }
}

/// Reads whether fences are checked, which is the default, also if the value is empty.
fn read_fences_checked(section: &Section<'_>) -> Result<bool, Fault> {
    const KEY: &str = "fences-checked";
    let value: Option<String> = section.optional(KEY, BOOLEAN_FORMAT)?;
    match value.as_deref() {
        None | Some("" | "true") => Ok(true),
        Some("false") => Ok(false),
        Some(other) => {
            let problem = format!("`{other}` is not valid: write {BOOLEAN_FORMAT}");
            Err(section.fault(KEY, problem))
        }
    }
}

//! What the control process teaches in answer to a heartbeat.

use std::rc::Rc;

use super::directory::{Cursor, Delta};
use crate::version::Configuration;
use crate::version::diff::Diff;

/// What a process knows already, sent with its heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Known {
    /// The number of the configuration in force in the process.
    pub configuration: u64,
    /// How far its copy of the directory reaches.
    pub directory: Cursor,
}

/// What the process did not know yet.
#[derive(Clone, Debug, Default)]
pub struct Update {
    /// A newer configuration, whole.
    pub configuration: Option<Rc<Configuration>>,
    /// What leads to the newer configuration from the one that the process has,
    /// where that is shorter; the wire turns it into [`News::configuration`].
    pub changes: Vec<Rc<Diff>>,
    /// Changes of the directory.
    pub directory: Delta,
}

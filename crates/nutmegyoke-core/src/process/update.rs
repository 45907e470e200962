//! The control process's answer to a heartbeat.

use std::rc::Rc;

use super::directory::{Cursor, Delta};
use crate::version::Configuration;
use crate::version::diff::Diff;

/// The state that a process has already, sent with its heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Known {
    /// The number of the configuration that the process uses.
    pub configuration: u64,
    /// The last change that its copy of the directory includes.
    pub directory: Cursor,
}

/// The changes since the state in [`Known`].
#[derive(Clone, Debug, Default)]
pub struct Update {
    /// A newer configuration, complete.
    pub configuration: Option<Rc<Configuration>>,
    /// The diffs from the process's configuration to the newer one, if they are smaller
    /// than the complete one. The receiving end of the link converts them to
    /// [`Update::configuration`].
    pub changes: Vec<Rc<Diff>>,
    /// The changes of the directory.
    pub directory: Delta,
}

//! What the control process teaches in answer to a heartbeat.

use std::rc::Rc;

use super::directory::{Delta, Mark};
use crate::version::Configuration;

/// What a process knows already, sent with its heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Known {
    /// The number of the configuration in force in the process.
    pub configuration: u64,
    /// How far its copy of the directory reaches.
    pub directory: Mark,
}

/// What the process did not know yet.
#[derive(Clone, Debug, Default)]
pub struct News {
    /// A newer configuration.
    pub configuration: Option<Rc<Configuration>>,
    /// Changes of the directory.
    pub directory: Delta,
}

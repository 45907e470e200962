//! The bounds of an account, derived from the machine.

use super::CONNECTION_BYTES;

/// What a process needs apart from connections: its replica, registry and pools.
const OWN_BYTES: usize = 60 * 1024 * 1024;

/// The memory that is assumed if the settings state none.
const DEFAULT_MEMORY: usize = 4 * 1024 * 1024 * 1024;

/// The file descriptors that are assumed if the settings state none. If the system allows fewer,
/// accepting fails and closes the longest idle connection, too.
const DEFAULT_DESCRIPTORS: usize = 65_536;

/// The descriptors of the process's own files, links and probes.
const RESERVED_DESCRIPTORS: usize = 200;

/// The bounds of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// The bytes that all connections may hold.
    pub bytes: usize,
    /// The number of connections on all listeners.
    pub connections: usize,
}

impl Capacity {
    /// The bounds for a machine with so many bytes of memory and file descriptors.
    #[must_use]
    pub fn of_machine(memory: Option<usize>, descriptors: Option<usize>) -> Self {
        let memory = memory.unwrap_or(DEFAULT_MEMORY);
        // What is held takes 7% more resident memory (measured), and a body twice its size while
        // its parts are joined.
        let bytes = memory.saturating_sub(OWN_BYTES).max(memory / 4) / 4 * 3;
        let descriptors = descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let reserved = RESERVED_DESCRIPTORS.min(descriptors / 4);
        Self {
            bytes,
            // Each request needs a connection to an endpoint, too.
            connections: ((descriptors - reserved) / 2).min(bytes / 2 / CONNECTION_BYTES),
        }
    }
}

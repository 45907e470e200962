//! The connections to other replicas.

use std::rc::Rc;

use nutmegyoke_core::process::control::replica::transfer::TRANSFER_BYTES;
use nutmegyoke_wire::connection::replica_capnp::replica;

use crate::connection::Pool;

/// Two connections to each replica that is called, so that a small message, such as a heartbeat,
/// doesn't wait behind a large one.
#[derive(Default)]
pub struct Peers {
    small: Rc<Pool<replica::Client>>,
    large: Rc<Pool<replica::Client>>,
}

impl Peers {
    /// Whether a message of `bytes` is a large one.
    pub fn is_large(bytes: usize) -> bool {
        bytes >= TRANSFER_BYTES
    }

    /// The connections for small messages.
    pub fn small(&self) -> &Rc<Pool<replica::Client>> {
        &self.small
    }

    /// The connections for large messages, and for calls with a large answer.
    pub fn large(&self) -> &Rc<Pool<replica::Client>> {
        &self.large
    }

    /// The connections for messages of about `bytes`.
    pub fn for_size(&self, bytes: usize) -> &Rc<Pool<replica::Client>> {
        if Self::is_large(bytes) {
            &self.large
        } else {
            &self.small
        }
    }
}

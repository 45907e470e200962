//! Keeps one capnp-rpc connection to each process that is called.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use capnp::capability::FromClientHook;

use super::link::{self, Link};

/// Clients by address. A lost connection is opened again by the next [`Pool::get`].
pub struct Pool<T> {
    clients: RefCell<HashMap<SocketAddr, T>>,
}

impl<T> Default for Pool<T> {
    fn default() -> Self {
        Self {
            clients: RefCell::default(),
        }
    }
}

impl<T: FromClientHook + Clone + 'static> Pool<T> {
    /// Returns the client for `address`, and connects if there is no connection.
    ///
    /// # Errors
    ///
    /// Connecting failed. No data was sent.
    pub async fn get(self: &Rc<Self>, address: SocketAddr) -> io::Result<T> {
        if let Some(client) = self.clients.borrow().get(&address) {
            return Ok(client.clone());
        }
        let Link { client, lost } = link::dial::<T>(address).await?;
        // Replaces the connection of a concurrent call to `get`, if there was one. The
        // replaced connection closes after its last call.
        self.clients.borrow_mut().insert(address, client.clone());
        let pool = Rc::clone(self);
        compio::runtime::spawn(async move {
            let _ = lost.await;
            pool.clients.borrow_mut().remove(&address);
        })
        .detach();
        Ok(client)
    }
}

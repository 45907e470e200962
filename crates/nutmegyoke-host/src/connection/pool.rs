//! Keeps one link to each process that is called.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use capnp::capability::FromClientHook;

use super::link::{self, Link};

/// Links by address; a lost link is dialled again at the next call.
pub struct Pool<T> {
    links: RefCell<HashMap<SocketAddr, T>>,
}

impl<T> Default for Pool<T> {
    fn default() -> Self {
        Self {
            links: RefCell::default(),
        }
    }
}

impl<T: FromClientHook + Clone + 'static> Pool<T> {
    /// Returns the link to `address`, dialled if there is none.
    ///
    /// # Errors
    ///
    /// The process can't be reached; nothing was sent to it.
    pub async fn get(self: &Rc<Self>, address: SocketAddr) -> io::Result<T> {
        if let Some(client) = self.links.borrow().get(&address) {
            return Ok(client.clone());
        }
        let Link { client, lost } = link::dial::<T>(address).await?;
        // A call that dialled meanwhile has set its own link: that one is replaced and
        // ends with its last call.
        self.links.borrow_mut().insert(address, client.clone());
        let pool = Rc::clone(self);
        compio::runtime::spawn(async move {
            let _ = lost.await;
            pool.links.borrow_mut().remove(&address);
        })
        .detach();
        Ok(client)
    }
}

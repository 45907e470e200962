//! Keeps one capnp-rpc connection to each process that is called.
//!
//! A connection may go silent without a reset, and one that a partition held up carries nothing
//! until the next retransmission, long after the partition. So a connection on which a call is
//! not answered in time is replaced, and closed when its last call has ended.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp::capability::FromClientHook;
use derive_more::{Display, Error, From};
use nutmegyoke_wire::connection::convert::milliseconds;

use super::link::{self, Link};
use crate::process::Event;

/// Clients by address. A connection that was lost or replaced is opened again by the next call.
pub struct Pool<T> {
    connections: RefCell<HashMap<SocketAddr, Rc<Connection<T>>>>,
}

/// An open connection.
struct Connection<T> {
    link: Link<T>,
    /// Whether a call on it went unanswered.
    stalled: Cell<bool>,
}

/// Why a call failed.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// Connecting failed, so nothing was sent.
    #[display("{_0}")]
    Connect(io::Error),
    /// The call failed, or the connection was lost.
    #[display("{_0}")]
    Call(capnp::Error),
    /// There was no answer in time.
    #[from(skip)]
    #[display("no answer in {} ms", milliseconds(*timeout))]
    Unanswered { timeout: Duration },
}

impl<T> Default for Pool<T> {
    fn default() -> Self {
        Self {
            connections: RefCell::default(),
        }
    }
}

impl<T: FromClientHook + Clone + 'static> Pool<T> {
    /// Returns the client for `address`, and connects if there is no connection. It can be used
    /// until the connection is lost, or replaced by [`Pool::call`].
    ///
    /// # Errors
    ///
    /// Connecting failed. No data was sent.
    pub async fn get(self: &Rc<Self>, address: SocketAddr) -> io::Result<T> {
        let connection = self.connection(address).await?;
        Ok(connection.link.client.clone())
    }

    /// Makes a call on the connection to `address`, and connects if there is none. If there is
    /// no answer in time, later calls use a new connection; calls in flight go on.
    ///
    /// # Errors
    ///
    /// Connecting or the call failed, or there was no answer within `timeout`.
    pub async fn call<R, F>(
        self: &Rc<Self>,
        address: SocketAddr,
        timeout: Duration,
        call: impl FnOnce(T) -> F,
    ) -> Result<R, Failure>
    where
        F: Future<Output = capnp::Result<R>>,
    {
        let used = RefCell::default();
        let answered = self.call_within(address, timeout, &used, call).await;
        if let (Err(Failure::Unanswered { .. }), Some(connection)) = (&answered, used.take())
            && !connection.stalled.replace(true)
        {
            self.remove(address, &connection);
            Event::CallUnanswered {
                address,
                timeout_ms: milliseconds(timeout),
            }
            .log();
        }
        answered
    }

    /// Makes a call like [`Pool::call`], but keeps the connection if there is no answer in time:
    /// `timeout` is too short to tell whether the connection is silent.
    ///
    /// # Errors
    ///
    /// Connecting or the call failed, or there was no answer within `timeout`.
    pub async fn ask<R, F>(
        self: &Rc<Self>,
        address: SocketAddr,
        timeout: Duration,
        call: impl FnOnce(T) -> F,
    ) -> Result<R, Failure>
    where
        F: Future<Output = capnp::Result<R>>,
    {
        let used = RefCell::default();
        self.call_within(address, timeout, &used, call).await
    }

    /// Makes a call and puts the connection into `used` when there is one.
    async fn call_within<R, F>(
        self: &Rc<Self>,
        address: SocketAddr,
        timeout: Duration,
        used: &RefCell<Option<Rc<Connection<T>>>>,
        call: impl FnOnce(T) -> F,
    ) -> Result<R, Failure>
    where
        F: Future<Output = capnp::Result<R>>,
    {
        let answered = compio::time::timeout(timeout, async {
            let connection = self.connection(address).await?;
            let client = connection.link.client.clone();
            used.replace(Some(connection));
            Ok(call(client).await?)
        });
        let connected = || used.borrow().is_some();
        match answered.await {
            Ok(answer) => answer,
            Err(_) if connected() => Err(Failure::Unanswered { timeout }),
            Err(_) => Err(Failure::Connect(io::ErrorKind::TimedOut.into())),
        }
    }

    async fn connection(self: &Rc<Self>, address: SocketAddr) -> io::Result<Rc<Connection<T>>> {
        if let Some(connection) = self.connections.borrow().get(&address) {
            return Ok(Rc::clone(connection));
        }
        let link = link::dial::<T>(address).await?;
        let lost = link.lost.clone();
        let mut connections = self.connections.borrow_mut();
        if let Some(connection) = connections.get(&address) {
            // A concurrent call was faster.
            return Ok(Rc::clone(connection));
        }
        let connection = Rc::new(Connection {
            link,
            stalled: Cell::new(false),
        });
        connections.insert(address, Rc::clone(&connection));
        let (pool, opened) = (Rc::clone(self), Rc::downgrade(&connection));
        compio::runtime::spawn(async move {
            let _ = lost.await;
            if let Some(connection) = opened.upgrade() {
                pool.remove(address, &connection);
            }
        })
        .detach();
        Ok(connection)
    }

    /// Removes `connection`, unless another one has replaced it.
    fn remove(&self, address: SocketAddr, connection: &Rc<Connection<T>>) {
        let mut connections = self.connections.borrow_mut();
        let current = connections.get(&address);
        if current.is_some_and(|current| Rc::ptr_eq(current, connection)) {
            connections.remove(&address);
        }
    }
}

//! Accepts TCP connections until the listener is closed.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use futures_util::pin_mut;

use super::Tally;
use crate::process::Failure;

/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A listening socket whose connections are served on the current loop.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    close: RefCell<Option<oneshot::Sender<()>>>,
    connections: Tally,
}

/// Serves one accepted connection.
pub trait Serve {
    /// Serves `stream` until either side closes it.
    fn serve(self: Rc<Self>, stream: TcpStream, peer: SocketAddr) -> impl Future<Output = ()>;
}

impl Listener {
    /// Binds `address` and spawns a task for each connection.
    ///
    /// `key` is the setting that holds the address, for the error message.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn bind<S: Serve + 'static>(
        address: SocketAddr,
        key: &'static str,
        service: Rc<S>,
    ) -> Result<Self, Failure> {
        let failure = |source| Failure::Bind {
            address,
            key,
            source,
        };
        let listener = TcpListener::bind(address).await.map_err(failure)?;
        let address = listener.local_addr().map_err(failure)?;
        let (close, closed) = oneshot::channel();
        let connections = Tally::default();
        compio::runtime::spawn(accept(listener, service, closed, connections.clone())).detach();
        Ok(Self {
            address,
            close: RefCell::new(Some(close)),
            connections,
        })
    }

    /// The bound address. If port 0 was requested, its port is the one that the system
    /// chose.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.count()
    }

    /// Stops accepting connections. Connections that are open stay open.
    pub fn close(&self) {
        self.close.borrow_mut().take();
    }
}

async fn accept<S: Serve + 'static>(
    listener: TcpListener,
    service: Rc<S>,
    mut closed: oneshot::Receiver<()>,
    connections: Tally,
) {
    loop {
        let next = listener.accept();
        pin_mut!(next);
        match select(next, &mut closed).await {
            Either::Left((Ok((stream, peer)), _)) => {
                // Without Nagle's algorithm small messages don't wait for an acknowledgement.
                let _ = stream.set_nodelay(true);
                let service = Rc::clone(&service);
                let guard = connections.open();
                compio::runtime::spawn(async move {
                    service.serve(stream, peer).await;
                    drop(guard);
                })
                .detach();
            }
            // The peer closed the connection before it was accepted, or the process is out of
            // file descriptors. In that case the next accept fails at once, and the delay keeps
            // the loop from spinning.
            Either::Left((Err(_), _)) => compio::time::sleep(ACCEPT_RETRY_DELAY).await,
            Either::Right(_) => return,
        }
    }
}

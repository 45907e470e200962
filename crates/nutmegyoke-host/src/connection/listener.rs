//! Accepts TCP connections until the listener is closed.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::{TcpListener, TcpStream};
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use futures_util::pin_mut;
use nutmegyoke_core::process::account::Side;
use rustix::net::sockopt;

use super::account::Reservation;
use super::{Account, Tally};
use crate::process::Failure;

/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The delay after an accept for which another connection is closed. Its descriptor is free only
/// when the loop has waited for I/O; without the delay, 60 accepts and more come before that.
const PRESSURE_DELAY: Duration = Duration::from_millis(1);

/// A listening socket whose connections are served on the current loop.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    close: RefCell<Option<oneshot::Sender<()>>>,
    connections: Tally,
}

/// The system's send buffer of a connection to a client, in bytes; the system doubles it. Left to
/// itself it grows to megabytes for a client that reads slowly, and a write that waits for a third
/// of it to become free looks like one that makes no progress.
const SEND_BUFFER_BYTES: usize = 128 * 1024;

/// An accepted connection.
#[derive(Debug)]
pub struct Accepted {
    pub stream: TcpStream,
    pub peer: SocketAddr,
    /// What it holds in the account.
    pub reservation: Rc<Reservation>,
}

/// Serves one accepted connection.
pub trait Serve {
    /// Serves the connection until either side closes it.
    fn serve(self: Rc<Self>, accepted: Accepted) -> impl Future<Output = ()>;
}

/// Where connections come from and what they are counted in.
#[derive(Debug)]
struct Origin {
    account: Account,
    /// The listener's number in the account.
    number: usize,
    side: Side,
}

impl Listener {
    /// Binds `address` for trusted processes, with an account of its own.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn bind<S: Serve + 'static>(
        address: SocketAddr,
        key: &'static str,
        service: Rc<S>,
    ) -> Result<Self, Failure> {
        let account = Account::open_default(Instant::now());
        Self::bind_in(&account, Side::Callers, address, key, service).await
    }

    /// Binds `address` and spawns a task for each connection that has room in `account`.
    ///
    /// `key` is the setting that holds the address, for the error message.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn bind_in<S: Serve + 'static>(
        account: &Account,
        side: Side,
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
        let origin = Origin {
            account: account.clone(),
            number: account.listen(),
            side,
        };
        let accepting = accept(listener, origin, service, closed, connections.clone());
        compio::runtime::spawn(accepting).detach();
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
    origin: Origin,
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
                if origin.side == Side::Callers {
                    let _ = sockopt::set_socket_send_buffer_size(&stream, SEND_BUFFER_BYTES);
                }
                let Some((reservation, displaces)) =
                    origin.account.admit(origin.number, origin.side)
                else {
                    drop(stream);
                    compio::time::sleep(PRESSURE_DELAY).await;
                    continue;
                };
                let service = Rc::clone(&service);
                let guard = connections.open();
                compio::runtime::spawn(async move {
                    service
                        .serve(Accepted {
                            stream,
                            peer,
                            reservation,
                        })
                        .await;
                    drop(guard);
                })
                .detach();
                if displaces {
                    compio::time::sleep(PRESSURE_DELAY).await;
                }
            }
            // The peer closed the connection before it was accepted, or the process is out of
            // file descriptors. In that case the next accept fails at once, and the delay keeps
            // the loop from spinning.
            Either::Left((Err(_), _)) => {
                origin.account.evict_idle(origin.side);
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
            Either::Right(_) => return,
        }
    }
}

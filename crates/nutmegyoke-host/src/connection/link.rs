//! A capnp-rpc link between two of the project's processes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use capnp::capability::{Client, FromClientHook};
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use futures_channel::oneshot;
use futures_util::AsyncReadExt;

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A dialled link that offers the interface `T` of the other process.
#[derive(Debug)]
pub struct Link<T> {
    /// The other process's interface.
    pub client: T,
    /// Resolves when the link is lost.
    pub lost: oneshot::Receiver<()>,
}

/// Connects to `address`, with small messages sent at once.
///
/// # Errors
///
/// The connection is refused or not made within `timeout`; nothing was sent then.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let connected = compio::time::timeout(timeout, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Dials the process at `address`.
///
/// # Errors
///
/// The connection is refused or not made in time; nothing was sent then.
pub async fn dial<T: FromClientHook>(address: SocketAddr) -> io::Result<Link<T>> {
    let stream = connect(address, CONNECT_TIMEOUT).await?;
    let mut system = RpcSystem::new(Box::new(network(stream, Side::Client)), None);
    let client = system.bootstrap(Side::Server);
    let (closed, lost) = oneshot::channel();
    compio::runtime::spawn(async move {
        // Every call in flight has failed with the same error.
        let _ = system.await;
        drop(closed);
    })
    .detach();
    Ok(Link { client, lost })
}

/// Offers `bootstrap` on an accepted connection until it closes.
///
/// # Errors
///
/// The connection broke or the peer violated the protocol.
pub async fn serve(stream: TcpStream, bootstrap: Client) -> capnp::Result<()> {
    RpcSystem::new(Box::new(network(stream, Side::Server)), Some(bootstrap)).await
}

type Reader = futures_util::io::ReadHalf<AsyncStream<TcpStream>>;

fn network(stream: TcpStream, side: Side) -> twoparty::VatNetwork<Reader> {
    let (reader, writer) = AsyncStream::new(stream).split();
    twoparty::VatNetwork::new(
        reader,
        writer,
        side,
        capnp::message::ReaderOptions::default(),
    )
}

//! A capnp-rpc connection between two nutmegyoke processes.

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

/// How long connecting to another process may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An outgoing connection to a process that serves the interface `T`.
#[derive(Debug)]
pub struct Link<T> {
    /// The client of the other process's interface.
    pub client: T,
    /// Resolves when the connection has ended.
    pub lost: oneshot::Receiver<()>,
}

/// Connects to `address` and sets `TCP_NODELAY`, so that small messages are sent at once.
///
/// # Errors
///
/// Connecting failed or took longer than `timeout`. No data was sent.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let connected = compio::time::timeout(timeout, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| io::ErrorKind::TimedOut)??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Connects to the process at `address` and returns a client of its interface.
///
/// # Errors
///
/// Connecting failed or took longer than `CONNECT_TIMEOUT`. No data was sent.
pub async fn dial<T: FromClientHook>(address: SocketAddr) -> io::Result<Link<T>> {
    let stream = connect(address, CONNECT_TIMEOUT).await?;
    let mut system = RpcSystem::new(Box::new(network(stream, Side::Client)), None);
    let client = system.bootstrap(Side::Server);
    let (closed, lost) = oneshot::channel();
    compio::runtime::spawn(async move {
        // Not logged: every call in flight fails with the same error.
        let _ = system.await;
        drop(closed);
    })
    .detach();
    Ok(Link { client, lost })
}

/// Serves the interface `bootstrap` on an accepted connection until it closes.
///
/// # Errors
///
/// The connection failed or the peer violated the protocol.
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

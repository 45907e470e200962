//! A capnp-rpc connection between two nutmegyoke processes.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use capnp::capability::{Client, FromClientHook};
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use compio::runtime::JoinHandle;
use futures_channel::oneshot;
use futures_util::future::{Either, Shared, select};
use futures_util::io::WriteHalf;
use futures_util::{AsyncRead, AsyncReadExt, FutureExt, pin_mut};
use nutmegyoke_core::process::account::{Phase, Timeouts};
use nutmegyoke_wire::connection::framing::Framing;
use rustix::net::sockopt;

use super::account::Reservation;
use super::listener::Accepted;

/// How long connecting to another process may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The rate that transfers between processes may take as given, in bytes a second: 8 Mbit/s, less
/// than half of the slowest link of the deployments, which requests share.
const MIN_RATE: f64 = 1_000_000.0;

/// How long data may stay unacknowledged before a connection between processes is closed: several
/// retransmissions within and between regions.
const USER_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a connection between processes may be idle before it is probed, and the interval of
/// the probes, whole seconds both. Without probes the end that only waits never notices that
/// the other one is gone.
const KEEP_ALIVE_IDLE: Duration = Duration::from_secs(2);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered probes after which a connection is closed.
const KEEP_ALIVE_PROBES: u32 = 2;

/// An outgoing connection to a process that serves the interface `T`. It is closed when dropped;
/// calls that are in flight then get no answer.
#[derive(Debug)]
pub struct Link<T> {
    /// The client of the other process's interface.
    pub client: T,
    /// Resolves when the connection has ended.
    pub lost: Shared<oneshot::Receiver<()>>,
    /// The task that carries messages. Without it the connection would stay open until the other
    /// process closes it.
    _carrier: JoinHandle<()>,
}

/// How long it may take to transfer `bytes` to another process.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "an estimate")]
pub fn transfer_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_RATE)
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
    bound_silence(&stream)?;
    let (reader, writer) = AsyncStream::new(stream).split();
    let mut system = RpcSystem::new(Box::new(network(reader, writer, Side::Client)), None);
    let client = system.bootstrap(Side::Server);
    let (closed, lost) = oneshot::channel();
    let carrier = compio::runtime::spawn(async move {
        // Not logged: every call in flight fails with the same error.
        let _ = system.await;
        drop(closed);
    });
    Ok(Link {
        client,
        lost: lost.shared(),
        _carrier: carrier,
    })
}

/// The limits of a connection between processes. It may be idle for as long as its other end
/// answers; a message that has begun is sent at once.
const TIMEOUTS: Timeouts = Timeouts {
    head: Duration::from_secs(10),
    idle: Duration::MAX,
    body: Duration::from_secs(30),
};

/// Serves the interface `bootstrap` on an accepted connection until it closes, or the account
/// closes it. No message may be longer than `max_message_bytes`.
///
/// # Errors
///
/// The connection failed or the peer violated the protocol.
pub async fn serve(
    accepted: Accepted,
    bootstrap: Client,
    max_message_bytes: usize,
) -> capnp::Result<()> {
    let Accepted {
        stream,
        reservation,
        ..
    } = accepted;
    bound_silence(&stream)?;
    reservation.set_timeouts(TIMEOUTS);
    let (reader, writer) = AsyncStream::new(stream).split();
    let reader = Metered {
        reader,
        framing: Framing::open(max_message_bytes),
        reservation: Rc::clone(&reservation),
        message_bytes: 0,
    };
    let system = RpcSystem::new(
        Box::new(network(reader, writer, Side::Server)),
        Some(bootstrap),
    );
    let closed = reservation.closed();
    pin_mut!(closed);
    match select(system, closed).await {
        Either::Left((served, _)) => served,
        // The account's own log lines count these.
        Either::Right(_) => Ok(()),
    }
}

/// Reads messages, each of which is held in the account from its head to its end.
struct Metered<R> {
    reader: R,
    framing: Framing,
    reservation: Rc<Reservation>,
    /// The size of the message that is being read.
    message_bytes: usize,
}

impl<R: AsyncRead + Unpin> AsyncRead for Metered<R> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let bytes = ready!(Pin::new(&mut this.reader).poll_read(context, buffer))?;
        this.reservation.receive(bytes);
        let too_long = |_| io::Error::new(io::ErrorKind::InvalidData, "a message is too long");
        let progress = this.framing.feed(&buffer[..bytes]).map_err(too_long)?;
        if progress.left > 0 && this.message_bytes != progress.message {
            this.reservation
                .release(std::mem::replace(&mut this.message_bytes, 0));
            let full = |_| io::Error::new(io::ErrorKind::OutOfMemory, "no memory for a message");
            this.reservation.hold(progress.message).map_err(full)?;
            this.message_bytes = progress.message;
            this.reservation.enter(Phase::Body);
        } else if progress.left == 0 && this.message_bytes > 0 {
            this.reservation
                .release(std::mem::replace(&mut this.message_bytes, 0));
            this.reservation.enter(Phase::Idle);
        } else if progress.is_between_messages() {
            this.reservation.enter(Phase::Idle);
        }
        Poll::Ready(Ok(bytes))
    }
}

/// Has the system close a connection whose other end no longer acknowledges anything.
fn bound_silence(stream: &TcpStream) -> io::Result<()> {
    let user_timeout_ms = u32::try_from(USER_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, user_timeout_ms)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEP_ALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(stream, KEEP_ALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEP_ALIVE_PROBES)?;
    Ok(())
}

fn network<R: AsyncRead + Unpin>(
    reader: R,
    writer: WriteHalf<AsyncStream<TcpStream>>,
    side: Side,
) -> twoparty::VatNetwork<R> {
    twoparty::VatNetwork::new(
        reader,
        writer,
        side,
        capnp::message::ReaderOptions::default(),
    )
}

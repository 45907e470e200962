//! The streams of HTTP connections, whose buffers are bounded.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use compio::io::compat::AsyncStream;
use compio::net::TcpStream;
use futures_util::{AsyncRead, AsyncWrite};
use hyper::rt::ReadBufCursor;
use rustix::net::sockopt;

use super::account::Reservation;

/// The size of the buffers between the socket and the protocol, in bytes.
const BUFFER_BYTES: usize = 8 * 1024;

/// The most bytes that wait for the socket of a client.
const MAX_CLIENT_BYTES: usize = 32 * 1024;

/// A stream that copies a bounded number of bytes for the socket. Without a bound all that hyper
/// has to write is copied at once, so that a body of 4 MB to a slow endpoint takes 8 MB.
pub struct Bounded(Pin<Box<AsyncStream<TcpStream>>>);

/// The stream of a connection to an endpoint. It ends only once what was written has reached the
/// socket, and with an error if that fails.
///
/// A socket reports a reset once. If the write of the request gets it, the next read reports the
/// end of the connection, by which an answer without a length would look complete.
pub struct Dialled {
    inner: Bounded,
    /// Whether the endpoint has closed its side.
    ended: bool,
    write_failed: bool,
    socket: TcpStream,
    /// Whether the connection is reset when it closes, because nobody waits for the answer.
    abandoned: Rc<Cell<bool>>,
}

/// The stream of an accepted connection, which counts in the account what passes through it.
pub struct Stream {
    inner: Bounded,
    reservation: Rc<Reservation>,
}

impl Bounded {
    /// Wraps a connected stream. `max_bytes` at most wait for the socket.
    #[must_use]
    pub fn open(stream: TcpStream, max_bytes: usize) -> Self {
        let stream = AsyncStream::with_limits(BUFFER_BYTES, max_bytes, stream);
        Self(Box::pin(stream))
    }

    /// Reads into hyper's buffer and returns the number of bytes.
    fn poll_receive(
        &mut self,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<usize>> {
        // Hyper's buffer may be uninitialised. One on the stack costs nothing while the connection
        // waits.
        let mut received = [0; BUFFER_BYTES];
        let space = buffer.remaining().min(received.len());
        let received = &mut received[..space];
        let bytes = ready!(self.0.as_mut().poll_read(context, received))?;
        buffer.put_slice(&received[..bytes]);
        Poll::Ready(Ok(bytes))
    }
}

impl Dialled {
    /// Wraps a connected stream. `max_bytes` at most wait for the socket. If the answer is
    /// `abandoned` when it is dropped, the connection is reset.
    #[must_use]
    pub fn open(stream: TcpStream, max_bytes: usize, abandoned: Rc<Cell<bool>>) -> Self {
        Self {
            socket: stream.clone(),
            inner: Bounded::open(stream, max_bytes),
            ended: false,
            write_failed: false,
            abandoned,
        }
    }

    /// Resolves once all that was written has reached the socket.
    fn poll_written(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.write_failed {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        hyper::rt::Write::poll_flush(Pin::new(self), context)
    }
}

impl Drop for Dialled {
    fn drop(&mut self) {
        if self.abandoned.get() {
            // Closed in order, an endpoint notices only when it has read all that was sent.
            let _ = sockopt::set_socket_linger(&self.socket, Some(Duration::ZERO));
        }
    }
}

impl hyper::rt::Read for Dialled {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.ended {
            let space = buffer.remaining();
            let bytes = ready!(self.inner.poll_receive(context, buffer))?;
            self.ended = bytes == 0 && space > 0;
        }
        if self.ended {
            ready!(self.poll_written(context))?;
        }
        Poll::Ready(Ok(()))
    }
}

impl hyper::rt::Write for Dialled {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.write_failed |= matches!(written, Poll::Ready(Err(_)));
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.inner).poll_flush(context);
        self.write_failed |= matches!(flushed, Poll::Ready(Err(_)));
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.abandoned.get() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

impl Stream {
    /// Wraps the stream of an accepted connection.
    #[must_use]
    pub fn open(stream: TcpStream, reservation: Rc<Reservation>) -> Self {
        Self {
            inner: Bounded::open(stream, MAX_CLIENT_BYTES),
            reservation,
        }
    }
}

impl hyper::rt::Read for Bounded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_receive(context, buffer).map_ok(drop)
    }
}

impl hyper::rt::Write for Bounded {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0.as_mut().poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.as_mut().poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.as_mut().poll_close(context)
    }
}

impl hyper::rt::Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let bytes = ready!(self.inner.poll_receive(context, buffer))?;
        if bytes > 0 {
            self.reservation.receive(bytes);
        }
        Poll::Ready(Ok(()))
    }
}

impl hyper::rt::Write for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        match &written {
            Poll::Pending => self.reservation.block(true),
            Poll::Ready(Ok(bytes)) => self.reservation.written(*bytes),
            Poll::Ready(Err(_)) => {}
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.inner).poll_flush(context);
        self.reservation.block(flushed.is_pending());
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

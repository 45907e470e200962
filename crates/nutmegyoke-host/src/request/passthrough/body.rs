//! The body of a response to a client, which may be forwarded while it is read.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Frame, Incoming, SizeHint};
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::gateway::{Command, Halt};
use nutmegyoke_core::request::{Reason, Verdict};

use super::handle::Handle;
use crate::connection::upstream::Upstream;
use crate::process::Codec;
use crate::request::Body;
use crate::request::body::Truncated;

/// The body of a response to a client, buffered or read from an endpoint.
pub enum Outgoing<C: Clock + 'static, D: Codec> {
    /// The complete body.
    Buffered { body: Body },
    /// A body that is read from the endpoint as fast as the client accepts it.
    Streamed { stream: Box<Stream<C, D>> },
}

/// A streamed answer in progress. Dropping it before its end closes the connection to the
/// endpoint.
pub struct Stream<C: Clock + 'static, D: Codec> {
    body: Incoming,
    handle: Handle<C, D>,
    upstream: Option<Upstream>,
    keep_alive: Option<Duration>,
}

impl<C: Clock + 'static, D: Codec> Outgoing<C, D> {
    /// Forwards `body` until it ends or the state machine cancels the request.
    #[must_use]
    pub fn streamed(
        handle: Handle<C, D>,
        body: Incoming,
        upstream: Upstream,
        keep_alive: Option<Duration>,
    ) -> Self {
        Self::Streamed {
            stream: Box::new(Stream {
                body,
                handle,
                upstream: Some(upstream),
                keep_alive,
            }),
        }
    }
}

impl<C: Clock + 'static, D: Codec> From<Bytes> for Outgoing<C, D> {
    fn from(bytes: Bytes) -> Self {
        Self::Buffered {
            body: Body::Buffered { bytes },
        }
    }
}

impl<C: Clock + 'static, D: Codec> Stream<C, D> {
    /// Polls the endpoint's body and reports progress and the end to the state machine.
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        if let Poll::Ready(Some(Command::Cancel { .. })) = self.handle.poll(context) {
            let verdict = Verdict::may_have_run(Reason::DeadlinePassed);
            self.handle.close(verdict, Some(Halt::OutOfTime));
            return Poll::Ready(Some(Err(Truncated)));
        }
        match hyper::body::Body::poll_frame(Pin::new(&mut self.body), context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(frame))) => {
                self.handle.progress();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => {
                let reason = Reason::Truncated;
                self.handle.finish(Verdict::MayHaveRun { reason });
                Poll::Ready(Some(Err(Truncated)))
            }
            Poll::Ready(None) => {
                self.handle.finish(Verdict::Ran);
                if let Some(upstream) = self.upstream.take() {
                    self.handle.release(upstream, self.keep_alive);
                }
                Poll::Ready(None)
            }
        }
    }
}

impl<C: Clock + 'static, D: Codec> hyper::body::Body for Outgoing<C, D> {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Self::Buffered { body } => hyper::body::Body::poll_frame(Pin::new(body), context),
            Self::Streamed { stream } => stream.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered { body } => hyper::body::Body::is_end_stream(body),
            Self::Streamed { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered { body } => hyper::body::Body::size_hint(body),
            Self::Streamed { stream } => hyper::body::Body::size_hint(&stream.body),
        }
    }
}

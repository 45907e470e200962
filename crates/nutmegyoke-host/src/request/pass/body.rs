//! The body of an answer that is passed on while it is read.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Frame, Incoming, SizeHint};
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::gateway::{Command, Halt};
use nutmegyoke_core::request::{Reason, Verdict};

use super::ticket::Ticket;
use crate::connection::upstream::Upstream;
use crate::process::Codec;
use crate::request::Body;
use crate::request::body::Truncated;

/// The body of a response to a client.
pub enum Passed<C: Clock + 'static, D: Codec> {
    /// It is there in whole.
    Whole { body: Body },
    /// It is read from the endpoint as the client takes it.
    Streamed { stream: Box<Stream<C, D>> },
}

/// An answer in progress; dropping it closes the connection to the endpoint.
pub struct Stream<C: Clock + 'static, D: Codec> {
    body: Incoming,
    ticket: Ticket<C, D>,
    upstream: Option<Upstream>,
    keep_alive: Option<Duration>,
}

impl<C: Clock + 'static, D: Codec> Passed<C, D> {
    /// Passes `body` on until it ends or the machine cancels the request.
    #[must_use]
    pub fn streamed(
        ticket: Ticket<C, D>,
        body: Incoming,
        upstream: Upstream,
        keep_alive: Option<Duration>,
    ) -> Self {
        Self::Streamed {
            stream: Box::new(Stream {
                body,
                ticket,
                upstream: Some(upstream),
                keep_alive,
            }),
        }
    }
}

impl<C: Clock + 'static, D: Codec> From<Bytes> for Passed<C, D> {
    fn from(bytes: Bytes) -> Self {
        Self::Whole {
            body: Body::Whole { bytes },
        }
    }
}

impl<C: Clock + 'static, D: Codec> Stream<C, D> {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        if let Poll::Ready(Some(Command::Cancel { .. })) = self.ticket.poll(context) {
            let verdict = Verdict::may_have_run(Reason::DeadlinePassed);
            self.ticket.close(verdict, Some(Halt::OutOfTime));
            return Poll::Ready(Some(Err(Truncated)));
        }
        match hyper::body::Body::poll_frame(Pin::new(&mut self.body), context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(frame))) => {
                self.ticket.progress();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => {
                let reason = Reason::Truncated;
                self.ticket.settle(Verdict::MayHaveRun { reason });
                Poll::Ready(Some(Err(Truncated)))
            }
            Poll::Ready(None) => {
                self.ticket.settle(Verdict::Ran);
                if let Some(upstream) = self.upstream.take() {
                    self.ticket.keep(upstream, self.keep_alive);
                }
                Poll::Ready(None)
            }
        }
    }
}

impl<C: Clock + 'static, D: Codec> hyper::body::Body for Passed<C, D> {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Self::Whole { body } => hyper::body::Body::poll_frame(Pin::new(body), context),
            Self::Streamed { stream } => stream.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole { body } => hyper::body::Body::is_end_stream(body),
            Self::Streamed { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole { body } => hyper::body::Body::size_hint(body),
            Self::Streamed { stream } => hyper::body::Body::size_hint(&stream.body),
        }
    }
}

//! The body of a response to a client, which may be forwarded while it is read.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::header::CONTENT_TYPE;
use hyper::http::response::Parts;
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::gateway::{Command, Halt};
use nutmegyoke_core::request::{Reason, Verdict};
use nutmegyoke_wire::request::events::Scanner;

use super::handle::Handle;
use crate::connection::upstream::Upstream;
use crate::process::Codec;
use crate::request::Body;
use crate::request::body::Truncated;

/// The longest event that is forwarded, in bytes. Events of engines hold a few tokens, so
/// bytes without the end of an event are no answer.
const MAX_EVENT_BYTES: usize = 256 * 1024;

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
    /// The boundaries of its events; `None` if it is no stream of events.
    scanner: Option<Scanner>,
    handle: Handle<C, D>,
    upstream: Option<Upstream>,
    keep_alive: Option<Duration>,
}

impl<C: Clock + 'static, D: Codec> Outgoing<C, D> {
    /// Forwards `body` until it ends or the state machine cancels the request.
    #[must_use]
    pub fn streamed(
        handle: Handle<C, D>,
        head: &Parts,
        body: Incoming,
        upstream: Upstream,
        keep_alive: Option<Duration>,
    ) -> Self {
        Self::Streamed {
            stream: Box::new(Stream {
                body,
                scanner: is_event_stream(head).then(Scanner::default),
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
                if let (Some(scanner), Some(data)) = (&mut self.scanner, frame.data_ref()) {
                    scanner.feed(data);
                    if scanner.event_length() > MAX_EVENT_BYTES {
                        return self.truncate();
                    }
                }
                self.handle.progress();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => self.truncate(),
            // The connection ended, and with it an answer without a length. Only the event
            // that it cut off shows that there was more.
            Poll::Ready(None) if self.ends_inside_event() => self.truncate(),
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

impl<C: Clock + 'static, D: Codec> Stream<C, D> {
    fn ends_inside_event(&self) -> bool {
        let scanner = self.scanner.as_ref();
        scanner.is_some_and(|scanner| !scanner.at_boundary())
    }

    /// Ends the attempt, and the response to the client before its regular end.
    fn truncate(&mut self) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let reason = Reason::Truncated;
        self.handle.finish(Verdict::MayHaveRun { reason });
        Poll::Ready(Some(Err(Truncated)))
    }
}

/// Whether an answer is a stream of events.
fn is_event_stream(head: &Parts) -> bool {
    let content_type = head.headers.get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    content_type.is_some_and(|value| value.trim_start().starts_with("text/event-stream"))
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

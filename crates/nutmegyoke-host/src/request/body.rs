//! The body of an HTTP response, buffered or streamed.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_channel::{mpsc, oneshot};
use futures_util::Stream;
use hyper::body::{Frame, SizeHint};

/// A response body.
#[derive(Debug)]
pub enum Body {
    /// The complete body.
    Buffered { bytes: Bytes },
    /// Parts as they arrive; an error aborts the connection. Dropping `connected`
    /// resolves [`Writer::disconnected`].
    Stream {
        parts: mpsc::Receiver<Result<Bytes, Truncated>>,
        connected: oneshot::Sender<()>,
        /// An error that the next poll returns, after the earlier parts were flushed.
        failure: Option<Truncated>,
    },
}

/// The sending side of a streamed body.
#[derive(Debug)]
pub struct Writer {
    /// Accepts the parts of the body.
    pub parts: mpsc::Sender<Result<Bytes, Truncated>>,
    /// Resolves when the body is dropped, because the caller disconnected or the body
    /// ended.
    pub disconnected: oneshot::Receiver<()>,
}

/// The most parts that are queued for the caller's connection.
const MAX_QUEUED_PARTS: usize = 4;

impl Body {
    /// Opens a streamed body and its sending side.
    #[must_use]
    pub fn stream() -> (Writer, Self) {
        let (sender, parts) = mpsc::channel(MAX_QUEUED_PARTS);
        let (connected, disconnected) = oneshot::channel();
        let writer = Writer {
            parts: sender,
            disconnected,
        };
        let body = Self::Stream {
            parts,
            connected,
            failure: None,
        };
        (writer, body)
    }
}

/// The answer ended early. Aborting the connection keeps the caller from taking it for
/// complete.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the answer ended before it was complete")]
pub struct Truncated;

impl Default for Body {
    fn default() -> Self {
        Self::Buffered {
            bytes: Bytes::new(),
        }
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Self {
        Self::Buffered {
            bytes: bytes.into(),
        }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Self::Buffered { bytes } if bytes.is_empty() => Poll::Ready(None),
            Self::Buffered { bytes } => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Stream { parts, failure, .. } => {
                if let Some(failure) = failure.take() {
                    return Poll::Ready(Some(Err(failure)));
                }
                match Pin::new(parts).poll_next(context) {
                    Poll::Ready(Some(Err(error))) => {
                        // On an error hyper aborts the connection and discards its write
                        // buffer, which it flushes only when the body returns `Pending`. The
                        // error is therefore returned by the next poll.
                        *failure = Some(error);
                        context.waker().wake_by_ref();
                        Poll::Pending
                    }
                    next => next.map(|part| part.map(|part| part.map(Frame::data))),
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered { bytes } if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered { bytes } => SizeHint::with_exact(bytes.len() as u64),
            Self::Stream { .. } => SizeHint::default(),
        }
    }
}

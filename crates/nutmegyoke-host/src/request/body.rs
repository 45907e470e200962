//! The body of an HTTP response.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_channel::{mpsc, oneshot};
use futures_util::Stream;
use hyper::body::{Frame, SizeHint};

/// A response body, whole or streamed.
#[derive(Debug)]
pub enum Body {
    /// The whole body.
    Buffered { bytes: Bytes },
    /// Parts as they come; an error aborts the connection. Dropping `open`
    /// tells the writer that the caller left.
    Stream {
        parts: mpsc::Receiver<Result<Bytes, Truncated>>,
        connected: oneshot::Sender<()>,
        /// An error that is held back until what was sent before it is flushed.
        failure: Option<Truncated>,
    },
}

/// The writing side of a streamed body.
#[derive(Debug)]
pub struct Writer {
    /// Takes the parts.
    pub parts: mpsc::Sender<Result<Bytes, Truncated>>,
    /// Resolves when the caller left.
    pub disconnected: oneshot::Receiver<()>,
}

/// Parts that wait for the caller's connection at most.
const MAX_QUEUED_PARTS: usize = 4;

impl Body {
    /// Opens a streamed body.
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

/// The answer broke off; the caller must not take it for whole.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the answer broke off before it was whole")]
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
                        // The connection is aborted on an error, with what it has buffered;
                        // it flushes only when the body has nothing more for now.
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

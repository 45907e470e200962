//! The body of a request, which is counted in the account while it is read.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::future::poll_fn;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use nutmegyoke_core::process::account::{Cause, Phase};
use nutmegyoke_core::request::Reason;

use super::account::Reservation;

/// What a frame costs beside its bytes when a body is kept as a list of frames, in bytes.
const FRAME_BYTES: usize = 64;

/// The size of the parts that a body is kept in until it is whole, in bytes. One buffer that grows
/// by doubling left holes in the heap: 76 MB of bodies took 131 MB of resident memory.
const SEGMENT_BYTES: usize = 32 * 1024;

/// The body of a request. Its bytes are held until the request ends.
#[derive(Debug)]
pub struct Upload {
    body: Incoming,
    reservation: Rc<Reservation>,
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Failure {
    /// The body is longer than allowed.
    #[display("the body is too long")]
    TooLong,
    /// The connection ended before the body.
    #[display("the body broke off")]
    Incomplete,
    /// The body made no progress.
    #[display("the body came too slowly")]
    Stalled,
    /// There is no memory for the body.
    #[display("no memory is free for the body; send it again later")]
    Full,
}

impl Failure {
    /// The reason of the refusal.
    #[must_use]
    pub fn reason(self) -> Reason {
        match self {
            Self::TooLong => Reason::BodyTooLong,
            Self::Incomplete => Reason::BodyIncomplete,
            Self::Stalled => Reason::BodyStalled,
            Self::Full => Reason::MemoryFull,
        }
    }
}

impl From<Cause> for Failure {
    fn from(cause: Cause) -> Self {
        match cause {
            Cause::MemoryFull => Self::Full,
            _ => Self::Stalled,
        }
    }
}

impl Upload {
    /// Wraps the body of a request on the connection of `reservation`.
    #[must_use]
    pub fn open(body: Incoming, reservation: Rc<Reservation>) -> Self {
        reservation.enter(if body.is_end_stream() {
            Phase::Busy
        } else {
            Phase::Body
        });
        Self { body, reservation }
    }

    /// The account's view of the connection.
    #[must_use]
    pub fn reservation(&self) -> &Rc<Reservation> {
        &self.reservation
    }

    /// Reads the whole body, `limit` bytes at most. Memory is taken as bytes arrive, whatever length
    /// the head states, and small chunks cost no more than their bytes.
    ///
    /// # Errors
    ///
    /// The body is too long, ended early, made no progress, or there is no memory for it.
    pub async fn read(mut self, limit: usize) -> Result<Bytes, Failure> {
        let hint = self.body.size_hint();
        let stated = hint.exact().and_then(|length| usize::try_from(length).ok());
        if stated.is_some_and(|length| length > limit) {
            return Err(Failure::TooLong);
        }
        let most = stated.unwrap_or(limit);
        let mut segments: Vec<Vec<u8>> = Vec::new();
        let mut length = 0;
        while let Some(frame) = poll_fn(|context| self.poll_data(context)).await {
            let mut data = frame?;
            if length + data.len() > limit {
                return Err(Failure::TooLong);
            }
            while !data.is_empty() {
                let last = segments
                    .last_mut()
                    .filter(|last| last.len() < last.capacity());
                let Some(last) = last else {
                    let bytes = (most - length).min(SEGMENT_BYTES);
                    self.reservation.hold(bytes)?;
                    segments.push(Vec::with_capacity(bytes));
                    continue;
                };
                let part = data.split_to(data.len().min(last.capacity() - last.len()));
                last.extend_from_slice(&part);
                length += part.len();
            }
        }
        self.reservation.enter(Phase::Busy);
        Ok(join(segments, length))
    }

    /// Polls the next part of the body, or the reason why the connection gives up its room.
    fn poll_data(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Failure>>> {
        loop {
            if let Some(cause) = self.reservation.cause() {
                return Poll::Ready(Some(Err(cause.into())));
            }
            // The task is woken when the connection has to give up its room: its `Reservation` has the
            // waker of the task.
            return match Pin::new(&mut self.body).poll_frame(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(None) => Poll::Ready(None),
                Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(Failure::Incomplete))),
                Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => Poll::Ready(Some(Ok(data))),
                    // Trailers.
                    Err(_) => continue,
                },
            };
        }
    }
}

/// Copies the parts of a body into one buffer, unless there is only one.
fn join(mut segments: Vec<Vec<u8>>, length: usize) -> Bytes {
    if segments.len() <= 1 {
        return segments.pop().unwrap_or_default().into();
    }
    let mut bytes = Vec::with_capacity(length);
    // Each part is freed when it is copied.
    for segment in segments {
        bytes.extend_from_slice(&segment);
    }
    bytes.into()
}

impl Body for Upload {
    type Data = Bytes;
    type Error = Failure;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Failure>>> {
        let this = self.get_mut();
        let polled = this.poll_data(context);
        polled.map(|data| {
            let Some(data) = data else {
                this.reservation.enter(Phase::Busy);
                return None;
            };
            Some(data.and_then(|data| {
                this.reservation.hold(data.len() + FRAME_BYTES)?;
                Ok(Frame::data(data))
            }))
        })
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

//! Serves HTTP/1.1 on an accepted connection.

use std::cell::OnceCell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{Either, select};
use futures_util::pin_mut;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use nutmegyoke_core::process::account::{Cause, Phase, Timeouts};

use super::account::Reservation;
use super::listener::Accepted;
use super::stream::Stream;
use super::{Tally, Upload};
use crate::process::Event;

/// The most headers of a request. Hyper itself rejects a request with more.
const MAX_HEADERS: usize = 256;

/// The longest head of a request, whatever the limits say, in bytes: the buffer of a connection is
/// not counted in the account byte by byte.
const MAX_HEAD_BYTES: usize = 256 * 1024;

/// The buffer of a connection beyond the longest head, in bytes: hyper needs 8 KiB at least.
const BODY_BUFFER_BYTES: usize = 16 * 1024;

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The longest head of a request, in bytes, with empty lines before it.
    pub head_bytes: usize,
    pub timeouts: Timeouts,
}

impl Default for Limits {
    /// The limits of listeners whose clients are not given any: 32 KiB of headers and a request
    /// line, and the times of a routing document that states none.
    fn default() -> Self {
        Self {
            head_bytes: 40 * 1024,
            timeouts: Timeouts {
                head: Duration::from_secs(30),
                idle: Duration::from_mins(1),
                body: Duration::from_mins(1),
            },
        }
    }
}

/// Answers the HTTP requests of a connection.
pub trait Handler {
    /// The body type of the responses.
    type Body: Body<Data = Bytes, Error: std::error::Error + Send + Sync> + Unpin + 'static;

    /// Answers one request.
    fn handle(
        self: Rc<Self>,
        request: Request<Upload>,
    ) -> impl Future<Output = Response<Self::Body>>;

    /// Whether the connection is to be closed after the response in progress.
    fn closing(&self) -> bool;

    /// What a client may send, and how long it may take.
    fn limits(&self) -> Limits {
        Limits::default()
    }

    /// Resolves when all connections are to be closed: idle ones at once, the others
    /// after the response in progress.
    fn closed(&self) -> impl Future<Output = ()> {
        std::future::pending()
    }

    /// Counts the connections on which a request has come, if a stop waits for them.
    fn used_connections(&self) -> Option<&Tally> {
        None
    }
}

/// Serves requests on a connection until either side closes it, or the account does. Logs a
/// connection error.
pub async fn serve<H: Handler>(handler: Rc<H>, accepted: Accepted) {
    let Accepted {
        stream,
        peer,
        reservation,
    } = accepted;
    let limits = handler.limits();
    let head_bytes = limits.head_bytes.min(MAX_HEAD_BYTES);
    reservation.set_timeouts(limits.timeouts);
    reservation.answer_before_close();
    let used = OnceCell::new();
    let service = service_fn(|request: Request<Incoming>| {
        let handler = Rc::clone(&handler);
        used.get_or_init(|| handler.used_connections().map(Tally::open));
        let reservation = Rc::clone(&reservation);
        async move {
            let timeouts = handler.limits().timeouts;
            let request = request.map(|body| Upload::open(body, Rc::clone(&reservation)));
            let mut response = Rc::clone(&handler).handle(request).await;
            reservation.enter(Phase::Busy);
            if handler.closing() || reservation.cause().is_some() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| Answer {
                body,
                reservation,
                timeouts,
            }))
        }
    });
    let connection = http1::Builder::new()
        .max_headers(MAX_HEADERS)
        .max_header_size(head_bytes)
        .max_buf_size(head_bytes + BODY_BUFFER_BYTES)
        .serve_connection(Stream::open(stream, Rc::clone(&reservation)), service);
    let closed = select(Box::pin(handler.closed()), Box::pin(reservation.closed()));
    pin_mut!(connection, closed);
    let served = match select(connection.as_mut(), closed).await {
        Either::Left((served, _)) => served,
        Either::Right((Either::Left(((), evicted)), _)) => {
            connection.as_mut().graceful_shutdown();
            match select(connection, evicted).await {
                Either::Left((served, _)) => served,
                Either::Right(_) => return,
            }
        }
        // The account's own log lines count these.
        Either::Right((Either::Right(_), _)) => return,
    };
    if let Err(error) = served {
        if error.is_parse_too_large() {
            reservation.count(Cause::HeadTooLong);
        }
        let why = error.to_string();
        Event::ConnectionFailed { peer, why: &why }.log();
    }
}

/// The body of a response. Its bytes are held until they are written, and the request ends when it is
/// dropped.
#[derive(Debug)]
struct Answer<B> {
    body: B,
    reservation: Rc<Reservation>,
    timeouts: Timeouts,
}

impl<B: Body<Data = Bytes> + Unpin> Body for Answer<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.body).poll_frame(context);
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            this.reservation
                .queue(frame.data_ref().map_or(0, Bytes::len));
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for Answer<B> {
    fn drop(&mut self) {
        self.reservation.end_request(self.timeouts);
    }
}

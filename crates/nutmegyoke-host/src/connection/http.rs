//! Serves HTTP/1.1 on an accepted connection.

use std::cell::OnceCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::{CompioTimer, HyperStream};
use futures_util::future::{Either, select};
use futures_util::pin_mut;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};

use super::Tally;
use crate::process::Event;

/// How long a client may take to send its request line and headers.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);

/// The most headers of a request. Hyper itself rejects a request with more.
const MAX_HEADERS: usize = 256;

/// Answers the HTTP requests of a connection.
pub trait Handler {
    /// The body type of the responses.
    type Body: hyper::body::Body<Data = Bytes, Error: std::error::Error + Send + Sync> + 'static;

    /// Answers one request.
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>>;

    /// Whether the connection is to be closed after the response in progress.
    fn closing(&self) -> bool;

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

/// Serves requests on `stream` until either side closes it. Logs a connection error.
pub async fn serve<H: Handler>(handler: Rc<H>, stream: TcpStream, peer: SocketAddr) {
    let used = OnceCell::new();
    let service = service_fn(|request| {
        let handler = Rc::clone(&handler);
        used.get_or_init(|| handler.used_connections().map(Tally::open));
        async move {
            let mut response = Rc::clone(&handler).handle(request).await;
            if handler.closing() {
                let close = hyper::header::HeaderValue::from_static("close");
                response
                    .headers_mut()
                    .insert(hyper::header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(HEADER_TIMEOUT)
        .max_headers(MAX_HEADERS)
        .serve_connection(HyperStream::new_plain(stream), service);
    let closed = handler.closed();
    pin_mut!(connection, closed);
    let served = match select(connection.as_mut(), closed).await {
        Either::Left((served, _)) => served,
        Either::Right(_) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        let why = error.to_string();
        Event::ConnectionFailed { peer, why: &why }.log();
    }
}

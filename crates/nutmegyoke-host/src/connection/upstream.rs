//! Kept HTTP/1.1 connections to endpoints, one request at a time on each.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cyper_core::HyperStream;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};

use super::link;

/// How long connecting to an endpoint may take. Endpoints take about 1 ms for a new
/// connection; a lost packet is sent again after a second, another endpoint is nearer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long an idle connection is kept whose endpoint doesn't say how long it does.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// How long before an endpoint closes an idle connection it isn't used any more.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);

/// The idle connections kept for one endpoint at most.
const MAX_IDLE_PER_ENDPOINT: usize = 32;

/// The connections of a process to endpoints.
#[derive(Debug, Default)]
pub struct Upstreams {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    upstream: Upstream,
    expires: Instant,
}

/// A connection to an endpoint.
#[derive(Debug)]
pub struct Upstream {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl Upstreams {
    /// Takes an idle connection to `address`, if there is a live one.
    pub fn take(&self, now: Instant, address: SocketAddr) -> Option<Upstream> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(Idle { upstream, expires }) = connections.pop() {
            if now < expires && upstream.sender.is_ready() {
                return Some(upstream);
            }
        }
        idle.remove(&address);
        None
    }

    /// Keeps a connection whose response has been read in whole.
    pub fn put(&self, now: Instant, upstream: Upstream, keep_alive: Option<Duration>) {
        let lifetime = keep_alive
            .unwrap_or(DEFAULT_KEEP_ALIVE)
            .saturating_sub(KEEP_ALIVE_MARGIN);
        if upstream.sender.is_closed() || lifetime.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(upstream.address).or_default();
        connections.retain(|connection| {
            now < connection.expires && !connection.upstream.sender.is_closed()
        });
        if connections.len() < MAX_IDLE_PER_ENDPOINT {
            let expires = now + lifetime;
            connections.push(Idle { upstream, expires });
        }
    }
}

impl Upstream {
    /// Connects to the endpoint at `address`.
    ///
    /// # Errors
    ///
    /// The endpoint can't be reached in time; nothing was sent.
    pub async fn dial(address: SocketAddr) -> io::Result<Self> {
        let stream = link::connect(address, CONNECT_TIMEOUT).await?;
        let io = HyperStream::new_plain(stream);
        let (sender, connection) = http1::handshake(io).await.map_err(io::Error::other)?;
        compio::runtime::spawn(async move {
            // The request in flight has failed with the same error.
            let _ = connection.await;
        })
        .detach();
        Ok(Self { address, sender })
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// The connection broke; [`Broken::sent`] tells whether the request may have left.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| Failure {
            sent: error.take_message().is_none(),
        })
    }
}

/// A connection broke before the head of the response was there.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Whether any of the request may have left.
    pub sent: bool,
}

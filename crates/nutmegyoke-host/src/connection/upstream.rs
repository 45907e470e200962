//! HTTP/1.1 connections to endpoints, reused for one request at a time.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};

use super::link;
use super::stream::Dialled;

/// How long connecting to an endpoint may take. It usually takes about 1 ms. A lost SYN
/// is retransmitted only after 1 s, so trying another endpoint is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The idle timeout that is assumed of an endpoint that doesn't state its own.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// How long before the endpoint's idle timeout a connection is no longer reused, so that
/// the endpoint doesn't close it while a request is being sent.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);

/// The longest head of a response, in bytes. A longer one fails the request.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The most bytes that are copied for the socket at once. Most requests are shorter, and take one
/// write.
const MAX_WRITE_BYTES: usize = 256 * 1024;

/// The most idle connections kept for one endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 32;

/// The idle connections of this process to endpoints.
#[derive(Debug, Default)]
pub struct Upstreams {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
}

/// An idle connection, reused only before `expires`.
#[derive(Debug)]
struct Idle {
    upstream: Upstream,
    expires: Instant,
}

/// A connection to an endpoint that carries at most one request at a time.
#[derive(Debug)]
pub struct Upstream {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    /// Whether a request was sent whose answer has not been read to the end.
    in_use: bool,
    /// Whether it was dropped like that. The connection is reset then: the endpoint learns of it at
    /// once, and a request that it has not read need not reach it.
    abandoned: Rc<Cell<bool>>,
}

impl Upstreams {
    /// Takes a usable idle connection to `address`, if there is one.
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

    /// Returns a connection to the pool after its response was read to the end.
    ///
    /// `keep_alive` is the endpoint's idle timeout, if it states one. The connection is
    /// closed if it can't be reused or the pool of the endpoint is full.
    pub fn put(&self, now: Instant, mut upstream: Upstream, keep_alive: Option<Duration>) {
        upstream.in_use = false;
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
    /// Connecting failed or took longer than `CONNECT_TIMEOUT`. No request was sent.
    pub async fn dial(address: SocketAddr) -> io::Result<Self> {
        let stream = link::connect(address, CONNECT_TIMEOUT).await?;
        let abandoned = Rc::new(Cell::new(false));
        let io = Dialled::open(stream, MAX_WRITE_BYTES, Rc::clone(&abandoned));
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(io);
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        compio::runtime::spawn(async move {
            // Not logged: the request in flight fails with the same error.
            let _ = connection.await;
        })
        .detach();
        Ok(Self {
            address,
            sender,
            in_use: false,
            abandoned,
        })
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// The connection failed. [`Failure::sent`] says whether part of the request may have
    /// been sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        self.in_use = true;
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| Failure {
            sent: error.take_message().is_none(),
        })
    }
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.abandoned.set(self.in_use);
    }
}

/// A connection failed before the head of the response was received.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Whether part of the request may have been sent. If not, the request did not run.
    pub sent: bool,
}

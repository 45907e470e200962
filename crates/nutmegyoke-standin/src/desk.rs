//! A stand-in for a plain service: a booking desk that counts its bookings.

use std::cell::{Cell, OnceCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::{Method, Request, Response, StatusCode};
use nutmegyoke_core::process::Endpoint;
use nutmegyoke_core::process::endpoint::{Holding, Phase};
use nutmegyoke_host::connection::Listener;
use nutmegyoke_host::connection::Upload;
use nutmegyoke_host::connection::http::{self, Handler};
use nutmegyoke_host::connection::listener::{Accepted, Serve};
use nutmegyoke_host::process::Failure;
use nutmegyoke_host::process::operators::respond;
use nutmegyoke_host::request::Body;
use nutmegyoke_wire::process::Announcement;
use serde_json::json;

use crate::{Announcer, EPHEMERAL_LOOPBACK};

/// The time from a booking request to its answer.
pub const BOOKING_DURATION: Duration = Duration::from_millis(200);

/// The number of requests that the desk announces to run concurrently.
const SLOTS: u32 = 8;

/// A running stand-in booking desk, the service `desk`.
#[derive(Debug)]
pub struct Desk {
    listener: OnceCell<Listener>,
    bookings: Cell<u64>,
}

impl Desk {
    /// Binds a desk to a free port and serves on the current event loop.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn bind() -> Result<Rc<Self>, Failure> {
        let desk = Rc::new(Self {
            listener: OnceCell::new(),
            bookings: Cell::new(0),
        });
        let listener = Listener::bind(EPHEMERAL_LOOPBACK, "desk", Rc::clone(&desk)).await?;
        let _ = desk.listener.set(listener);
        Ok(desk)
    }

    /// The address at which it serves.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener
            .get()
            .map_or(EPHEMERAL_LOOPBACK, Listener::address)
    }

    /// The number of bookings made.
    #[must_use]
    pub fn bookings(&self) -> u64 {
        self.bookings.get()
    }

    async fn book(&self) -> Response<Body> {
        // Counted before the wait, because a booking whose request is cut off during the
        // wait has been made nevertheless.
        self.bookings.set(self.bookings.get() + 1);
        let number = self.bookings.get();
        compio::time::sleep(BOOKING_DURATION).await;
        json_response(&json!({ "booking": number }))
    }
}

fn json_response(value: &serde_json::Value) -> Response<Body> {
    respond(
        StatusCode::OK,
        "application/json",
        value.to_string().into_bytes(),
    )
}

impl Announcer for Desk {
    fn announcement(&self) -> Announcement {
        Announcement {
            address: self.address(),
            capacity: None,
            endpoint: Endpoint {
                name: "desk".to_owned(),
                holding: Holding::Service {
                    service: "desk".into(),
                },
                slots: SLOTS,
                phase: Phase::Ready,
            },
        }
    }
}

impl Serve for Desk {
    async fn serve(self: Rc<Self>, accepted: Accepted) {
        http::serve(self, accepted).await;
    }
}

impl Handler for Desk {
    type Body = Body;

    async fn handle(self: Rc<Self>, request: Request<Upload>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/bookings") => self.book().await,
            (&Method::GET, "/bookings") => json_response(&json!({ "count": self.bookings() })),
            _ => respond(
                StatusCode::NOT_FOUND,
                "text/plain",
                b"no such path".to_vec(),
            ),
        }
    }

    fn closing(&self) -> bool {
        false
    }
}

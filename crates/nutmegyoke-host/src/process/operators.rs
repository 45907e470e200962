//! The HTTP interface of every role for operators: metrics, health and paths
//! particular to the role.

use std::rc::Rc;

use crate::connection::Upload;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};

use super::Metrics;
use crate::connection::http::{self, Handler};
use crate::connection::listener::{Accepted, Serve};
use crate::request::Body;

/// A role's part of the operators' interface.
pub trait Role {
    /// The metrics, with gauges set to their current values.
    fn metrics(&self) -> &Metrics;
    /// Whether the process is ready to do its work.
    fn ready(&self) -> bool;
    /// Resolves when the process stops and operators' connections have to be closed; the
    /// default never resolves.
    fn closed(&self) -> impl Future<Output = ()> {
        std::future::pending()
    }
    /// Answers a request for a path particular to the role; `None` if there is no such
    /// path.
    fn answer(
        self: Rc<Self>,
        request: Request<Upload>,
    ) -> impl Future<Output = Option<Response<Body>>>;
}

/// Serves the operators' interface of a role.
#[derive(Debug)]
pub struct Operators<R> {
    role: Rc<R>,
}

impl<R: Role> Operators<R> {
    /// Opens the interface of `role`.
    pub fn open(role: &Rc<R>) -> Rc<Self> {
        Rc::new(Self {
            role: Rc::clone(role),
        })
    }
}

impl<R: Role + 'static> Serve for Operators<R> {
    async fn serve(self: Rc<Self>, accepted: Accepted) {
        http::serve(self, accepted).await;
    }
}

impl<R: Role + 'static> Handler for Operators<R> {
    type Body = Body;

    async fn handle(self: Rc<Self>, request: Request<Upload>) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/metrics") => {
                let text = self.role.metrics().encode();
                respond(StatusCode::OK, "text/plain; version=0.0.4", text)
            }
            (&Method::GET, "/healthz") => respond(StatusCode::OK, "text/plain", b"ok\n".to_vec()),
            (&Method::GET, "/readyz") => {
                if self.role.ready() {
                    respond(StatusCode::OK, "text/plain", b"ready\n".to_vec())
                } else {
                    let text = b"not ready\n".to_vec();
                    respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", text)
                }
            }
            _ => {
                let answer = Rc::clone(&self.role).answer(request).await;
                answer.unwrap_or_else(|| {
                    let text = b"no such path\n".to_vec();
                    respond(StatusCode::NOT_FOUND, "text/plain", text)
                })
            }
        }
    }

    fn closing(&self) -> bool {
        false
    }

    fn closed(&self) -> impl Future<Output = ()> {
        self.role.closed()
    }
}

/// Builds a response with a status, a content type and a body.
#[must_use]
pub fn respond(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = status;
    let value = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

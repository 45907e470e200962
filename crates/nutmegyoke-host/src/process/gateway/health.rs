//! The health check for load balancers: whether to send the gateway new connections.
//!
//! A stopping gateway reports not ready at once and accepts connections a while longer, see
//! [`Gateway::drain`].

use std::rc::Rc;

use crate::connection::Upload;
use hyper::{Request, Response, StatusCode};
use nutmegyoke_core::process::Clock;

use super::Gateway;
use crate::connection::http::{self, Handler};
use crate::connection::listener::{Accepted, Serve};
use crate::process::Codec;
use crate::process::operators::respond;
use crate::request::Body;

/// Answers requests on every path with the gateway's readiness.
pub struct Health<C: Clock + 'static, D: Codec>(pub Rc<Gateway<C, D>>);

impl<C: Clock + 'static, D: Codec> Serve for Health<C, D> {
    async fn serve(self: Rc<Self>, accepted: Accepted) {
        http::serve(self, accepted).await;
    }
}

impl<C: Clock + 'static, D: Codec> Handler for Health<C, D> {
    type Body = Body;

    async fn handle(self: Rc<Self>, _: Request<Upload>) -> Response<Body> {
        let (status, text) = if self.0.ready() {
            (StatusCode::OK, "ready\n")
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        };
        respond(status, "text/plain", text.into())
    }

    fn closing(&self) -> bool {
        false
    }
}

//! The HTTP interface for endpoints' heartbeats and operators' routing documents.
//!
//! A heartbeat is fed to the state machine of this gateway. A routing document is published
//! in the replicated log.

use std::rc::Rc;

use crate::connection::{Upload, upload};
use bytes::Bytes;
use hyper::{Request, Response, StatusCode};
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::gateway::Event as Input;
use nutmegyoke_core::version::Document;
use nutmegyoke_wire::process::listing;

use super::{Gateway, decode};
use crate::connection::Tally;
use crate::connection::http::{self, Handler};
use crate::connection::listener::{Accepted, Serve};
use crate::process::codec::Call;
use crate::process::operators::respond;
use crate::process::{Codec, Event};
use crate::request::Body;

/// The largest body of a call, in bytes. The largest bodies are routing documents.
const MAX_BODY_BYTES: usize = Document::MAX_BYTES;

/// The longest description of a malformed heartbeat, in bytes. It may quote a value.
const MAX_FAULT_BYTES: usize = 300;

const JSON: &str = "application/json";

/// Serves the registrar of a gateway.
pub struct Registrar<C: Clock + 'static, D: Codec>(pub Rc<Gateway<C, D>>);

impl<C: Clock + 'static, D: Codec> Serve for Registrar<C, D> {
    async fn serve(self: Rc<Self>, accepted: Accepted) {
        http::serve(self, accepted).await;
    }
}

impl<C: Clock + 'static, D: Codec> Handler for Registrar<C, D> {
    type Body = Body;

    async fn handle(self: Rc<Self>, request: Request<Upload>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let body = match body.read(MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(failure) => {
                let status = match failure {
                    upload::Failure::Full => StatusCode::SERVICE_UNAVAILABLE,
                    upload::Failure::Stalled => StatusCode::REQUEST_TIMEOUT,
                    _ => StatusCode::BAD_REQUEST,
                };
                return error_response(status, &failure.to_string());
            }
        };
        match D::decode_call(&head.method, head.uri.path()) {
            Some(Call::Announce { id }) => self.announce(id, &body),
            Some(Call::SignOff { id }) => self.sign_off(id),
            Some(Call::Publish) => self.publish(&body).await,
            Some(Call::Read) => self.read().await,
            Some(Call::List) => self.list(),
            None => error_response(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    fn closing(&self) -> bool {
        self.0.stopping.get()
    }

    fn closed(&self) -> impl Future<Output = ()> {
        self.0.closing.opened()
    }

    fn used_connections(&self) -> Option<&Tally> {
        Some(&self.0.used_connections)
    }
}

impl<C: Clock + 'static, D: Codec> Registrar<C, D> {
    fn announce(&self, id: &str, body: &[u8]) -> Response<Body> {
        let announcement = match D::decode_announcement(id, body) {
            Ok(announcement) => announcement,
            Err(fault) => {
                let mut why = fault.to_string();
                why.truncate(why.floor_char_boundary(MAX_FAULT_BYTES));
                Event::AnnouncementRefused { why: &why }.log();
                return error_response(StatusCode::BAD_REQUEST, &why);
            }
        };
        let (previous, is_named) = {
            let machine = self.0.driver.machine();
            let previous = machine.last_heartbeat(id, &announcement.service);
            (previous, machine.is_named(announcement.service.as_str()))
        };
        if previous != Some((announcement.stamp.started_ms, announcement.phase)) {
            let address = announcement.address;
            if is_named {
                Event::EndpointHeard {
                    id,
                    address,
                    phase: announcement.phase,
                    born: announcement.stamp.started_ms,
                }
                .log();
            } else {
                Event::EndpointHeldBack {
                    id,
                    address,
                    service: announcement.service.as_str(),
                }
                .log();
            }
        }
        let announcement = &announcement;
        self.0.driver.feed(Input::Announced { announcement });
        respond(StatusCode::OK, JSON, b"{}".to_vec())
    }

    fn sign_off(&self, id: &str) -> Response<Body> {
        if !self.0.driver.machine().knows_endpoint(id) {
            // The endpoint retries at another gateway, which may know it.
            return error_response(StatusCode::SERVICE_UNAVAILABLE, "no such endpoint is known");
        }
        self.0.driver.feed(Input::SignedOff { id });
        Event::EndpointLeft { id }.log();
        respond(StatusCode::OK, JSON, b"{}".to_vec())
    }

    async fn publish(&self, body: &Bytes) -> Response<Body> {
        let number = match decode::<D>(body) {
            Ok(routing) => routing.number(),
            Err(why) => {
                Event::Rejected {
                    // The number of an invalid document may not be readable.
                    number: 0,
                    why: &why,
                }
                .log();
                return error_response(StatusCode::BAD_REQUEST, &why);
            }
        };
        let document = Rc::new(Document {
            number,
            source: body.as_ref().into(),
        });
        let Some(held) = self.0.control.publish(&document).await else {
            let why = "no leader answered in time: it is unknown whether the document \
                       is accepted; send it again";
            Event::Rejected { number, why }.log();
            return error_response(StatusCode::SERVICE_UNAVAILABLE, why);
        };
        Event::Published { number, held }.log();
        respond(StatusCode::OK, JSON, b"{}".to_vec())
    }

    async fn read(&self) -> Response<Body> {
        let unavailable = "no leader answered in time: the newest document is not known";
        let Some(newest) = self.0.control.newest_number().await else {
            return error_response(StatusCode::SERVICE_UNAVAILABLE, unavailable);
        };
        let Some(newest) = newest else {
            return error_response(StatusCode::NOT_FOUND, "no document was published yet");
        };
        match self.0.wait_for_document(newest).await {
            Some(document) => respond(StatusCode::OK, JSON, document.source.to_vec()),
            None => error_response(StatusCode::SERVICE_UNAVAILABLE, unavailable),
        }
    }

    fn list(&self) -> Response<Body> {
        let listing = self.0.driver.machine().listing();
        respond(StatusCode::OK, JSON, listing::encode(&listing))
    }
}

fn error_response(status: StatusCode, why: &str) -> Response<Body> {
    respond(status, "text/plain", format!("{why}\n").into_bytes())
}

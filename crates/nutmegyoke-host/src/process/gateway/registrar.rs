//! Where endpoints announce themselves and operators publish routing documents.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use nutmegyoke_core::process::Clock;
use nutmegyoke_core::process::gateway::Event as Input;
use nutmegyoke_core::version::Document;

use super::{Gateway, decode};
use crate::connection::http::{self, Handler};
use crate::connection::listener::Serve;
use crate::process::dialect::Call;
use crate::process::operators::respond;
use crate::process::{Dialect, Event};
use crate::request::Body;

/// The longest routing document, in bytes.
const DOCUMENT_BYTES: usize = 16 * 1024 * 1024;

/// How long a reader waits for this replica to catch up with the leader.
const CATCH_UP: Duration = Duration::from_millis(600);

/// How often it is looked whether the replica has caught up.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

const JSON: &str = "application/json";

/// Serves a gateway's registrar.
pub struct Registrar<C: Clock + 'static, D: Dialect>(pub Rc<Gateway<C, D>>);

impl<C: Clock + 'static, D: Dialect> Serve for Registrar<C, D> {
    async fn serve(self: Rc<Self>, stream: TcpStream, peer: SocketAddr) {
        http::serve(self, stream, peer).await;
    }
}

impl<C: Clock + 'static, D: Dialect> Handler for Registrar<C, D> {
    type Body = Body;

    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let body = match Limited::new(body, DOCUMENT_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => return refuse(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        match D::call(&head.method, head.uri.path()) {
            Some(Call::Announce { id }) => self.announce(id, &body),
            Some(Call::SignOff { id }) => self.sign_off(id),
            Some(Call::Publish) => self.publish(&body).await,
            Some(Call::Read) => self.read().await,
            None => refuse(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    fn closing(&self) -> bool {
        self.0.stopping.get()
    }

    fn closed(&self) -> impl Future<Output = ()> {
        self.0.closing.opened()
    }
}

impl<C: Clock + 'static, D: Dialect> Registrar<C, D> {
    fn announce(&self, id: &str, body: &[u8]) -> Response<Body> {
        let announcement = match D::announcement(id, body) {
            Ok(announcement) => announcement,
            Err(fault) => {
                let why = fault.to_string();
                Event::AnnouncementRefused { why: &why }.log();
                return refuse(StatusCode::BAD_REQUEST, &why);
            }
        };
        let phase = {
            let machine = self.0.driver.machine();
            let row = machine.registry().row(id);
            row.map(|row| (row.stamp.started_ms, row.announcement.phase))
        };
        if phase != Some((announcement.stamp.started_ms, announcement.phase)) {
            Event::EndpointHeard {
                id,
                address: announcement.address,
                phase: announcement.phase,
                born: announcement.stamp.started_ms,
            }
            .log();
        }
        let announcement = &announcement;
        self.0.driver.feed(Input::Heard { announcement });
        respond(StatusCode::OK, JSON, b"{}".to_vec())
    }

    fn sign_off(&self, id: &str) -> Response<Body> {
        if self.0.driver.machine().registry().row(id).is_none() {
            // Another gateway may know it; the endpoint tries the next one.
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "no such endpoint is known");
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
                    number: 0,
                    why: &why,
                }
                .log();
                return refuse(StatusCode::BAD_REQUEST, &why);
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
            return refuse(StatusCode::SERVICE_UNAVAILABLE, why);
        };
        Event::Published { number, held }.log();
        respond(StatusCode::OK, JSON, b"{}".to_vec())
    }

    async fn read(&self) -> Response<Body> {
        let unsure = "no leader answered in time: the newest document is not known";
        let Some(newest) = self.0.control.newest().await else {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, unsure);
        };
        let Some(newest) = newest else {
            return refuse(StatusCode::NOT_FOUND, "no document was published yet");
        };
        let caught_up = async {
            loop {
                let held = self.0.control.document();
                if let Some(held) = held.filter(|held| held.number >= newest) {
                    return held;
                }
                compio::time::sleep(LOOK_PERIOD).await;
            }
        };
        match compio::time::timeout(CATCH_UP, caught_up).await {
            Ok(document) => respond(StatusCode::OK, JSON, document.source.to_vec()),
            Err(_) => refuse(StatusCode::SERVICE_UNAVAILABLE, unsure),
        }
    }
}

fn refuse(status: StatusCode, why: &str) -> Response<Body> {
    respond(status, "text/plain", format!("{why}\n").into_bytes())
}

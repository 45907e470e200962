//! Takes orders for a stand-in engine, with faults on the way.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use nutmegyoke_host::process::operators::respond;
use nutmegyoke_host::request::Body;
use nutmegyoke_wire::process::engine::{self as wire, Order};

use super::memory::Memory;

/// What happens to an order on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It never reaches the engine.
    Lost,
    /// It is carried out, and the confirmation is lost.
    Unconfirmed,
    /// It reaches the engine this much later, after the sender gave it up.
    Delayed(Duration),
    /// It is carried out, and again this much later.
    Duplicated(Duration),
}

/// The order interface of an engine.
#[derive(Debug)]
pub struct Orders {
    /// What the engine holds.
    pub memory: Memory,
    load_duration: Duration,
    faults: RefCell<VecDeque<Fault>>,
}

impl Orders {
    /// Opens the interface; each load takes `load`.
    #[must_use]
    pub fn open(memory: Memory, load_duration: Duration) -> Rc<Self> {
        Rc::new(Self {
            memory,
            load_duration,
            faults: RefCell::default(),
        })
    }

    /// Lets the next orders meet these faults, one each.
    pub fn inject(&self, faults: &[Fault]) {
        self.faults.borrow_mut().extend(faults);
    }

    /// Answers `POST /v1/orders`.
    pub async fn handle_order(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let Ok(body) = request.into_body().collect().await else {
            return error_response(StatusCode::BAD_REQUEST, "the body broke off");
        };
        let Ok(order) = Order::decode(&body.to_bytes()) else {
            return error_response(StatusCode::BAD_REQUEST, "the body is no order");
        };
        let fault = self.faults.borrow_mut().pop_front();
        match fault {
            None => self.execute(&order).await,
            Some(Fault::Lost) => lost_response(),
            Some(Fault::Unconfirmed) => {
                self.execute(&order).await;
                lost_response()
            }
            Some(Fault::Delayed(delay)) => {
                self.execute_later(order, delay);
                lost_response()
            }
            Some(Fault::Duplicated(delay)) => {
                let answer = self.execute(&order).await;
                self.execute_later(order, delay);
                answer
            }
        }
    }

    /// Answers `GET /v1/inventory`.
    #[must_use]
    pub fn handle_inventory(&self, query: &str) -> Response<Body> {
        let Some(stamp) = wire::stamp(query) else {
            return error_response(StatusCode::BAD_REQUEST, "name run and count");
        };
        let inventory = self.memory.inventory(stamp);
        let body = wire::encode_inventory(&inventory);
        respond(StatusCode::OK, "application/json", body)
    }

    async fn execute(&self, order: &Order) -> Response<Body> {
        if !self.memory.accepts(order.stamp, order.incarnation) {
            return error_response(StatusCode::CONFLICT, "a newer order was seen");
        }
        compio::time::sleep(self.load_duration).await;
        // A newer stamp that came meanwhile ends the load.
        if !self.memory.accepts(order.stamp, order.incarnation) {
            return error_response(StatusCode::CONFLICT, "a newer order was seen");
        }
        self.memory.apply(order.stamp, &order.action);
        let body = br#"{"outcome":"done"}"#.to_vec();
        respond(StatusCode::OK, "application/json", body)
    }

    fn execute_later(self: &Rc<Self>, order: Order, delay: Duration) {
        let this = Rc::clone(self);
        compio::runtime::spawn(async move {
            compio::time::sleep(delay).await;
            this.execute(&order).await;
        })
        .detach();
    }
}

fn lost_response() -> Response<Body> {
    error_response(StatusCode::GATEWAY_TIMEOUT, "the order was lost on its way")
}

fn error_response(status: StatusCode, message: &str) -> Response<Body> {
    respond(status, "text/plain", message.as_bytes().to_vec())
}

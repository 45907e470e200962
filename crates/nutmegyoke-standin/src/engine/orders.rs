//! The order interface of a stand-in engine, with fault injection.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode};
use nutmegyoke_host::connection::Upload;
use nutmegyoke_host::process::operators::respond;
use nutmegyoke_host::request::Body;
use nutmegyoke_wire::process::engine::{self as wire, Order};

use super::memory::Memory;

/// A fault in the delivery of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The order never reaches the engine.
    Lost,
    /// The order is carried out, but its confirmation is lost.
    Unconfirmed,
    /// The order reaches the engine after this delay, when its sender has been answered
    /// with an error.
    Delayed(Duration),
    /// The order is carried out, and a copy of it arrives this long after that.
    Duplicated(Duration),
}

/// The order interface of an engine.
#[derive(Debug)]
pub struct Orders {
    /// The memory of the engine.
    pub memory: Memory,
    load_duration: Duration,
    faults: RefCell<VecDeque<Fault>>,
}

impl Orders {
    /// Creates the interface. Every order takes `load_duration`, unloads included.
    #[must_use]
    pub fn open(memory: Memory, load_duration: Duration) -> Rc<Self> {
        Rc::new(Self {
            memory,
            load_duration,
            faults: RefCell::default(),
        })
    }

    /// Queues `faults` for the next orders, one for each order.
    pub fn inject(&self, faults: &[Fault]) {
        self.faults.borrow_mut().extend(faults);
    }

    /// Handles `POST /v1/orders`.
    pub async fn handle_order(self: Rc<Self>, request: Request<Upload>) -> Response<Body> {
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

    /// Handles `GET /v1/inventory` with the given query.
    #[must_use]
    pub fn handle_inventory(&self, query: &str) -> Response<Body> {
        let Some(stamp) = wire::parse_stamp(query) else {
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
        // The order is dropped if a newer stamp was seen meanwhile.
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

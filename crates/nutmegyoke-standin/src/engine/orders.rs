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
    Late(Duration),
    /// It is carried out, and again this much later.
    Twice(Duration),
}

/// The order interface of an engine.
#[derive(Debug)]
pub struct Orders {
    /// What the engine holds.
    pub memory: Memory,
    load: Duration,
    faults: RefCell<VecDeque<Fault>>,
}

impl Orders {
    /// Opens the interface; each load takes `load`.
    #[must_use]
    pub fn open(memory: Memory, load: Duration) -> Rc<Self> {
        Rc::new(Self {
            memory,
            load,
            faults: RefCell::default(),
        })
    }

    /// Lets the next orders meet these faults, one each.
    pub fn inject(&self, faults: &[Fault]) {
        self.faults.borrow_mut().extend(faults);
    }

    /// Answers `POST /v1/orders`.
    pub async fn order(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let Ok(body) = request.into_body().collect().await else {
            return refuse(StatusCode::BAD_REQUEST, "the body broke off");
        };
        let Ok(order) = Order::decode(&body.to_bytes()) else {
            return refuse(StatusCode::BAD_REQUEST, "the body is no order");
        };
        let fault = self.faults.borrow_mut().pop_front();
        match fault {
            None => self.perform(&order).await,
            Some(Fault::Lost) => lost(),
            Some(Fault::Unconfirmed) => {
                self.perform(&order).await;
                lost()
            }
            Some(Fault::Late(delay)) => {
                self.perform_later(order, delay);
                lost()
            }
            Some(Fault::Twice(delay)) => {
                let answer = self.perform(&order).await;
                self.perform_later(order, delay);
                answer
            }
        }
    }

    /// Answers `GET /v1/inventory`.
    #[must_use]
    pub fn inventory(&self, query: &str) -> Response<Body> {
        let Some(stamp) = wire::stamp(query) else {
            return refuse(StatusCode::BAD_REQUEST, "name run and count");
        };
        let inventory = self.memory.inventory(stamp);
        let body = wire::encode_inventory(&inventory);
        respond(StatusCode::OK, "application/json", body)
    }

    async fn perform(&self, order: &Order) -> Response<Body> {
        if !self.memory.accepts(order.stamp, order.incarnation) {
            return refuse(StatusCode::CONFLICT, "a newer order was seen");
        }
        compio::time::sleep(self.load).await;
        self.memory.perform(order.stamp, &order.action);
        let body = br#"{"outcome":"done"}"#.to_vec();
        respond(StatusCode::OK, "application/json", body)
    }

    fn perform_later(self: &Rc<Self>, order: Order, delay: Duration) {
        let this = Rc::clone(self);
        compio::runtime::spawn(async move {
            compio::time::sleep(delay).await;
            this.perform(&order).await;
        })
        .detach();
    }
}

fn lost() -> Response<Body> {
    refuse(StatusCode::GATEWAY_TIMEOUT, "the order was lost on its way")
}

fn refuse(status: StatusCode, why: &str) -> Response<Body> {
    respond(status, "text/plain", why.as_bytes().to_vec())
}

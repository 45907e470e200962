//! A stand-in for a model engine.
//!
//! It answers completions with fixed words, one per token interval. It either holds a fixed
//! set of models or takes orders from its agent ([`orders`]).

pub mod memory;
pub mod orders;

use std::cell::{Cell, OnceCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::SinkExt;
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode};
use nutmegyoke_core::process::Endpoint;
use nutmegyoke_core::process::endpoint::{Holding, Phase};
use nutmegyoke_host::connection::Listener;
use nutmegyoke_host::connection::Upload;
use nutmegyoke_host::connection::http::{self, Handler};
use nutmegyoke_host::connection::listener::{Accepted, Serve};
use nutmegyoke_host::process::Failure;
use nutmegyoke_host::process::operators::respond;
use nutmegyoke_host::request::Body;
use nutmegyoke_host::request::body::Writer;
use nutmegyoke_wire::process::Announcement;
use nutmegyoke_wire::process::engine as wire;
use nutmegyoke_wire::request::Completion;
use orders::Orders;
use serde_json::json;

use crate::{Announcer, EPHEMERAL_LOOPBACK};

/// The generated tokens, repeated in this order.
const WORDS: [&str; 8] = [
    "dry", "husk", "grade", "two", "fetches", "a", "fair", "price",
];

/// The properties of a stand-in engine.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// The name of the endpoint on its VM.
    pub name: String,
    /// The models that it holds if it takes no orders.
    pub models: Vec<&'static str>,
    /// The number of requests that it announces to run concurrently. It does not enforce it.
    pub slots: u32,
    /// The time to generate a token.
    pub token_interval: Duration,
}

/// A running stand-in engine.
#[derive(Debug)]
pub struct Engine {
    behaviour: Behaviour,
    /// `None` if the engine holds a fixed set of models.
    orders: Option<Rc<Orders>>,
    listener: OnceCell<Listener>,
    runs: Cell<u64>,
}

impl Engine {
    /// Binds an engine with a fixed set of models to a free port and serves on the current
    /// event loop.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn bind(behaviour: Behaviour) -> Result<Rc<Self>, Failure> {
        Self::serve(behaviour, None).await
    }

    /// Binds an engine that takes orders to a free port and serves on the current event
    /// loop. Its models are those in the memory of `orders`.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn bind_with_orders(
        behaviour: Behaviour,
        orders: Rc<Orders>,
    ) -> Result<Rc<Self>, Failure> {
        Self::serve(behaviour, Some(orders)).await
    }

    async fn serve(behaviour: Behaviour, orders: Option<Rc<Orders>>) -> Result<Rc<Self>, Failure> {
        let engine = Rc::new(Self {
            behaviour,
            orders,
            listener: OnceCell::new(),
            runs: Cell::new(0),
        });
        let listener = Listener::bind(EPHEMERAL_LOOPBACK, "engine", Rc::clone(&engine)).await?;
        let _ = engine.listener.set(listener);
        Ok(engine)
    }

    /// The address at which it serves.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener
            .get()
            .map_or(EPHEMERAL_LOOPBACK, Listener::address)
    }

    /// The number of completions started.
    #[must_use]
    pub fn runs(&self) -> u64 {
        self.runs.get()
    }

    fn holding(&self) -> Holding {
        if let Some(orders) = &self.orders {
            return orders.memory.holding();
        }
        let models = self.behaviour.models.iter();
        Holding::Engine {
            models: models.map(|&name| name.into()).collect(),
            adapters: Vec::new(),
        }
    }

    async fn complete(&self, request: Request<Upload>) -> Response<Body> {
        let Ok(body) = request.into_body().collect().await else {
            return error_response(StatusCode::BAD_REQUEST, "the body broke off");
        };
        let body = body.to_bytes();
        let Ok(completion) = Completion::decode(&body) else {
            return error_response(StatusCode::BAD_REQUEST, "the body is no completion request");
        };
        let orders = self.orders.as_ref();
        if orders.is_some_and(|orders| !orders.memory.holds(&completion.model)) {
            return error_response(StatusCode::NOT_FOUND, "the model is not resident");
        }
        self.runs.set(self.runs.get() + 1);
        let tokens = completion.max_tokens.unwrap_or(8);
        let token_interval = self.behaviour.token_interval;
        if completion.stream {
            let (writer, body) = Body::stream();
            let model = completion.model.into_owned();
            compio::runtime::spawn(generate(writer, model, tokens, token_interval)).detach();
            return ok_response("text/event-stream", body);
        }
        compio::time::sleep(token_interval * tokens).await;
        let words: Vec<&str> = (0..tokens).map(word).collect();
        let answer = json!({
            "id": "completion",
            "object": "chat.completion",
            "model": completion.model,
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": words.join(" ")},
                "finish_reason": "stop",
            }],
            "usage": {"completion_tokens": tokens},
        });
        ok_response("application/json", answer.to_string().into_bytes().into())
    }
}

fn word(index: u32) -> &'static str {
    WORDS[index as usize % WORDS.len()]
}

async fn generate(writer: Writer, model: String, tokens: u32, token_interval: Duration) {
    let Writer { mut parts, .. } = writer;
    for index in 0..tokens {
        compio::time::sleep(token_interval).await;
        let chunk = json!({
            "id": "completion",
            "object": "chat.completion.chunk",
            "model": model,
            "choices": [{"index": 0, "delta": {"content": word(index)}}],
        });
        let event = format!("data: {chunk}\n\n");
        if parts.send(Ok(event.into())).await.is_err() {
            return;
        }
    }
    let _ = parts.send(Ok("data: [DONE]\n\n".into())).await;
}

fn error_response(status: StatusCode, message: &str) -> Response<Body> {
    respond(status, "text/plain", message.as_bytes().to_vec())
}

fn ok_response(content_type: &'static str, body: Body) -> Response<Body> {
    respond(StatusCode::OK, content_type, Vec::new()).map(|_| body)
}

impl Announcer for Engine {
    fn announcement(&self) -> Announcement {
        Announcement {
            address: self.address(),
            capacity: self.orders.as_ref().map(|orders| orders.memory.capacity()),
            endpoint: Endpoint {
                name: self.behaviour.name.clone(),
                holding: self.holding(),
                slots: self.behaviour.slots,
                phase: Phase::Ready,
            },
        }
    }
}

impl Serve for Engine {
    async fn serve(self: Rc<Self>, accepted: Accepted) {
        http::serve(self, accepted).await;
    }
}

impl Handler for Engine {
    type Body = Body;

    async fn handle(self: Rc<Self>, request: Request<Upload>) -> Response<Body> {
        let orders = self.orders.clone();
        match (request.uri().path(), orders) {
            (wire::ORDERS_PATH, Some(orders)) => orders.handle_order(request).await,
            (wire::INVENTORY_PATH, Some(orders)) => {
                orders.handle_inventory(request.uri().query().unwrap_or_default())
            }
            ("/v1/chat/completions" | "/v1/completions", _) => self.complete(request).await,
            _ => error_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn closing(&self) -> bool {
        false
    }
}

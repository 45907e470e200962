//! The protocol between an agent and the engines on its VM: orders and inventories.
//!
//! A steward speaks another protocol with its engine, see [`super::steward::Engine`].

use std::net::SocketAddr;

use derive_more::{Display, Error, From};
use hyper::StatusCode;
use nutmegyoke_core::process::agent::ledger::ORDER_TTL;
use nutmegyoke_core::process::order::{Order, Stamp};
use nutmegyoke_core::process::report::Inventory;
use nutmegyoke_wire::process::engine as wire;

use crate::connection::reply;

/// The client side of the protocol.
pub trait Engine {
    /// Why there is no usable answer from the engine.
    type Failure: std::fmt::Display;

    /// Sends an order and waits until the engine has carried it out.
    ///
    /// # Errors
    ///
    /// The engine did not confirm the order, which may still have taken effect or
    /// take effect later.
    fn order(
        &self,
        address: SocketAddr,
        order: &Order,
        stamp: Stamp,
        incarnation: u64,
    ) -> impl Future<Output = Result<(), Self::Failure>>;

    /// Requests the engine's inventory. An engine that checks fences refuses orders
    /// with an older stamp than `stamp` from then on.
    ///
    /// # Errors
    ///
    /// The engine did not answer, or the answer is not an inventory.
    fn inventory(
        &self,
        address: SocketAddr,
        stamp: Stamp,
    ) -> impl Future<Output = Result<Inventory, Self::Failure>>;
}

/// The client of engines that accept orders over HTTP; [`wire`] is the encoding.
#[derive(Clone, Debug)]
pub struct Http {
    client: cyper::Client,
}

/// Why there is no usable answer over HTTP.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// The connection or the HTTP exchange failed.
    #[display("HTTP call to the engine failed: {_0}")]
    Call(cyper::Error),
    /// The engine's reply could not be read.
    #[display("HTTP call to the engine failed: {_0}")]
    Reply(reply::Failure),
    /// The engine did not answer within the time to live of an order.
    #[display("the engine did not answer within {ORDER_TTL:?}")]
    Timeout(compio::time::Elapsed),
    /// The engine answered with a status other than 200.
    #[display("the engine refused with status {status}: {why}")]
    #[from(ignore)]
    Refused { status: StatusCode, why: String },
    /// The answer is not an inventory.
    #[display("the engine sent a malformed inventory: {_0}")]
    Answer(serde_json::Error),
}

impl Http {
    /// Creates a client that sends its requests through `client`.
    #[must_use]
    pub fn open(client: cyper::Client) -> Self {
        Self { client }
    }

    /// Sends a request and returns the body of a 200 answer.
    async fn send(request: cyper::RequestBuilder) -> Result<Vec<u8>, Failure> {
        let exchange = async {
            let response = request.send().await?;
            let status = response.status();
            Ok::<_, reply::Failure>((status, reply::read(response).await?))
        };
        let (status, body) = compio::time::timeout(ORDER_TTL, exchange).await??;
        if status == StatusCode::OK {
            return Ok(body);
        }
        let why = String::from_utf8_lossy(&body).into_owned();
        Err(Failure::Refused { status, why })
    }
}

impl Engine for Http {
    type Failure = Failure;

    async fn order(
        &self,
        address: SocketAddr,
        order: &Order,
        stamp: Stamp,
        incarnation: u64,
    ) -> Result<(), Failure> {
        let action = order.action.clone();
        let body = wire::Order {
            stamp,
            incarnation,
            action,
        };
        let url = format!("http://{address}{}", wire::ORDERS_PATH);
        let request = self.client.post(url)?.body(body.encode());
        Self::send(request).await?;
        Ok(())
    }

    async fn inventory(&self, address: SocketAddr, stamp: Stamp) -> Result<Inventory, Failure> {
        let url = format!("http://{address}{}", wire::inventory_path(stamp));
        let body = Self::send(self.client.get(url)?).await?;
        Ok(wire::decode_inventory(&body)?)
    }
}

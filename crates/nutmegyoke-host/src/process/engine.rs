//! How an agent gives orders to an engine.

use std::net::SocketAddr;

use derive_more::{Display, Error, From};
use hyper::StatusCode;
use nutmegyoke_core::process::agent::ledger::ORDER_TTL;
use nutmegyoke_core::process::order::{Order, Stamp};
use nutmegyoke_core::process::report::Inventory;
use nutmegyoke_wire::process::engine as wire;

/// Speaks the protocol of some kind of engine.
pub trait Engine {
    /// Why an engine gave no usable answer.
    type Failure: std::fmt::Display;

    /// Sends an order and waits until the engine has carried it out.
    ///
    /// # Errors
    ///
    /// The order may have taken effect, or may yet.
    fn order(
        &self,
        address: SocketAddr,
        order: &Order,
        stamp: Stamp,
        incarnation: u64,
    ) -> impl Future<Output = Result<(), Self::Failure>>;

    /// Asks what the engine holds, shutting out what was sent before `stamp`.
    ///
    /// # Errors
    ///
    /// The engine did not answer, or not with an inventory.
    fn inventory(
        &self,
        address: SocketAddr,
        stamp: Stamp,
    ) -> impl Future<Output = Result<Inventory, Self::Failure>>;
}

/// Engines that take orders over HTTP, see [`wire`].
#[derive(Clone, Debug)]
pub struct Http {
    client: cyper::Client,
}

/// Why an engine gave no usable answer over HTTP.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// The call failed.
    #[display("call failed: {_0}")]
    Call(cyper::Error),
    /// The engine answered in time neither way.
    #[display("no answer in time")]
    Timeout(compio::time::Elapsed),
    /// The engine refused.
    #[display("refused with {status}: {why}")]
    #[from(ignore)]
    Refused { status: StatusCode, why: String },
    /// The answer is not what an engine sends.
    #[display("unexpected answer: {_0}")]
    Answer(serde_json::Error),
}

impl Http {
    /// Opens the protocol over `client`.
    #[must_use]
    pub fn open(client: cyper::Client) -> Self {
        Self { client }
    }

    async fn send(request: cyper::RequestBuilder) -> Result<Vec<u8>, Failure> {
        let exchange = async {
            let response = request.send().await?;
            let status = response.status();
            Ok::<_, cyper::Error>((status, response.bytes().await?))
        };
        let (status, body) = compio::time::timeout(ORDER_TTL, exchange).await??;
        if status == StatusCode::OK {
            return Ok(body.to_vec());
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

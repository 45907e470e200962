//! The HTTP interface between an agent and its engine: orders and the inventory.
//!
//! The body of `POST /v1/orders` is an [`Order`]. The engine answers once it has carried
//! the order out, with status 200 and `{"outcome":"done"}`, or with status 409 and the reason if it
//! refuses the order. An engine that checks fencing tokens refuses an order whose stamp is
//! older than one it has seen, and an order for another incarnation of the engine.
//!
//! `GET /v1/inventory?run=R&count=C` returns an [`Inventory`]. An engine that checks
//! fencing tokens then refuses every order with a stamp before (R, C).

use nutmegyoke_core::process::order::{Action, Stamp};
pub use nutmegyoke_core::process::report::Inventory;
use serde::{Deserialize, Serialize};

/// The path for orders.
pub const ORDERS_PATH: &str = "/v1/orders";

/// The path for the inventory, without the query.
pub const INVENTORY_PATH: &str = "/v1/inventory";

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Order {
    /// Its position in the sequence of the agent's messages to the engine.
    pub stamp: Stamp,
    /// The incarnation of the engine that it is for.
    pub incarnation: u64,
    /// The change to the engine's contents or stage.
    pub action: Action,
}

impl Order {
    /// Decodes an order.
    ///
    /// # Errors
    ///
    /// The text is not JSON or not an order.
    pub fn decode(text: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(text)
    }

    /// Encodes the order.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Decodes an inventory.
///
/// # Errors
///
/// The text is not JSON or not an inventory.
pub fn decode_inventory(text: &[u8]) -> serde_json::Result<Inventory> {
    serde_json::from_slice(text)
}

/// Encodes an inventory.
#[must_use]
pub fn encode_inventory(inventory: &Inventory) -> Vec<u8> {
    serde_json::to_vec(inventory).unwrap_or_default()
}

/// The path and query that request an inventory and fence off orders before `stamp`.
#[must_use]
pub fn inventory_path(stamp: Stamp) -> String {
    format!("{INVENTORY_PATH}?run={}&count={}", stamp.run, stamp.count)
}

/// Parses the stamp in the query of an inventory request; `None` if `run` or `count` is
/// missing or not a number.
#[must_use]
pub fn parse_stamp(query: &str) -> Option<Stamp> {
    let value = |key: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(name, _)| *name == key)?;
        value.parse().ok()
    };
    Some(Stamp {
        run: value("run")?,
        count: value("count")?,
    })
}

//! The JSON of the orders that an agent sends to an engine.
//!
//! `POST /v1/orders` carries an [`Order`] and is answered when the engine has
//! carried it out: 200 `{"outcome":"done"}`, or 409 with the reason if it was
//! refused. An engine that checks fences refuses an order whose stamp is older
//! than one it has seen, or that is for another run of it.
//! `GET /v1/inventory?run=R&count=C` is answered with an [`Inventory`]; such an
//! engine refuses every order with a stamp before (R, C) from then on.

use nutmegyoke_core::process::order::{Action, Stamp};
pub use nutmegyoke_core::process::report::Inventory;
use serde::{Deserialize, Serialize};

/// The path of orders.
pub const ORDERS_PATH: &str = "/v1/orders";

/// The path of the inventory.
pub const INVENTORY_PATH: &str = "/v1/inventory";

/// An order on its way to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Order {
    /// Its place among what the agent sends.
    pub stamp: Stamp,
    /// The run of the engine that it is for.
    pub incarnation: u64,
    /// What to do.
    pub action: Action,
}

impl Order {
    /// Decodes an order.
    ///
    /// # Errors
    ///
    /// The text is not JSON or does not have the shape of an order.
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
/// The text is not JSON or does not have the shape of an inventory.
pub fn decode_inventory(text: &[u8]) -> serde_json::Result<Inventory> {
    serde_json::from_slice(text)
}

/// Encodes an inventory.
#[must_use]
pub fn encode_inventory(inventory: &Inventory) -> Vec<u8> {
    serde_json::to_vec(inventory).unwrap_or_default()
}

/// The path and query that ask for an inventory.
#[must_use]
pub fn inventory_path(stamp: Stamp) -> String {
    format!("{INVENTORY_PATH}?run={}&count={}", stamp.run, stamp.count)
}

/// Reads the stamp back out of the query.
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

//! The order of gateways in the rendezvous hash of a name: of a tenant, or of an endpoint with a limit.
//!
//! A gateway looks up the owner of a tenant for each loan. The order is kept until the gateways change
//! that are listed or reached: to hash hundreds of addresses each time took a fifth of a core at the
//! target size.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::fmt::Write;
use std::net::SocketAddr;

use rapidhash::v3::rapidhash_v3;

use crate::process::registry::Gossip;

/// How many of the first gateways are kept for each name. More than the first are needed only for a
/// second, until gossip finds out that gateways do not answer.
const KEPT: usize = 4;

/// The most names that are kept: four times the tenants and endpoints of the target size. Another
/// gateway may ask for any names.
const MAX_NAMES: usize = 32_768;

/// The orders of the names that were looked up since the gateways last changed.
#[derive(Debug, Default)]
pub struct Orders {
    /// The revision of the gateways that the orders hold for.
    revision: u64,
    by_name: HashMap<String, Order>,
}

/// The first gateways in the order of a name.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    /// The first of all that are listed, reached or not, and this one.
    pub listed: SocketAddr,
    /// The first of those that are reached, and this one.
    reached: [SocketAddr; KEPT],
    count: usize,
}

impl Orders {
    /// The order of a name for the gateway at `own`.
    pub fn look_up(&mut self, gossip: &Gossip, own: SocketAddr, name: &str) -> Order {
        let revision = gossip.view_revision();
        if self.revision != revision || self.by_name.len() >= MAX_NAMES {
            self.revision = revision;
            self.by_name.clear();
        }
        if let Some(&order) = self.by_name.get(name) {
            return order;
        }
        let order = Order::open(gossip, own, name);
        self.by_name.insert(name.to_owned(), order);
        order
    }
}

impl Order {
    fn open(gossip: &Gossip, own: SocketAddr, name: &str) -> Self {
        let mut reached = rank(name, gossip.reachable().chain([own]));
        reached.truncate(KEPT);
        let listed = rank(name, gossip.addresses().chain([own]));
        let mut order = Self {
            listed: listed.first().copied().unwrap_or(own),
            reached: [own; KEPT],
            count: reached.len(),
        };
        order.reached[..reached.len()].copy_from_slice(&reached);
        order
    }

    /// The first gateways that are reached, in order, with this one if it is among them.
    pub fn reached(&self) -> &[SocketAddr] {
        &self.reached[..self.count]
    }
}

/// The addresses in the order of a name.
pub fn rank(name: &str, addresses: impl Iterator<Item = SocketAddr>) -> Vec<SocketAddr> {
    let mut key = format!("{name} ");
    let prefix = key.len();
    let ranked = addresses.map(|address| {
        key.truncate(prefix);
        // Writing to a string does not fail.
        let _ = write!(key, "{address}");
        (rapidhash_v3(key.as_bytes()), address)
    });
    let mut ranked: Vec<(u64, SocketAddr)> = ranked.collect();
    ranked.sort_unstable_by_key(|&ranked| Reverse(ranked));
    ranked.into_iter().map(|(_, address)| address).collect()
}

//! Inputs and outputs of the state machine for engine memory.

use crate::process::endpoint::Target;
use crate::process::order::{Fence, Order, Outcome, Stamp};
use crate::process::report::{Capacity, Inventory};

/// An input of the state machine.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// An engine announced itself.
    Announced {
        endpoint: &'a str,
        capacity: &'a Capacity,
        agent_incarnation: u64,
    },
    /// A request for an engine was submitted. `call` is unique within one run of the
    /// process.
    Submitted {
        call: u64,
        endpoint: &'a str,
        target: Target<'a>,
    },
    /// A submitted request ended.
    Ended { call: u64 },
    /// The control leader issued orders, all newer than `fence`; its earlier orders are
    /// older than `fence`.
    Ordered { fence: Fence, orders: &'a [Order] },
    /// An order was confirmed by the engine or got no usable answer.
    Concluded {
        order: &'a Order,
        stamp: Stamp,
        outcome: Outcome,
    },
    /// An engine sent its inventory, or did not answer (`None`).
    Inspected {
        endpoint: &'a str,
        inventory: Option<&'a Inventory>,
    },
    /// The machine's deadline passed.
    Ticked,
}

/// An action for the host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Send an order, valid only for the run `incarnation` of its engine.
    Send {
        order: Order,
        stamp: Stamp,
        incarnation: u64,
    },
    /// Request an inventory from the engine.
    Inspect { endpoint: String, stamp: Stamp },
}

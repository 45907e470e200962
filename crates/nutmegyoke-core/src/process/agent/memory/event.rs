//! What the memory's machine is told and what it tells its host to do.

use crate::process::endpoint::Target;
use crate::process::order::{Fence, Order, Outcome, Stamp};
use crate::process::report::{Capacity, Inventory};

/// What happened to the engines of a VM.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// An engine announced itself; `run` is the incarnation of the agent.
    Attached {
        endpoint: &'a str,
        capacity: &'a Capacity,
        agent_incarnation: u64,
    },
    /// A request for an engine was submitted; `call` is unique in this run.
    Submitted {
        call: u64,
        endpoint: &'a str,
        target: Target<'a>,
    },
    /// A submitted request ended.
    Ended { call: u64 },
    /// The control leader gave orders, all newer than `seal`.
    Ordered { fence: Fence, orders: &'a [Order] },
    /// An order ended.
    Concluded {
        order: &'a Order,
        stamp: Stamp,
        outcome: Outcome,
    },
    /// An engine told what it holds, or did not answer.
    Inspected {
        endpoint: &'a str,
        inventory: Option<&'a Inventory>,
    },
    /// The machine's deadline passed.
    Ticked,
}

/// What the host shall do with an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Send the order to the run `incarnation` of its engine.
    Send {
        order: Order,
        stamp: Stamp,
        incarnation: u64,
    },
    /// Ask the engine what it holds.
    Inspect { endpoint: String, stamp: Stamp },
}

//! What a steward is told and what it tells its host to do.

use serde::{Deserialize, Serialize};

use super::{Directive, View};

/// What happened to a steward.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A gateway is about to use an adapter; `call` is unique in this run.
    Requested {
        call: u64,
        /// The engine as the gateway knows it.
        endpoint: &'a str,
        model: &'a str,
        adapter: &'a str,
        /// How many adapters the engine holds at most.
        slots: usize,
    },
    /// The gateway beside the leader of `term` orders a step of the placement.
    Directed {
        call: u64,
        term: u64,
        directive: &'a Directive,
    },
    /// The gateway gave up.
    Cancelled { call: u64 },
    /// The engine told what it holds; `None` if it did not answer.
    Inspected { view: Option<&'a View> },
    /// An order ended.
    Ordered { outcome: Outcome },
    /// The machine's deadline passed.
    Ticked,
}

/// How the engine took an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It is being carried out, or holds already.
    Accepted,
    /// It is not carried out.
    Refused,
    /// No usable answer: it may be carried out, now or later.
    Lost,
}

/// What a steward's host shall do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Ask the engine what it holds.
    Inspect,
    /// Send an order to the engine. It takes effect only if the engine has
    /// accepted exactly `expected` orders before.
    Order { order: Order, expected: u64 },
    /// Answer a gateway whether its step is, or is being, carried out.
    Conclude { call: u64, accepted: bool },
    /// Answer a gateway with the adapters that the engine holds.
    Answer { call: u64, adapters: Vec<String> },
}

/// A change of what an engine holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The engine that it is meant for; after a restart it has another id.
    pub endpoint: String,
    /// What to do.
    pub action: Action,
    /// The model.
    pub model: String,
    /// The adapter of the model; `None` for the model itself.
    pub adapter: Option<String>,
}

impl Order {
    /// The adapter that it is about, as MODEL/NAME; none if it is about a model.
    #[must_use]
    pub fn adapter_name(&self) -> Option<String> {
        let adapter = self.adapter.as_ref()?;
        Some(format!("{}/{adapter}", self.model))
    }
}

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Load weights.
    Load,
    /// Unload weights.
    Unload,
}

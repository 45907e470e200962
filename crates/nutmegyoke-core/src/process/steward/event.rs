//! Inputs and outputs of the steward's state machine.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{Answer, Ask, Directive, Load, View};
use crate::process::origin::{Build, Stream};

/// An input of the steward.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A gateway is about to use an adapter. `call` is unique within one run of the
    /// process.
    Requested {
        call: u64,
        /// The id of the engine as known to the gateway.
        endpoint: &'a str,
        model: &'a str,
        adapter: &'a str,
        /// Maximum number of adapters on the engine.
        adapter_capacity: usize,
    },
    /// The gateway beside the replica that leads in `term` sent a directive of the
    /// placement.
    Directed {
        call: u64,
        term: u64,
        directive: &'a Directive,
    },
    /// The gateway no longer waits for the answer to `call`.
    Cancelled { call: u64 },
    /// The engine answered an inspection; `None` if it did not answer.
    Inspected { view: Option<&'a View> },
    /// The engine answered an order, or did not.
    Ordered { outcome: Outcome },
    /// A gateway asks whether a request may be sent to the engine.
    Asked {
        call: u64,
        /// The id of the engine as known to the gateway, and when it started, as it says itself.
        endpoint: &'a str,
        started_ms: u64,
        ask: Ask<'a>,
    },
    /// The engine reported its load; `None` if it did not in time.
    Reported { load: Option<&'a Load> },
    /// The machine's deadline passed.
    Ticked,
    /// A gateway tells which build began a stream.
    OriginNoted { stream: Stream, build: Build },
}

/// Why a gateway gets no answer whether a request may be sent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Unanswered {
    /// The engine did not report its load.
    #[display("the engine's load is not known")]
    LoadUnknown,
    /// The steward is beside a later start of the engine, or beside another engine.
    #[display("the steward is beside another endpoint, or a later start of this one")]
    OtherEndpoint,
}

/// The engine's response to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The order is being executed, or the engine is in that state already.
    Accepted,
    /// The order is not executed.
    Refused,
    /// The order is not executed, because the engine has seen a higher fencing number.
    Fenced,
    /// No usable answer: the order may be executed, now or later.
    Lost,
}

/// An action for the steward's host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Request the engine's contents and state, and feed [`Event::Inspected`].
    Inspect,
    /// Send an order to the engine, and feed [`Event::Ordered`]. The engine executes the
    /// order only if it has accepted exactly `expected` orders before and, if it checks fences,
    /// has seen no number higher than `fence`.
    Order {
        order: Order,
        expected: u64,
        fence: u64,
    },
    /// Answer a gateway whether its directive has been or is being executed.
    AnswerDirective { call: u64, accepted: bool },
    /// Request the engine's load, and feed [`Event::Reported`]. At most one is requested at a
    /// time.
    Report,
    /// Answer [`Event::Asked`].
    AnswerAsk {
        call: u64,
        answer: Result<Answer, Unanswered>,
    },
    /// Answer a gateway with the adapters loaded on the engine, as MODEL/NAME.
    AnswerRequest { call: u64, adapters: Vec<String> },
}

/// A change to the contents of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The id of the engine, which changes when the engine restarts.
    pub endpoint: String,
    /// Whether to load or unload.
    pub action: Action,
    /// The name of the model.
    pub model: String,
    /// The name of the model's adapter; `None` for the model itself.
    pub adapter: Option<String>,
}

impl Order {
    /// The adapter as MODEL/NAME; `None` if the order concerns a model.
    #[must_use]
    pub fn adapter_name(&self) -> Option<String> {
        let adapter = self.adapter.as_ref()?;
        Some(format!("{}/{adapter}", self.model))
    }
}

/// The effect of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Load weights.
    Load,
    /// Unload weights.
    Unload,
}

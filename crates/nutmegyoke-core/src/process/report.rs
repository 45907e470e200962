//! What an engine's memory holds, as engine, agent and control tell each other.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::order::{Fence, Stage, Stamp, Weights};

/// The fixed properties of an engine that its announcement gives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Capacity {
    /// Accelerator memory, in bytes.
    pub bytes: u64,
    /// The part that stays free of weights for KV cache, in bytes.
    pub floor: u64,
    /// Whether the engine refuses orders with an old fence.
    pub fencing: Fencing,
    /// Identifies the run of the engine; a restarted engine may hold other weights.
    pub incarnation: u64,
}

/// Whether an engine checks fences.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Fencing {
    /// Refuses an order that is older than one it has seen.
    Checked,
    /// Carries out every order that reaches it.
    Ignored,
}

/// What an engine holds, as the engine itself says.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Inventory {
    /// The run of the engine.
    pub incarnation: u64,
    /// The newest stamp that the engine has seen, the inspection's included.
    pub newest: Stamp,
    /// The stage that it runs.
    pub stage: Stage,
    /// The weights in its memory.
    pub contents: Vec<Content>,
}

/// Weights in an engine's memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Content {
    /// Which weights.
    pub weights: Weights,
    /// The memory that they take, in bytes.
    pub bytes: u64,
}

/// The state of a reservation in an agent's ledger.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// A load was ordered and is not confirmed.
    Loading,
    /// In memory and in use.
    Resident,
    /// No new request may use it; an unload follows or is not confirmed.
    Unloading,
    /// An order was lost: an inventory has to settle it.
    Unknown,
}

/// A reservation as an agent reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Reservation {
    /// Which weights.
    pub weights: Weights,
    /// The memory reserved, in bytes.
    pub bytes: u64,
    /// The state.
    pub state: State,
}

/// Requests for a model since the agent started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Demand {
    /// The name of the model or adapter, as callers give it.
    pub name: String,
    /// Requests counted.
    pub requests: u64,
}

/// What an agent reports of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Report {
    /// The name of the engine on its VM.
    pub endpoint: String,
    /// Memory for weights, free or reserved, in bytes; the floor is taken off.
    pub bytes: u64,
    /// The newest fence that the agent has seen for this engine.
    pub fence: Fence,
    /// Whether an inventory has settled the ledger since the agent started.
    pub settled: bool,
    /// The stage that the engine runs.
    pub stage: Stage,
    /// The reservations; `None` stands for those of the report before.
    pub reservations: Option<Vec<Reservation>>,
    /// Requests by model or adapter, where they changed.
    pub demand: Vec<Demand>,
}

/// Leaves out of an agent's reports what its last ones said already.
#[derive(Clone, Debug, Default)]
pub struct Deduplicator {
    last: BTreeMap<String, Report>,
}

impl Deduplicator {
    /// Forgets what was reported: the next reports are whole.
    pub fn reset(&mut self) {
        self.last.clear();
    }

    /// Shortens whole reports by what the last ones said.
    pub fn deduplicate(&mut self, reports: Vec<Report>) -> Vec<Report> {
        let shortened = reports.iter().map(|report| self.shorten(report)).collect();
        let named = reports.into_iter();
        self.last = named
            .map(|report| (report.endpoint.clone(), report))
            .collect();
        shortened
    }

    fn shorten(&self, report: &Report) -> Report {
        let mut short = report.clone();
        if let Some(last) = self.last.get(&report.endpoint) {
            if last.reservations == report.reservations {
                short.reservations = None;
            }
            short.demand.retain(|row| !last.demand.contains(row));
        }
        short
    }
}

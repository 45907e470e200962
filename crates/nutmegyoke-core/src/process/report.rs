//! The content of an engine's memory, as reported by the engine to the agent and by the agent
//! to control.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::order::{Fence, Stage, Stamp, Weights};

/// The fixed properties of an engine from its announcement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Capacity {
    /// The accelerator memory, in bytes.
    pub bytes: u64,
    /// The part of the memory that is reserved for the KV cache, in bytes.
    pub floor: u64,
    /// Whether the engine refuses outdated orders.
    pub fencing: Fencing,
    /// The run of the engine. A restarted engine may hold other weights.
    pub incarnation: u64,
}

/// Whether an engine checks the stamps of orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Fencing {
    /// Refuses an order that is older than one it has received.
    Checked,
    /// Executes all orders that it receives.
    Ignored,
}

/// The content of an engine's memory as reported by the engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Inventory {
    /// The run of the engine.
    pub incarnation: u64,
    /// The newest stamp that the engine has received, including the one of the inspection.
    pub newest: Stamp,
    /// The stage that the engine runs.
    pub stage: Stage,
    /// The weights in its memory.
    pub contents: Vec<Content>,
}

/// Weights in an engine's memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Content {
    /// The weights.
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
    /// A load was ordered but is not confirmed yet.
    Loading,
    /// The weights are in memory and can be used.
    Resident,
    /// New requests must not use the weights; an unload is planned or not confirmed yet.
    Unloading,
    /// Whether the engine holds the weights is not known: an order got no valid answer, a
    /// duplicate of one may still arrive, or the engine restarted or does not list them.
    /// An inventory resolves it.
    Unknown,
}

/// A reservation as an agent reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Reservation {
    /// The weights.
    pub weights: Weights,
    /// The reserved memory, in bytes.
    pub bytes: u64,
    /// The state of the reservation.
    pub state: State,
}

/// The number of requests for a model or adapter since the agent started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Demand {
    /// The name of the model or adapter in callers' requests.
    pub name: String,
    /// The number of requests.
    pub requests: u64,
}

/// An agent's report on one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Report {
    /// The name of the engine on its VM.
    pub endpoint: String,
    /// The memory for weights, free or reserved, in bytes; [`Capacity::floor`] is subtracted.
    pub bytes: u64,
    /// The newest fencing token that the agent has received for this engine.
    pub fence: Fence,
    /// Whether an inventory has confirmed the ledger since the agent or the engine started.
    pub settled: bool,
    /// The stage that the engine runs.
    pub stage: Stage,
    /// The reservations; `None` if they are the same as in the previous report.
    pub reservations: Option<Vec<Reservation>>,
    /// The demand for models and adapters where it has changed.
    pub demand: Vec<Demand>,
}

/// Omits from an agent's reports what is unchanged since its previous reports.
#[derive(Clone, Debug, Default)]
pub struct Deduplicator {
    last: BTreeMap<String, Report>,
}

impl Deduplicator {
    /// Forgets the previous reports, so that the next ones are complete.
    pub fn reset(&mut self) {
        self.last.clear();
    }

    /// Returns the reports without what is unchanged, and remembers the complete ones.
    pub fn deduplicate(&mut self, reports: Vec<Report>) -> Vec<Report> {
        let shortened = reports.iter().map(|report| self.shorten(report)).collect();
        let named = reports.into_iter();
        self.last = named
            .map(|report| (report.endpoint.clone(), report))
            .collect();
        shortened
    }

    /// Returns the report without what is unchanged.
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

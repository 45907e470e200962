//! Numbered log events; docs/EVENTS.md is their catalogue.

use std::net::SocketAddr;

use nutmegyoke_core::process::endpoint::Phase;
use nutmegyoke_core::process::gateway::{Basis, Halt};
use nutmegyoke_core::process::member::Role;
use nutmegyoke_core::process::{Order, Vm, steward};
use nutmegyoke_core::request::{Id, Reason, Verdict};
use serde::Serialize;
use spdlog::Level;
use strum::{EnumDiscriminants, EnumIter};

use super::log;
use crate::request::passthrough::Attempt;

/// Something worth a line in the log.
#[derive(Clone, Debug, Serialize, EnumDiscriminants)]
#[serde(
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case",
    tag = "event"
)]
#[strum_discriminants(name(Kind), derive(EnumIter))]
pub enum Event<'a> {
    /// The process runs.
    Started {
        role: Role,
        vm: &'a Vm,
        listen: SocketAddr,
        operators: SocketAddr,
    },
    /// The process was asked to stop and finishes what is in flight.
    Draining { in_flight: usize },
    /// The drain limit passed, or a second signal came: what was in flight is cut off.
    CutOff { cut_off: usize, why: &'a str },
    /// The process ends.
    Stopped,
    /// The settings were read again; `why` they were not taken, if so.
    Reloaded { why: &'a str },
    /// Log lines were dropped, because their reader was slow.
    LinesDropped { dropped: u64 },
    /// A newer configuration is in force in this process.
    Configured { number: u64 },
    /// An operator's configuration was accepted.
    Accepted { number: u64, digest: u64 },
    /// An operator's configuration was not accepted.
    Rejected { number: u64, why: &'a str },
    /// A request ended without a whole answer.
    Refused { request: Option<Id>, reason: Reason },
    /// No control process answers.
    ControlLost { why: &'a str },
    /// A control process answers again.
    ControlFound { address: SocketAddr },
    /// A connection ended with an error.
    ConnectionFailed { peer: SocketAddr, why: &'a str },
    /// The process keeps its state in memory only.
    Volatile,
    /// The journal's disk is full.
    DiskFull { why: &'a str },
    /// The journal can't be written any more.
    JournalFailed { why: &'a str },
    /// An endpoint announced itself for the first time.
    Announced { name: &'a str, address: SocketAddr },
    /// An operator withdrew an endpoint or put it back.
    Withdrawn { name: &'a str, withdrawn: bool },
    /// An engine carried an order out.
    OrderDone { order: &'a Order },
    /// An engine did not confirm an order.
    OrderLost { order: &'a Order, why: &'a str },
    /// A request that is passed through was sent to an endpoint.
    Attempted {
        request: &'a str,
        endpoint: &'a str,
        #[serde(flatten)]
        basis: Basis,
    },
    /// An attempt to have an endpoint answer a request failed.
    AttemptFailed {
        request: &'a str,
        endpoint: &'a str,
        #[serde(flatten)]
        verdict: Verdict,
        /// From the attempt's beginning to its end, in milliseconds.
        elapsed_ms: u64,
    },
    /// A request waits, because no endpoint takes it yet.
    PutOff { request: &'a str },
    /// The steward of the chosen engine was asked for an adapter.
    Prepared {
        request: &'a str,
        endpoint: &'a str,
        adapter: &'a str,
        /// Whether the steward answered that the engine holds it.
        held: bool,
        /// How long the steward took, in milliseconds.
        elapsed_ms: u64,
    },
    /// A request that was passed through ended.
    Passed {
        request: &'a str,
        host: &'a str,
        path: &'a str,
        model: &'a str,
        /// The endpoint of the last attempt.
        endpoint: &'a str,
        attempts: u32,
        verdict: Verdict,
        /// Why it was not tried again, if it failed.
        #[serde(skip_serializing_if = "Option::is_none")]
        halt: Option<Halt>,
        /// From its arrival to the beginning of the answer, in milliseconds.
        #[serde(skip_serializing_if = "Option::is_none")]
        first_ms: Option<u64>,
        /// From its arrival to its end, in milliseconds.
        elapsed_ms: u64,
        /// Its attempts, where it failed or was slow.
        #[serde(skip_serializing_if = "<[Attempt]>::is_empty")]
        trail: &'a [Attempt],
    },
    /// Lines on requests that went well were not written, because there were too many.
    LinesWithheld { withheld: u64 },
    /// A routing document was acknowledged; `held` is the number in force.
    Published { number: u64, held: u64 },
    /// An endpoint without an agent was heard of for the first time, or says
    /// something else of itself than before.
    EndpointHeard {
        id: &'a str,
        address: SocketAddr,
        phase: Phase,
        born: u64,
    },
    /// An endpoint without an agent signed off.
    EndpointLeft { id: &'a str },
    /// The steward beside an engine did not answer.
    StewardSilent { address: SocketAddr, why: &'a str },
    /// The engine beside a steward was sent an order.
    EngineOrdered {
        model: &'a str,
        adapter: Option<&'a str>,
        load: bool,
        expected: u64,
        outcome: steward::Outcome,
        why: &'a str,
    },
    /// The replica beside this gateway leads in `term`, or no longer leads.
    Leads { term: Option<u64> },
    /// The leader orders a step of the placement.
    Placing {
        endpoint: &'a str,
        term: u64,
        load: &'a str,
        unload: &'a [String],
        /// The part of an engine's reading speed that the demand for the model takes.
        share: f64,
        /// The copies that there are, or are coming.
        copies: usize,
    },
    /// A steward answered whether it takes a step of the placement.
    Placed {
        endpoint: &'a str,
        term: u64,
        load: &'a str,
        unload: &'a [String],
        accepted: bool,
        why: &'a str,
    },
    /// The engine beside a steward did not say what it holds.
    EngineSilent { why: &'a str },
    /// An endpoint's announcement was refused.
    AnnouncementRefused { why: &'a str },
}

impl Kind {
    /// The number under which the catalogue describes events of this kind.
    #[must_use]
    pub fn number(self) -> u32 {
        match self {
            Self::Started => 100,
            Self::Draining => 101,
            Self::Stopped => 102,
            Self::LinesDropped => 104,
            Self::Reloaded => 105,
            Self::CutOff => 103,
            Self::Configured => 200,
            Self::Accepted => 201,
            Self::Rejected => 202,
            Self::Refused => 300,
            Self::ControlLost => 400,
            Self::ControlFound => 401,
            Self::ConnectionFailed => 402,
            Self::Volatile => 410,
            Self::DiskFull => 411,
            Self::JournalFailed => 412,
            Self::Announced => 500,
            Self::AnnouncementRefused => 501,
            Self::Withdrawn => 502,
            Self::OrderDone => 600,
            Self::OrderLost => 601,
            Self::LinesWithheld => 106,
            Self::Passed => 301,
            Self::Attempted => 302,
            Self::AttemptFailed => 303,
            Self::PutOff => 304,
            Self::Prepared => 305,
            Self::Published => 203,
            Self::EndpointHeard => 503,
            Self::EndpointLeft => 504,
            Self::StewardSilent => 403,
            Self::EngineOrdered => 602,
            Self::EngineSilent => 603,
            Self::Placed => 604,
            Self::Placing => 605,
            Self::Leads => 420,
        }
    }
}

impl Event<'_> {
    /// The number under which the catalogue describes the event.
    #[must_use]
    pub fn number(&self) -> u32 {
        Kind::from(self).number()
    }

    /// How much it matters.
    #[must_use]
    pub fn level(&self) -> Level {
        match self {
            Self::ControlLost { .. }
            | Self::CutOff { .. }
            | Self::Rejected { .. }
            | Self::OrderLost { .. }
            | Self::LinesDropped { .. }
            | Self::StewardSilent { .. }
            | Self::EngineSilent { .. }
            | Self::Volatile
            | Self::DiskFull { .. }
            | Self::AnnouncementRefused { .. } => Level::Warn,
            Self::JournalFailed { .. } => Level::Error,
            Self::Refused { .. } | Self::ConnectionFailed { .. } => Level::Debug,
            _ => Level::Info,
        }
    }

    /// Writes the event to the log.
    pub fn log(&self) {
        spdlog::log!(self.level(), "{}", log::line(self));
    }
}

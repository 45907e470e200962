//! Numbered log events; docs/EVENTS.md is their catalogue.

use std::net::SocketAddr;

use derive_more::Display;
use nutmegyoke_core::process::member::Role;
use nutmegyoke_core::process::{Order, Vm};
use nutmegyoke_core::request::{Id, Reason};
use spdlog::Level;
use strum::{EnumDiscriminants, EnumIter};

/// Something worth a line in the log.
#[derive(Clone, Debug, Display, EnumDiscriminants)]
#[strum_discriminants(name(Kind), derive(EnumIter))]
pub enum Event<'a> {
    /// The process runs.
    #[display("{role} {vm} listens on {listen}, operators on {operators}")]
    Started {
        role: Role,
        vm: &'a Vm,
        listen: SocketAddr,
        operators: SocketAddr,
    },
    /// The process was asked to stop and finishes what is in flight.
    #[display("draining: {in_flight} requests in flight")]
    Draining { in_flight: usize },
    /// The drain limit passed, or a second signal came: what was in flight is cut off.
    #[display("stopped before it was idle ({why}): {cut_off} requests cut off")]
    CutOff { cut_off: usize, why: &'a str },
    /// The process ends.
    #[display("stopped")]
    Stopped,
    /// A newer configuration is in force in this process.
    #[display("configuration {number} in force")]
    Configured { number: u64 },
    /// An operator's configuration was accepted.
    #[display("configuration {number} accepted, digest {digest:016x}")]
    Accepted { number: u64, digest: u64 },
    /// An operator's configuration was not accepted.
    #[display("configuration {number} not accepted: {why}")]
    Rejected { number: u64, why: &'a str },
    /// A request ended without a whole answer.
    #[display("request {} not answered: {reason}", request.map_or_else(|| "-".to_owned(), |id| id.to_string()))]
    Refused { request: Option<Id>, reason: Reason },
    /// No control process answers.
    #[display("no control process answers: {why}; serving on the last known state")]
    ControlLost { why: &'a str },
    /// A control process answers again.
    #[display("control process {address} answers")]
    ControlFound { address: SocketAddr },
    /// A connection ended with an error.
    #[display("connection of {peer} failed: {why}")]
    ConnectionFailed { peer: SocketAddr, why: &'a str },
    /// The process keeps its state in memory only.
    #[display("no data folder is set: the state ends with this process")]
    Volatile,
    /// The journal's disk is full.
    #[display("{why}; nothing is accepted until there is room")]
    DiskFull { why: &'a str },
    /// The journal can't be written any more.
    #[display("{why}; the process stops")]
    JournalFailed { why: &'a str },
    /// An endpoint announced itself for the first time.
    #[display("endpoint {name} at {address} announced itself")]
    Announced { name: &'a str, address: SocketAddr },
    /// An operator withdrew an endpoint or put it back.
    #[display("endpoint {name} {}", if *withdrawn { "withdrawn" } else { "put back" })]
    Withdrawn { name: &'a str, withdrawn: bool },
    /// An engine carried an order out.
    #[display("order {} done on {}: {}", order.fence, order.endpoint, order.action)]
    OrderDone { order: &'a Order },
    /// An engine did not confirm an order.
    #[display("order {} lost on {}: {}: {why}", order.fence, order.endpoint, order.action)]
    OrderLost { order: &'a Order, why: &'a str },
    /// An endpoint's announcement was refused.
    #[display("announcement refused: {why}")]
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
        }
    }
}

impl Event<'_> {
    /// The number under which the catalogue describes the event.
    #[must_use]
    pub fn number(&self) -> u32 {
        Kind::from(self).number()
    }

    fn level(&self) -> Level {
        match self {
            Self::ControlLost { .. }
            | Self::CutOff { .. }
            | Self::Rejected { .. }
            | Self::OrderLost { .. }
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
        spdlog::log!(self.level(), "NY{:04} {self}", self.number());
    }
}

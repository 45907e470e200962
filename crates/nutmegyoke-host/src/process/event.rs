//! Log events. Each kind has a stable number; docs/EVENTS.md is their catalogue.

use std::net::SocketAddr;

use nutmegyoke_core::process::account::Cause;
use nutmegyoke_core::process::endpoint::Phase;
use nutmegyoke_core::process::gateway::{Basis, Halt};
use nutmegyoke_core::process::member::Role;
use nutmegyoke_core::process::quarantine::Feature;
use nutmegyoke_core::process::{Order, Vm, steward};
use nutmegyoke_core::request::{Fingerprint, Id, Reason, Verdict};
use serde::Serialize;
use spdlog::Level;
use strum::{EnumDiscriminants, EnumIter};

use super::log;
use crate::request::passthrough::Attempt;

/// An event in the log, with the fields of its line.
#[derive(Clone, Debug, Serialize, EnumDiscriminants)]
#[serde(
    rename_all = "kebab-case",
    rename_all_fields = "kebab-case",
    tag = "event"
)]
#[strum_discriminants(name(Kind), derive(EnumIter))]
pub enum Event<'a> {
    /// The process has started.
    Started {
        role: Role,
        vm: &'a Vm,
        listen: SocketAddr,
        operators: SocketAddr,
    },
    /// The process is stopping and finishes the requests in flight.
    Draining { in_flight: usize },
    /// The process stopped with requests in flight, because the drain limit had passed
    /// or a second signal arrived.
    CutOff { cut_off: usize, why: &'a str },
    /// The process stopped with nothing in flight.
    Stopped,
    /// The settings were reloaded; `why` is the error, empty if there is none.
    Reloaded { why: &'a str },
    /// Log lines were dropped, because the reader of the log was too slow.
    LinesDropped { dropped: u64 },
    /// A newer configuration came into force in this process.
    Configured { number: u64 },
    /// An operator's configuration was accepted.
    Accepted { number: u64, digest: u64 },
    /// An operator's configuration was rejected.
    Rejected { number: u64, why: &'a str },
    /// A request ended without a complete answer.
    Refused { request: Option<Id>, reason: Reason },
    /// The control process that answered heartbeats no longer does.
    ControlLost { why: &'a str },
    /// A control process answers heartbeats, for the first time since the start or since
    /// [`Event::ControlLost`].
    ControlFound { address: SocketAddr },
    /// A connection ended with an error.
    ConnectionFailed { peer: SocketAddr, why: &'a str },
    /// Connections were closed or requests refused to stay within the machine, since the last line
    /// on this cause.
    ConnectionsEvicted {
        cause: Cause,
        count: u64,
        /// The memory held for connections, in bytes.
        held: usize,
        /// The number of open connections.
        open: usize,
    },
    /// A call to another process got no answer in time, the first on its connection.
    CallUnanswered {
        address: SocketAddr,
        timeout_ms: u64,
    },
    /// The process has no data folder and keeps its state in memory only.
    Volatile,
    /// The journal's disk is full.
    DiskFull { why: &'a str },
    /// A write to the journal failed, and the process stops.
    JournalFailed { why: &'a str },
    /// An endpoint announced itself for the first time.
    Announced { name: &'a str, address: SocketAddr },
    /// An operator withdrew an endpoint or put it back.
    Withdrawn { name: &'a str, withdrawn: bool },
    /// An engine carried out an order.
    OrderDone { order: &'a Order },
    /// An engine did not confirm an order.
    OrderLost { order: &'a Order, why: &'a str },
    /// A pass-through request was sent to an endpoint.
    Attempted {
        request: &'a str,
        endpoint: &'a str,
        /// What the choice of the endpoint was based on.
        #[serde(flatten)]
        basis: Basis,
    },
    /// An attempt of a pass-through request failed.
    AttemptFailed {
        request: &'a str,
        endpoint: &'a str,
        #[serde(flatten)]
        verdict: Verdict,
        /// The duration of the attempt, in milliseconds.
        elapsed_ms: u64,
    },
    /// A request was queued, because no endpoint can take it yet.
    PutOff { request: &'a str },
    /// The steward of the chosen engine was asked to load an adapter.
    Prepared {
        request: &'a str,
        endpoint: &'a str,
        adapter: &'a str,
        /// Whether the steward answered that the engine holds the adapter.
        held: bool,
        /// The duration of the call to the steward, in milliseconds.
        elapsed_ms: u64,
    },
    /// Requests with all of these prompt parts, or the one with this fingerprint, are refused from
    /// now on.
    Quarantined {
        /// The parts, in hexadecimal.
        parts: &'a [String],
        /// The fingerprint, in hexadecimal; empty if there is none.
        fingerprints: &'a [String],
        /// The number of crashes that they explain.
        crashes: usize,
        /// The time since the latest of these, in milliseconds.
        latest_ms: u64,
    },
    /// A pass-through request was refused because it crashes endpoints, see
    /// [`Event::Quarantined`].
    Withheld {
        request: &'a str,
        parts: &'a [String],
        fingerprints: &'a [String],
        crashes: usize,
        latest_ms: u64,
    },
    /// A pass-through request got no permit for an endpoint, because of the endpoint's limit.
    Throttled {
        request: &'a str,
        endpoint: &'a str,
        /// The time until the endpoint admits requests again, in milliseconds.
        retry_after_ms: u64,
    },
    /// A pass-through request is refused, because the quota of its tenant is used up.
    QuotaExceeded {
        request: &'a str,
        tenant: &'a str,
        /// The tokens, or requests, that it counts.
        units: u64,
        /// Those that the gateway had left.
        balance: u64,
        /// The gateway that denied the rest; `None` if it is this one.
        owner: Option<SocketAddr>,
        /// The time since it was asked, in milliseconds.
        age_ms: u64,
        /// How long the client should wait, in milliseconds.
        retry_after_ms: u64,
    },
    /// The owner of a tenant's quota did not answer, and another gateway is asked.
    OwnerSilent {
        tenant: &'a str,
        owner: SocketAddr,
        why: &'a str,
    },
    /// Endpoints are not told the names of some tenants of a routing document, because these hold
    /// control characters.
    TenantUnnameable {
        /// The number of the document.
        number: u64,
        /// The first of them.
        tenant: &'a str,
        /// How many there are.
        count: usize,
    },
    /// A pass-through request ended.
    Passed {
        request: &'a str,
        host: &'a str,
        path: &'a str,
        model: &'a str,
        /// The endpoint of the last attempt.
        endpoint: &'a str,
        attempts: u32,
        /// The number of the routing document in force; 0 if there is none.
        document: u64,
        verdict: Verdict,
        /// Why the request was not retried, if it failed.
        #[serde(skip_serializing_if = "Option::is_none")]
        halt: Option<Halt>,
        /// The time from its arrival to the beginning of its answer, in milliseconds.
        #[serde(skip_serializing_if = "Option::is_none")]
        first_ms: Option<u64>,
        /// The time from its arrival to its end, in milliseconds.
        elapsed_ms: u64,
        /// Its attempts, if it failed or was slow.
        #[serde(skip_serializing_if = "<[Attempt]>::is_empty")]
        trail: &'a [Attempt],
    },
    /// Lines on requests that succeeded were withheld by the rate limit of the log.
    LinesWithheld { withheld: u64 },
    /// An operator's routing document was acknowledged; `held` is the number of the
    /// document in force.
    Published { number: u64, held: u64 },
    /// A newer routing document came into force, fetched from another gateway because the log did
    /// not bring it in time.
    DocumentFetched {
        number: u64,
        /// The number of the document that was in force before, if there was one.
        previous: Option<u64>,
        gateway: SocketAddr,
    },
    /// A client takes a stream up whose build this gateway did not know.
    StreamTakenUp {
        request: &'a str,
        /// The processes that answered the question for it.
        answers: usize,
        /// Whether one of them knew it.
        known: bool,
    },
    /// A newer routing document is known, but the gateway lacks it, and its own one was last known
    /// to be the newest too long ago to be obeyed.
    DocumentOutdated {
        number: u64,
        newer: u64,
        /// The time since then; `None` if it never was.
        age_ms: Option<u64>,
    },
    /// An endpoint without an agent announced itself for the first time, or with other
    /// properties than before.
    EndpointHeard {
        id: &'a str,
        address: SocketAddr,
        phase: Phase,
        /// When the endpoint started, in milliseconds since the Unix epoch.
        born: u64,
    },
    /// An endpoint without an agent announced itself for a service that the routing document does
    /// not name, for the first time or after another start. It is not listed.
    EndpointHeldBack {
        id: &'a str,
        address: SocketAddr,
        service: &'a str,
    },
    /// An endpoint without an agent signed off.
    EndpointLeft { id: &'a str },
    /// An endpoint crashed while it had requests that may have caused it.
    EndpointCrashed {
        id: &'a str,
        /// When the endpoint had started, in milliseconds since the Unix epoch.
        born: u64,
        /// The number of this gateway's requests that may have caused the crash.
        suspects: usize,
        /// The shared prompt parts of the first of them, in hexadecimal.
        parts: &'a [Vec<String>],
        /// The fingerprints of the first of them, in hexadecimal.
        fingerprints: &'a [String],
    },
    /// An endpoint began to limit its requests; `rate` is in requests a second, `None` when
    /// the limit ended.
    LimitChanged { id: &'a str, rate: Option<f64> },
    /// An endpoint gets no requests for a time, because more of its requests fail than at the other
    /// endpoints of its service.
    EndpointEjected {
        id: &'a str,
        /// The share of its requests that fails, in percent.
        failing_percent: f64,
        ejected_ms: u64,
    },
    /// An endpoint named a limit that is not a number that is 0 or more.
    LimitMalformed { id: &'a str },
    /// An endpoint said in an answer that it leaves.
    EndpointLeaving { id: &'a str },
    /// An endpoint wants no requests from this gateway for a time.
    EndpointPaused { id: &'a str, pause_ms: u64 },
    /// An endpoint's statement about its departure or a pause could not be read, or the pause was
    /// cut to the longest one.
    SignalMalformed { id: &'a str },
    /// The steward of an engine did not answer.
    StewardSilent { address: SocketAddr, why: &'a str },
    /// The steward sent an order to its engine.
    EngineOrdered {
        model: &'a str,
        adapter: Option<&'a str>,
        /// Whether the order is to load; otherwise it is to unload.
        load: bool,
        /// The number of accepted orders at which the engine carries this one out.
        expected: u64,
        outcome: steward::Outcome,
        why: &'a str,
    },
    /// The replica of this gateway leads in `term`; `None` if it no longer leads.
    Leads { term: Option<u64> },
    /// The replica of this gateway has these voters in its membership.
    Voters { names: &'a [String] },
    /// The replica no longer leads, because a majority has not answered within the lease.
    LeaseLost {
        /// The size of what was sent and is not acknowledged, in bytes.
        unacknowledged_bytes: usize,
        /// How late this was noticed, in milliseconds: the process was paused or busy.
        late_ms: u64,
    },
    /// The replica leads by the votes of half of the voters and gives the seat of one whose disk
    /// was lost to the new replica of its VM, of this name.
    VoterReseated { name: &'a str },
    /// A replica that votes has asked to leave the membership, because its process stops.
    VoterLeft { left: bool },
    /// The leader directed a steward to load a model, after unloading others for it.
    Placing {
        endpoint: &'a str,
        term: u64,
        load: &'a str,
        unload: &'a [String],
        /// The demand for the model as a fraction of an engine's prefill throughput.
        share: f64,
        /// The number of copies of the model that are loaded or being loaded.
        copies: usize,
    },
    /// A steward answered the directive that [`Event::Placing`] logged; `why` is the error
    /// if the call failed, empty otherwise.
    Placed {
        endpoint: &'a str,
        term: u64,
        load: &'a str,
        unload: &'a [String],
        accepted: bool,
        why: &'a str,
    },
    /// The steward's inspection of its engine failed.
    EngineSilent { why: &'a str },
    /// An endpoint's announcement was refused.
    AnnouncementRefused { why: &'a str },
    /// An engine has no room for a pass-through request, as its steward answered or, without an
    /// answer, as the gateway knows.
    AdmissionDeclined {
        request: &'a str,
        endpoint: &'a str,
        /// The expected time until it starts, in milliseconds.
        start_ms: u64,
    },
    /// A pass-through request is refused, because no engine is expected to start it in time.
    RefusedEarly {
        request: &'a str,
        /// The expected time until it starts, in milliseconds.
        start_ms: u64,
        /// When it had to start at the latest, in milliseconds.
        limit_ms: u64,
    },
    /// The steward of a busy engine did not answer whether there is room for a request.
    AdmissionUnanswered { address: SocketAddr, why: &'a str },
    /// The engine did not report its load to its steward.
    LoadUnknown { why: &'a str },
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
            Self::Quarantined => 306,
            Self::Withheld => 307,
            Self::Published => 203,
            Self::DocumentFetched => 204,
            Self::DocumentOutdated => 205,
            Self::StreamTakenUp => 309,
            Self::EndpointHeard => 503,
            Self::EndpointLeft => 504,
            Self::EndpointCrashed => 505,
            Self::LimitChanged => 506,
            Self::LimitMalformed => 507,
            Self::EndpointLeaving => 508,
            Self::EndpointPaused => 509,
            Self::SignalMalformed => 510,
            Self::EndpointHeldBack => 511,
            Self::Throttled => 308,
            Self::StewardSilent => 403,
            Self::CallUnanswered => 404,
            Self::EngineOrdered => 602,
            Self::EngineSilent => 603,
            Self::Placed => 604,
            Self::Placing => 605,
            Self::Leads => 420,
            Self::VoterLeft => 421,
            Self::Voters => 422,
            Self::LeaseLost => 423,
            Self::VoterReseated => 424,
            Self::QuotaExceeded => 430,
            Self::OwnerSilent => 431,
            Self::TenantUnnameable => 432,
            Self::AdmissionDeclined => 440,
            Self::RefusedEarly => 441,
            Self::AdmissionUnanswered => 442,
            Self::LoadUnknown => 443,
            Self::ConnectionsEvicted => 460,
            Self::EndpointEjected => 450,
        }
    }
}

impl Event<'_> {
    /// The number under which the catalogue describes the event.
    #[must_use]
    pub fn number(&self) -> u32 {
        Kind::from(self).number()
    }

    /// The log level of the event.
    #[must_use]
    pub fn level(&self) -> Level {
        match self {
            Self::ControlLost { .. }
            | Self::CutOff { .. }
            | Self::Rejected { .. }
            | Self::OrderLost { .. }
            | Self::LinesDropped { .. }
            | Self::StewardSilent { .. }
            | Self::CallUnanswered { .. }
            | Self::DocumentFetched { .. }
            | Self::DocumentOutdated { .. }
            | Self::EngineSilent { .. }
            | Self::EndpointCrashed { .. }
            | Self::Quarantined { .. }
            | Self::LimitMalformed { .. }
            | Self::SignalMalformed { .. }
            | Self::EndpointHeldBack { .. }
            | Self::LeaseLost { .. }
            | Self::VoterReseated { .. }
            | Self::OwnerSilent { .. }
            | Self::TenantUnnameable { .. }
            | Self::AdmissionUnanswered { .. }
            | Self::LoadUnknown { .. }
            | Self::ConnectionsEvicted { .. }
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

/// The identifiers of prompt parts, as clients write them.
pub(crate) fn part_names(features: &[Feature]) -> Vec<String> {
    let parts = features.iter().filter_map(|feature| match feature {
        Feature::Part(part) => Some(format!("{part:x}")),
        Feature::Request(_) => None,
    });
    parts.collect()
}

/// The fingerprints among `features`, in hexadecimal.
pub(crate) fn fingerprints(features: &[Feature]) -> Vec<String> {
    let requests = features.iter().filter_map(|feature| match feature {
        Feature::Request(Fingerprint(fingerprint)) => Some(format!("{fingerprint:016x}")),
        Feature::Part(_) => None,
    });
    requests.collect()
}

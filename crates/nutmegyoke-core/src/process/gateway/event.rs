//! What a gateway is told and what it tells its host to do.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;

use super::basis::Basis;
use super::demand::Work;
use crate::process::placement::Step;
use crate::process::registry::{Announcement, Rumor};
use crate::request::{Passthrough, Verdict};
use crate::version::routing::Pool;
use crate::version::{Model, Routing};

/// What happened to a gateway. `call` is unique in this run.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A client sent a request.
    Arrived { call: u64, passage: Passthrough<'a> },
    /// The steward of the chosen engine answered; the names of the adapters that
    /// the engine holds, `None` if it did not say.
    Prepared {
        call: u64,
        adapters: Option<&'a [String]>,
    },
    /// The endpoint began to answer, and the answer is passed on from now.
    Begun { call: u64 },
    /// More of the answer came.
    Progressed { call: u64 },
    /// An attempt ended.
    Settled { call: u64, verdict: Verdict },
    /// The client closed its connection.
    Left { call: u64 },
    /// Another routing document is in force.
    Configured { routing: &'a Rc<Routing> },
    /// An endpoint's heartbeat came.
    Heard { announcement: &'a Announcement },
    /// An endpoint signed off.
    SignedOff { id: &'a str },
    /// Another gateway, of the run `from`, told what it heard and what work it causes.
    Told {
        from: u64,
        rumors: &'a [Rumor],
        work: &'a Work,
    },
    /// The other gateways, by the address at which they take rumors.
    Listed { gateways: &'a [SocketAddr] },
    /// A message to another gateway ended; `run` is the run that took it in.
    Spread { to: SocketAddr, run: Option<u64> },
    /// The term in which the replica beside this gateway leads, if it does, and the
    /// demand for models that was recorded last, in prompt tokens per second.
    Led {
        term: Option<u64>,
        demand: &'a [(Model, f64)],
    },
    /// The steward of `endpoint` answered whether it loads `model`.
    Placed {
        endpoint: &'a str,
        model: &'a Model,
        accepted: bool,
    },
    /// The machine's deadline passed.
    Ticked,
}

/// What a gateway's host shall do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Have the steward of `endpoint` load an adapter, then report.
    Prepare {
        call: u64,
        endpoint: Rc<Announcement>,
        model: String,
        adapter: String,
        /// How many adapters the engine holds at most.
        slots: u32,
    },
    /// Tell the steward of `endpoint` that an adapter is in use; needs no report.
    Touch {
        endpoint: Rc<Announcement>,
        model: String,
        adapter: String,
        /// How many adapters the engine holds at most.
        slots: u32,
    },
    /// Send the request to an endpoint.
    Dispatch {
        call: u64,
        endpoint: Rc<Announcement>,
        /// How long the endpoint may work on it.
        patience: Duration,
        /// Its precedence at the endpoint; 0 is the most urgent.
        rank: u8,
        /// Whether the answer is a stream of events.
        streams: bool,
        /// The time to the answer, or to its first part, that is aimed for.
        objective: Duration,
        /// Why this endpoint was chosen.
        basis: Basis,
    },
    /// The request waits for an endpoint.
    PutOff { call: u64 },
    /// Answer that the request failed, and abandon an attempt that is under way.
    Refuse { call: u64, refusal: Refusal },
    /// Break off an answer that is being passed on.
    Cancel { call: u64 },
    /// Tell another gateway what it lacks, and what work this one causes.
    Spread {
        to: SocketAddr,
        rumors: Vec<Rumor>,
        work: Work,
    },
    /// Have the steward of an engine change which models it holds, then report.
    Place {
        endpoint: Rc<Announcement>,
        term: u64,
        step: Step,
        pool: Rc<Pool>,
    },
    /// Record the demand for models, for the leader after this one.
    Record { demand: Rc<[(Model, f64)]> },
    /// Attempts were repeated or could have been; for the counters.
    Retried { verdict: Verdict, allowed: bool },
}

/// Why a request failed, for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request may have run, and the reason.
    pub verdict: Verdict,
    /// When it may be worth to try again; only where it has not run.
    pub retry_after: Option<Duration>,
    /// Why it was not tried again.
    pub halt: Halt,
}

/// Why a request is not tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Halt {
    /// Nothing could be tried: it is not allowed, or nothing takes it.
    Untried,
    /// It may have run, and must not run twice.
    OnceOnly,
    /// As many endpoints were tried as may be.
    TriesUsed,
    /// The time left is too short.
    OutOfTime,
    /// All gateways together repeat as many requests as they may.
    BudgetUsed,
    /// No other endpoint takes it.
    NoOther,
}

//! The events that a gateway handles, and the commands that it gives its host.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::allotment;
use super::basis::Basis;
use super::demand::{Summary, Work};
use super::resumption;
use crate::process::DataCentre;
use crate::process::balance::Ejection;
use crate::process::placement::Step;
use crate::process::quarantine::{Crash, Culprit, Evidence};
use crate::process::registry::gossip::Link;
use crate::process::registry::{Announcement, Key, Rumor};
use crate::process::signal::Signal;
use crate::process::steward::admission;
use crate::process::throttle::Permit;
use crate::request::{Passthrough, Verdict};
use crate::version::routing::{Caller, Pool};
use crate::version::{Model, Routing};

/// An event at a gateway. `call` numbers a request, uniquely in this run of the process.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A client's request arrived.
    Arrived { call: u64, request: Passthrough<'a> },
    /// The steward of the chosen engine answered with the adapters that the engine holds,
    /// each as MODEL/NAME; `None` if the call failed or timed out.
    Prepared {
        call: u64,
        adapters: Option<&'a [String]>,
    },
    /// The steward of a busy engine answered [`Command::AskAdmission`]; `None` if it did not
    /// answer in time.
    AdmissionAnswered {
        call: u64,
        answer: Option<&'a admission::Answer>,
    },
    /// The endpoint began to answer, and the answer is being sent to the client.
    AnswerStarted { call: u64 },
    /// Another part of the answer came.
    Progressed { call: u64 },
    /// The endpoint's answer begins; `signal` is what it says of the endpoint.
    Replied {
        call: u64,
        /// The start of the endpoint that the request was sent to, in milliseconds since the Unix
        /// epoch.
        started_ms: u64,
        signal: Signal,
    },
    /// Another gateway asks for a permit to send a request to an endpoint that this gateway
    /// owns. `rate` is the limit as the other knows it.
    PermitAsked {
        call: u64,
        endpoint: &'a str,
        rate: f64,
        max_wait: Duration,
    },
    /// The owner of an endpoint answered [`Command::Admit`]; `None` if it did not answer in
    /// time.
    Admitted {
        call: u64,
        owner: SocketAddr,
        permit: Option<Permit>,
    },
    /// An event about the builds of streams.
    Resumption(resumption::Event<'a>),
    /// An event about the allotments of tenants.
    Allotment(allotment::Event<'a>),
    /// The current attempt ended.
    AttemptEnded { call: u64, verdict: Verdict },
    /// The client disconnected.
    Disconnected { call: u64 },
    /// Another routing document is in force.
    Configured { routing: &'a Rc<Routing> },
    /// An endpoint sent its heartbeat.
    Announced { announcement: &'a Announcement },
    /// An endpoint signed off.
    SignedOff { id: &'a str },
    /// Another gateway tells its data centre; `gateway` is where it receives gossip, `run` the
    /// run of its process.
    Introduced {
        gateway: SocketAddr,
        run: u64,
        data_centre: &'a DataCentre,
    },
    /// Another gateway sent gossip; `from` is the run of its process.
    Gossiped { from: u64, message: &'a Message },
    /// Another gateway has a routing document in force; `gateway` is where it receives gossip.
    DocumentHeard { gateway: SocketAddr, number: u64 },
    /// The document with this number is in force elsewhere, but can't be decoded here.
    DocumentSkipped { number: u64 },
    /// [`Command::RenewLease`] was carried out: the number of the newest routing document, and a
    /// time at which it was that; `None` if no leader answered.
    LeaseAnswered { newest: Option<(u64, Instant)> },
    /// The leader was asked for the number of the newest routing document, which is now in force
    /// here if it could be fetched; 0 if there is none, `None` if no leader answered.
    Confirmed { newest: Option<u64> },
    /// The list of the other gateways may have changed. Each is given by the address where
    /// it receives gossip.
    PeersListed { gateways: &'a [SocketAddr] },
    /// A gossip message ended; `run` is the run of the process that received it, `None` if
    /// it may be lost.
    Delivered { to: SocketAddr, run: Option<u64> },
    /// Another gateway answered a gossip message.
    Answered {
        gateway: SocketAddr,
        answer: &'a Answer,
    },
    /// The leader or its term may have changed. `term` is that of the replica beside this
    /// gateway if it leads; `leader` is where the gateway beside the leader receives gossip, if
    /// that is known; `demand` was recorded last, in prompt tokens per second.
    LeadershipChanged {
        term: Option<u64>,
        leader: Option<SocketAddr>,
        demand: &'a [(Model, f64)],
    },
    /// The steward of `endpoint` answered whether it will load `model`.
    Placed {
        endpoint: &'a str,
        model: &'a Model,
        accepted: bool,
    },
    /// A probe of an endpoint ended. `started_ms` is the start of the endpoint that was
    /// probed; `refused` whether its address refused the connection.
    Probed {
        endpoint: &'a str,
        started_ms: u64,
        refused: bool,
    },
    /// The gateway begins to stop. It accepts connections until `listening_until`; at `ends_at`
    /// the requests without an answer have to end.
    Stopping {
        listening_until: Instant,
        ends_at: Instant,
    },
    /// The machine's deadline passed.
    Ticked,
}

/// What a gateway's host has to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Ask the steward of `endpoint` to load an adapter, and feed [`Event::Prepared`].
    Prepare {
        call: u64,
        endpoint: Rc<Announcement>,
        model: String,
        adapter: String,
        /// The most adapters that the engine has room for beside its models.
        adapter_capacity: u32,
    },
    /// Tell the steward of `endpoint` that an adapter is in use. No event follows.
    Touch {
        endpoint: Rc<Announcement>,
        model: String,
        adapter: String,
        /// The most adapters that the engine has room for beside its models.
        adapter_capacity: u32,
    },
    /// Ask the steward of `endpoint` whether there is room for the request, and feed
    /// [`Event::AdmissionAnswered`].
    AskAdmission {
        call: u64,
        endpoint: Rc<Announcement>,
        /// Who sent the request.
        caller: Caller,
        priority: u8,
        /// The prompt tokens that have to be prefilled.
        uncached: u64,
        /// The tokens of the prompt and of the longest answer.
        tokens: u64,
        /// When it has to start at the latest.
        limit: Duration,
        /// The time until it has to start to meet its objective; zero if it can't any more.
        due: Duration,
        /// The objective for pauses of its answer.
        gap: Option<Duration>,
        /// The most requests at the engine, this one included.
        slots: u32,
    },
    /// Log that an engine has no room for the request.
    Declined {
        call: u64,
        endpoint: String,
        /// The expected time until it starts.
        start: Duration,
    },
    /// Log that the request is refused, because no engine is expected to start it in time.
    RefusedEarly {
        call: u64,
        /// The expected time until it starts.
        start: Duration,
        /// When it had to start at the latest.
        limit: Duration,
    },
    /// Ask the `owner` of an endpoint for a permit, and feed [`Event::Admitted`].
    Admit {
        call: u64,
        owner: SocketAddr,
        endpoint: String,
        /// The endpoint's limit, in requests a second.
        rate: f64,
        /// How long the request can wait for its turn.
        max_wait: Duration,
    },
    /// Answer [`Event::PermitAsked`].
    Permit { call: u64, permit: Permit },
    /// A command about the builds of streams.
    Resumption(resumption::Command),
    /// A command about the allotments of tenants.
    Allotment(allotment::Command),
    /// Log that the request got no permit for an endpoint.
    Throttled {
        call: u64,
        endpoint: String,
        retry_after: Duration,
    },
    /// Log that an endpoint is ejected because of its failure rate.
    ReportEjection { ejection: Ejection },
    /// Log that an endpoint's limit began, or ended if `rate` is `None`.
    ReportLimit { endpoint: String, rate: Option<f64> },
    /// Log that an endpoint names a limit that is not a number that is 0 or more.
    ReportMalformedLimit { endpoint: String },
    /// Log that an endpoint said in an answer that it leaves.
    ReportDeparture { endpoint: String },
    /// Log that an endpoint wants no requests from this gateway for a time.
    ReportPause { endpoint: String, pause: Duration },
    /// Log that an endpoint's statement about its departure or a pause could not be read, or
    /// that the pause was cut to the longest one.
    ReportMalformedSignal { endpoint: String },
    /// Send the request to an endpoint.
    Dispatch {
        call: u64,
        endpoint: Rc<Announcement>,
        /// How long the endpoint may work on the request.
        timeout: Duration,
        /// The priority at the endpoint; 0 is the most urgent.
        priority: u8,
        /// Who sent the request.
        caller: Caller,
        /// Whether the answer is a stream of events.
        streams: bool,
        /// The target for the time to the answer, or to its first part.
        objective: Duration,
        /// The inputs of the choice of this endpoint, for the log.
        basis: Basis,
    },
    /// Log that the request waits for an endpoint.
    Queued { call: u64 },
    /// Refuse the request, and abandon an attempt that is under way.
    Refuse { call: u64, refusal: Refusal },
    /// Cut off the answer that is being passed on.
    Cancel { call: u64 },
    /// Send another gateway the changes that it has not acknowledged, and the work.
    Gossip { to: SocketAddr, message: Message },
    /// Ask the leader for the number of the newest routing document, and feed
    /// [`Event::Confirmed`]. If it is not in force here, fetch the document first.
    Confirm,
    /// Find out the number of the newest routing document, at `since` or later, and feed
    /// [`Event::LeaseAnswered`]. The replica beside this gateway knows it if the leader's messages
    /// arrive; else the leader is asked.
    RenewLease { since: Instant },
    /// Log that a newer document is known, and the lease on the one in force ran out; `age` is the time
    /// since it was known to be the newest.
    ReportOutdated {
        number: u64,
        newer: u64,
        age: Option<Duration>,
    },
    /// Fetch the routing document from another gateway, if its number is above `above`, and feed
    /// [`Event::Configured`].
    Fetch { gateway: SocketAddr, above: u64 },
    /// Ask the steward of an engine to change its models, and feed [`Event::Placed`].
    Place {
        endpoint: Rc<Announcement>,
        term: u64,
        step: Step,
        pool: Rc<Pool>,
    },
    /// Connect to an endpoint whose connections broke, and feed [`Event::Probed`].
    Probe { endpoint: Rc<Announcement> },
    /// Log that an endpoint crashed.
    ReportCrash { crash: Crash },
    /// Log that requests are quarantined.
    ReportCulprit { culprit: Culprit },
    /// Log that the request is refused, because it has the features of `culprit`.
    Withheld { call: u64, culprit: Culprit },
    /// Record the demand for models in the replicated log, for the next leader.
    Record { demand: Rc<[(Model, f64)]> },
    /// Count a retry, or one that the retry budget did not allow. `verdict` is the outcome of
    /// the failed attempt.
    CountRetry { verdict: Verdict, allowed: bool },
}

/// What one gateway tells another.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Message {
    /// The way that it takes, for the metrics of the gateway that sends it.
    pub link: Link,
    pub rumors: Vec<Rumor>,
    /// The work of the gateway that sends it.
    pub work: Work,
    /// The work of the gateways of other data centres, or of its own one if it is sent to another.
    pub summaries: Vec<Summary>,
    pub evidence: Evidence,
    /// Whether the message tells the data centre of the gateway: the other one may not know it.
    pub introduces: bool,
}

/// The answer to a message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// A digest of the endpoints that the gateway knows.
    pub digest: u64,
    /// The starts of the endpoints whose heartbeats it misses.
    pub missed: Vec<Key>,
}

/// Why a request failed, for the answer to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request may have run, and the reason of the failure.
    pub verdict: Verdict,
    /// How long the client should wait before it tries again; only if the request has not
    /// run.
    pub retry_after: Option<Duration>,
    /// Why the gateway did not retry.
    pub halt: Halt,
}

/// Why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Halt {
    /// No attempt was made, for example because no endpoint was found in time.
    Untried,
    /// The request may have run, and its route allows one run.
    OnceOnly,
    /// The limit of endpoints or of runs is reached.
    TriesUsed,
    /// Too little time is left.
    OutOfTime,
    /// The retry budget is used up.
    BudgetUsed,
    /// No other endpoint can take it.
    NoOther,
    /// Endpoints crashed in two attempts of it, or of the same request before.
    Suspect,
    /// It crashes endpoints.
    Quarantined,
}

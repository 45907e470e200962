//! Events that a control process handles and commands that it gives its host.
//!
//! `call` identifies a pending call within one run of the process; the command
//! that answers the call carries the same number.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Store;
use super::replica::{Batch, Change, Message};
use crate::process::Member;
use crate::process::update::{Known, Update};
use crate::request::{Id, Verdict, claim};
use crate::version::{Configuration, Document, Model};

/// An input of a control process.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A process sent a heartbeat with its entry in the directory and the versions
    /// that it has.
    Heartbeat {
        call: u64,
        member: &'a Member,
        known: Known,
    },
    /// An operator submitted a configuration.
    Submitted {
        call: u64,
        configuration: &'a Rc<Configuration>,
    },
    /// An operator published a routing document.
    Published {
        call: u64,
        document: &'a Rc<Document>,
    },
    /// The gateway on this VM measured the demand for each model, in prompt tokens
    /// per second.
    DemandMeasured {
        call: u64,
        demand: &'a Rc<[(Model, f64)]>,
    },
    /// A linearizable read of the number of the newest routing document.
    Read { call: u64 },
    /// An entry process asks for a claim on behalf of a request.
    Claimed {
        call: u64,
        name: &'a claim::Name,
        holder: Id,
        digest: u64,
        /// Milliseconds since the Unix epoch by this process's clock.
        unix_ms: u64,
    },
    /// An entry process reports how a claimed request ended.
    Concluded {
        call: u64,
        name: &'a claim::Name,
        holder: Id,
        verdict: Verdict,
        vm: &'a str,
    },
    /// An operator asks for a change of the replicas' membership.
    MembershipProposed { call: u64, change: Change<'a> },
    /// A message from another replica arrived.
    Received { message: &'a Message<Store> },
    /// The batch with this number is durable on disk.
    Synced { ticket: u64 },
    /// A batch could not be written because the disk is full.
    DiskFull,
    /// The addresses by which to join the fleet changed in the settings.
    ContactsChanged { contacts: &'a [SocketAddr] },
    /// The process is shutting down; a leader hands its leadership over.
    Stopping,
    /// The machine's deadline passed.
    Ticked,
}

/// An action for the host of a control process.
#[derive(Clone, Debug)]
pub enum Command {
    /// Answer a heartbeat with what the member does not have yet.
    AnswerHeartbeat { call: u64, update: Update },
    /// Answer a publication or a read with the number of the routing document in force.
    AnswerDocument { call: u64, number: Option<u64> },
    /// Answer a request for a claim.
    AnswerClaim { call: u64, outcome: claim::Outcome },
    /// Confirm that the end of a claimed request, or the demand, is recorded.
    AnswerRecorded { call: u64 },
    /// Answer an operator who submitted a configuration.
    AnswerConfiguration { call: u64, acceptance: Acceptance },
    /// Confirm that a membership change is committed.
    AnswerMembership { call: u64 },
    /// Retry the call at the leader; it may already have taken effect.
    Redirect { call: u64 },
    /// Send a message to another replica; delivery is not guaranteed.
    Send {
        address: SocketAddr,
        message: Message<Store>,
    },
    /// Write and sync a batch, then report [`Event::Synced`].
    Persist { batch: Batch<Store> },
    /// The routing document, the membership or the leader changed.
    Notify,
    /// This replica leads and gives the seat of a voter whose disk was lost to the new replica of
    /// the VM of this name.
    Reseated { name: String },
    /// This replica no longer leads, because a majority has not answered within the lease.
    LeaseLost {
        /// The size of what was sent and is not acknowledged, in bytes.
        unacknowledged_bytes: usize,
        /// How late this was noticed: the process was paused or busy for that long.
        late: Duration,
    },
}

/// The outcome of submitting a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Acceptance {
    /// Accepted, now or earlier with the same number and content.
    Accepted { number: u64, digest: u64 },
    /// A configuration with this number but other content is already accepted.
    Conflict { number: u64, digest: u64 },
    /// The configuration in force has this higher number.
    Stale { number: u64 },
}

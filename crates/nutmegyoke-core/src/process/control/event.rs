//! What a control process is told and what it tells its host to do.

use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::Store;
use super::replica::{Batch, Message, Wish};
use crate::process::Member;
use crate::process::update::{Known, Update};
use crate::request::{Id, Verdict, claim};
use crate::version::{Configuration, Document, Model};

/// What happened to a control process.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A process sent its heartbeat; `call` is unique in this run.
    Exchanged {
        call: u64,
        member: &'a Member,
        known: Known,
    },
    /// An operator submitted a configuration.
    Applied {
        call: u64,
        configuration: &'a Rc<Configuration>,
    },
    /// An operator published a routing document.
    Published {
        call: u64,
        document: &'a Rc<Document>,
    },
    /// The gateway beside this process records the demand for models.
    Weighed {
        call: u64,
        demand: &'a Rc<[(Model, f64)]>,
    },
    /// Someone wants to know which routing document is the newest.
    Read { call: u64 },
    /// An entry wants a claim for a request.
    Claimed {
        call: u64,
        name: &'a claim::Name,
        holder: Id,
        digest: u64,
        /// Milliseconds since the Unix epoch.
        wall: u64,
    },
    /// An entry tells how a claimed request ended.
    Concluded {
        call: u64,
        name: &'a claim::Name,
        holder: Id,
        verdict: Verdict,
        vm: &'a str,
    },
    /// An operator wants a change of the replicas.
    Wished { call: u64, wish: Wish<'a> },
    /// A message of another replica arrived.
    Received { message: &'a Message<Store> },
    /// A batch is on the disk for good.
    Synced { ticket: u64 },
    /// The disk is full.
    Stalled,
    /// The settings name other VMs by which to join the fleet.
    Contacted { contacts: &'a [SocketAddr] },
    /// The process is about to stop.
    Resigned,
    /// The machine's deadline passed.
    Ticked,
}

/// What a control process's host shall do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Answer a heartbeat.
    Teach { call: u64, news: Update },
    /// Tell the number of the routing document that is in force.
    Tell { call: u64, number: Option<u64> },
    /// Answer a wish for a claim.
    Judge { call: u64, outcome: claim::Outcome },
    /// Answer that the end of a claimed request is recorded.
    Record { call: u64 },
    /// Answer an operator.
    Answer { call: u64, acceptance: Acceptance },
    /// Answer that a wished change of the replicas is committed.
    Grant { call: u64 },
    /// Ask the replica that leads instead; the call may have had its effect.
    Redirect { call: u64 },
    /// Send a message to another replica; it may get lost.
    Send {
        address: SocketAddr,
        message: Message<Store>,
    },
    /// Write and sync a batch, then report it.
    Persist { batch: Batch<Store> },
    /// The routing document, the membership or the own leadership has changed.
    Changed,
}

/// The outcome of submitting a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Acceptance {
    /// Accepted now, or the same content was accepted under this number before.
    Accepted { number: u64, digest: u64 },
    /// Other content holds this number.
    Conflict { number: u64, digest: u64 },
    /// A higher number is accepted already.
    Stale { number: u64 },
}

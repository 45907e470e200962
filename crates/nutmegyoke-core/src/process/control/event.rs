//! What a control process is told and what it tells its host to do.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::process::Member;
use crate::process::news::{Known, News};
use crate::request::{Id, Verdict, claim};
use crate::version::Configuration;

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
    /// An entry wants a claim for a request.
    Claimed {
        call: u64,
        name: &'a claim::Name,
        holder: Id,
        digest: u64,
    },
    /// An entry tells how a claimed request ended.
    Concluded {
        call: u64,
        name: &'a claim::Name,
        holder: Id,
        verdict: Verdict,
        vm: &'a str,
    },
    /// The machine's deadline passed.
    Ticked,
}

/// What a control process's host shall do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Answer a heartbeat.
    Teach { call: u64, news: News },
    /// Answer a wish for a claim.
    Judge { call: u64, outcome: claim::Outcome },
    /// Answer that the end of a claimed request is recorded.
    Record { call: u64 },
    /// Answer an operator.
    Answer { call: u64, acceptance: Acceptance },
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

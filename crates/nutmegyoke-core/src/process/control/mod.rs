//! The state machine of a control process.
//!
//! The configuration, the routing document, the [`claims`] and the recorded
//! demand are durable: they live in a [`store`] that the [`replica`] replicates
//! to all control VMs. A call that changes them, or reads the newest routing
//! document, is proposed to the replicated log as a [`store::Change`] and answered
//! once that is committed and applied.
//!
//! The directory of members is not replicated: each new leader rebuilds it from
//! heartbeats. A heartbeat is answered without the log, with what the member lacks
//! of the directory and, by the [`history`], of the configuration.
//!
//! A replica that does not lead redirects every call to the leader. The
//! [`planner`] is a state machine of its own and runs beside this one.

pub mod claims;
pub mod event;
pub mod history;
pub mod planner;
mod relay;
pub mod replica;
pub mod store;

use std::rc::Rc;
use std::time::Instant;

pub use event::{Acceptance, Command, Event};
pub use history::{CatchUp, History};
pub use planner::{Planner, Scheduler};
pub use store::Store;

use self::relay::Relay;
use self::replica::{Id, Recovered, Replica, Setup};
use self::store::Change;
use super::directory::{Cursor, Delta, LEASE_DURATION};
use super::update::{Known, Update};
use super::{Directory, Machine, Member, Sink};
use crate::version::{Configuration, Document};

/// The state machine of a control process.
#[derive(Debug)]
pub struct Control {
    /// Identifies this run of the process.
    epoch: u64,
    replica: Replica<Store>,
    history: History,
    /// The members that have sent a heartbeat to this replica in its latest term as
    /// leader.
    directory: Directory,
    /// Set with the first heartbeat that this replica answers as leader.
    leadership: Option<Leadership>,
    /// The status that the host was last notified of.
    last_status: Status,
}

/// The state whose changes are reported to the host by [`Command::Notify`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Status {
    /// The number of the routing document.
    document: Option<u64>,
    /// The log index of the membership.
    membership: u64,
    /// The term in which this replica leads, if it does.
    leading_term: Option<u64>,
    /// The leader, if it is known.
    leader: Option<Id>,
}

/// The term that the directory belongs to.
#[derive(Clone, Copy, Debug)]
struct Leadership {
    term: u64,
    /// When the directory is complete: every live member has had time to send a
    /// heartbeat.
    complete_at: Instant,
}

impl Control {
    /// Opens a control process; `epoch` identifies this run of the process.
    #[must_use]
    pub fn open(now: Instant, epoch: u64, setup: Setup, recovered: Recovered<Store>) -> Self {
        let replica = Replica::open(now, setup, recovered);
        Self {
            epoch,
            history: History::open(&replica.state().configuration),
            replica,
            directory: Directory::open(epoch),
            leadership: None,
            last_status: Status::default(),
        }
    }

    /// The configuration in force in this replica's state; a follower's may be outdated.
    #[must_use]
    pub fn configuration(&self) -> &Rc<Configuration> {
        &self.replica.state().configuration
    }

    /// The routing document in force in this replica's state; a follower's may be outdated.
    #[must_use]
    pub fn document(&self) -> Option<&Rc<Document>> {
        self.replica.state().document.as_ref()
    }

    /// The members of the fleet; only meaningful while this replica leads.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// This process's replica of the durable state.
    #[must_use]
    pub fn replica(&self) -> &Replica<Store> {
        &self.replica
    }

    /// The term in which this process leads; `None` if it does not, or has not yet
    /// applied an entry of that term. Orders are fenced by it.
    #[must_use]
    pub fn leading_term(&self) -> Option<u64> {
        self.replica.is_ready_leader().then(|| self.replica.term())
    }

    /// Renews a member's lease and sends it what changed since its last heartbeat.
    fn answer_heartbeat<S>(
        &mut self,
        now: Instant,
        call: u64,
        member: &Member,
        known: Known,
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        let Some(complete) = self.prepare_directory(now) else {
            out.push(Command::Redirect { call });
            return;
        };
        self.directory.expire(now);
        self.directory.renew(now, member);
        let mut update = Update {
            directory: if complete {
                self.directory.since(known.directory)
            } else {
                self.partial_delta(known)
            },
            ..Update::default()
        };
        match self.history.since(known.configuration) {
            CatchUp::UpToDate => {}
            CatchUp::Changes(changes) => update.changes = changes,
            CatchUp::Full(configuration) => update.configuration = Some(configuration),
        }
        out.push(Command::AnswerHeartbeat { call, update });
    }

    /// Starts an empty directory when this replica begins to lead in a new term.
    ///
    /// Returns whether every live member has had time to send a heartbeat, or
    /// `None` if this replica does not lead.
    fn prepare_directory(&mut self, now: Instant) -> Option<bool> {
        let term = self.leading_term()?;
        let leadership = match self.leadership {
            Some(leadership) if leadership.term == term => leadership,
            _ => {
                // With a new epoch, copies of an earlier directory get a snapshot.
                self.directory = Directory::open(self.epoch.wrapping_add(term));
                Leadership {
                    term,
                    complete_at: now + LEASE_DURATION,
                }
            }
        };
        self.leadership = Some(leadership);
        Some(now >= leadership.complete_at)
    }

    /// The members known so far, as additions to a subscriber's copy.
    ///
    /// Nothing is removed, because members that have not yet sent a heartbeat to
    /// this leader may still be alive.
    fn partial_delta(&self, known: Known) -> Delta {
        if known.directory == Cursor::UNSUBSCRIBED {
            return Delta::default();
        }
        Delta {
            base: known.directory.revision,
            cursor: known.directory,
            snapshot: false,
            members: self.directory.members().cloned().collect(),
            ..Delta::default()
        }
    }

    fn status(&self) -> Status {
        Status {
            document: self.document().map(|document| document.number),
            membership: self.replica.membership_index(),
            leading_term: self.leading_term(),
            leader: self.replica.leader().map(|peer| peer.id),
        }
    }

    /// Feeds an event to the replica, forwards its commands, records its configuration in
    /// the history and notifies the host if the status changed.
    fn feed_replica<S>(&mut self, now: Instant, event: replica::Event<'_, Store>, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let before = self.last_status;
        self.replica.handle(now, event, &mut Relay { out });
        self.last_status = self.status();
        if self.last_status != before {
            out.push(Command::Notify);
        }
        self.history.record(&self.replica.state().configuration);
        if !self.replica.is_leader() {
            self.leadership = None;
        }
    }

    /// Proposes a change to the replicated log; its outcome answers `call`.
    fn propose<S>(&mut self, now: Instant, call: u64, change: &Change, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        self.feed_replica(now, replica::Event::Proposed { call, change }, out);
    }
}

impl Machine for Control {
    type Event<'a> = Event<'a>;
    type Command = Command;

    fn handle<S>(&mut self, now: Instant, event: Event<'_>, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        match event {
            Event::Heartbeat {
                call,
                member,
                known,
            } => {
                // A leader whose lease has expired must step down before it answers.
                self.feed_replica(now, replica::Event::Ticked, out);
                self.answer_heartbeat(now, call, member, known, out);
            }
            Event::Submitted {
                call,
                configuration,
            } => {
                let configuration = Rc::clone(configuration);
                self.propose(now, call, &Change::Configure { configuration }, out);
            }
            Event::Published { call, document } => {
                let newest = self.document().map(|document| document.number);
                let change = if newest.is_some_and(|newest| document.number <= newest) {
                    // It changes nothing, but only a leader knows the number in force.
                    Change::Barrier
                } else {
                    let document = Rc::clone(document);
                    Change::Publish { document }
                };
                self.propose(now, call, &change, out);
            }
            Event::DemandMeasured { call, demand } => {
                let demand = Rc::clone(demand);
                self.propose(now, call, &Change::RecordDemand { demand }, out);
            }
            Event::Read { call } => self.propose(now, call, &Change::Barrier, out),
            Event::Claimed {
                call,
                name,
                holder,
                digest,
                unix_ms,
            } => {
                let request = claims::Request {
                    key: name.key(),
                    holder,
                    digest,
                    requested_at: unix_ms,
                };
                self.propose(now, call, &Change::Claim { request }, out);
            }
            Event::Concluded {
                call,
                name,
                holder,
                verdict,
                vm,
            } => {
                let change = Change::Conclude {
                    key: name.key(),
                    holder,
                    verdict,
                    vm: vm.into(),
                };
                self.propose(now, call, &change, out);
            }
            Event::MembershipProposed { call, change } => {
                self.feed_replica(
                    now,
                    replica::Event::MembershipProposed { call, change },
                    out,
                );
            }
            Event::Received { message } => {
                self.feed_replica(now, replica::Event::Received { message }, out);
            }
            Event::Synced { ticket } => {
                self.feed_replica(now, replica::Event::Synced { ticket }, out);
            }
            Event::DiskFull => self.feed_replica(now, replica::Event::DiskFull, out),
            Event::ContactsChanged { contacts } => {
                self.feed_replica(now, replica::Event::ContactsChanged { contacts }, out);
            }
            Event::Stopping => self.feed_replica(now, replica::Event::Stopping, out),
            Event::Ticked => {
                self.feed_replica(now, replica::Event::Ticked, out);
                self.directory.expire(now);
            }
        }
    }

    fn tick() -> Event<'static> {
        Event::Ticked
    }

    fn deadline(&self) -> Option<Instant> {
        [self.replica.deadline(), self.directory.deadline()]
            .into_iter()
            .flatten()
            .min()
    }
}

//! The decisions of a control process.
//!
//! What must survive, the configuration and the [`claims`], is a [`store`]
//! that the [`replica`] keeps the same on all control VMs. The directory is
//! rebuilt from heartbeats by whichever replica leads. A replica that doesn't
//! lead redirects every call.

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
use self::replica::{Recovered, Replica, Setup};
use self::store::Change;
use super::directory::{Delta, LEASE, Mark};
use super::news::{Known, News};
use super::{Directory, Machine, Member, Sink};
use crate::version::{Configuration, Document};

/// A control process's decision state.
#[derive(Debug)]
pub struct Control {
    epoch: u64,
    replica: Replica<Store>,
    history: History,
    directory: Directory,
    /// The term in which the directory is kept, and until when it may lack members.
    leadership: Option<Leadership>,
    last_status: Status,
}

/// What a host watches: where one of these is another one, it looks again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Status {
    /// The number of the routing document.
    document: Option<u64>,
    /// The index of the membership.
    membership: u64,
    /// The term in which this replica leads.
    leading: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Leadership {
    term: u64,
    complete_at: Instant,
}

impl Control {
    /// Opens a control process; `epoch` identifies this run of it.
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

    /// The configuration in force, as far as this replica knows.
    #[must_use]
    pub fn configuration(&self) -> &Rc<Configuration> {
        &self.replica.state().configuration
    }

    /// The routing document in force, as far as this replica knows.
    #[must_use]
    pub fn document(&self) -> Option<&Rc<Document>> {
        self.replica.state().document.as_ref()
    }

    /// The members of the fleet, if this replica leads.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// The replica of the state that survives.
    #[must_use]
    pub fn replica(&self) -> &Replica<Store> {
        &self.replica
    }

    /// The term in which this process leads; orders are fenced by it.
    #[must_use]
    pub fn leading(&self) -> Option<u64> {
        self.replica.is_current().then(|| self.replica.term())
    }

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
        let mut update = News {
            directory: if complete {
                self.directory.since(known.directory)
            } else {
                self.partial_delta(known)
            },
            ..News::default()
        };
        match self.history.since(known.configuration) {
            CatchUp::UpToDate => {}
            CatchUp::Changes(changes) => update.changes = changes,
            CatchUp::Full(configuration) => update.configuration = Some(configuration),
        }
        out.push(Command::AnswerHeartbeat { call, update });
    }

    /// Begins to keep the directory in the present term, if this replica leads.
    ///
    /// Returns whether all living members have had the time to report.
    fn prepare_directory(&mut self, now: Instant) -> Option<bool> {
        let term = self.leading()?;
        let tenure = match self.leadership {
            Some(tenure) if tenure.term == term => tenure,
            _ => {
                self.directory = Directory::open(self.epoch.wrapping_add(term));
                Leadership {
                    term,
                    complete_at: now + LEASE,
                }
            }
        };
        self.leadership = Some(tenure);
        Some(now >= tenure.complete_at)
    }

    /// What a new leader's directory holds already. It removes nothing from a
    /// copy, because members that have not reported yet may well live.
    fn partial_delta(&self, known: Known) -> Delta {
        if known.directory == Mark::UNSUBSCRIBED {
            return Delta::default();
        }
        Delta {
            base: known.directory.revision,
            mark: known.directory,
            snapshot: false,
            members: self.directory.members().cloned().collect(),
            ..Delta::default()
        }
    }

    fn status(&self) -> Status {
        Status {
            document: self.document().map(|document| document.number),
            membership: self.replica.membership_index(),
            leading: self.leading(),
        }
    }

    /// Feeds the replica and passes its commands on.
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
        if !self.replica.leads() {
            self.leadership = None;
        }
    }

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
                // A leader whose lease ran out must notice before it teaches.
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
                let document = Rc::clone(document);
                self.propose(now, call, &Change::Publish { document }, out);
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
            Event::MembershipRequested { call, wish } => {
                self.feed_replica(now, replica::Event::Wished { call, wish }, out);
            }
            Event::Received { message } => {
                self.feed_replica(now, replica::Event::Received { message }, out);
            }
            Event::Synced { ticket } => {
                self.feed_replica(now, replica::Event::Synced { ticket }, out);
            }
            Event::DiskFull => self.feed_replica(now, replica::Event::Stalled, out),
            Event::ContactsChanged { contacts } => {
                self.feed_replica(now, replica::Event::Contacted { contacts }, out);
            }
            Event::Stopping => self.feed_replica(now, replica::Event::Resigned, out),
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

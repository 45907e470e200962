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
pub use history::{History, Lesson};
pub use planner::{Planner, Scheduler};
pub use store::Store;

use self::relay::Relay;
use self::replica::{Recovered, Replica, Setup};
use self::store::Change;
use super::directory::{Cursor, Delta, LEASE_DURATION};
use super::update::{Known, Update};
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
    tenure: Option<Tenure>,
    seen: Look,
}

/// What a host watches: where one of these is another one, it looks again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Look {
    /// The number of the routing document.
    document: Option<u64>,
    /// The index of the membership.
    membership: u64,
    /// The term in which this replica leads.
    leading: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Tenure {
    term: u64,
    complete: Instant,
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
            tenure: None,
            seen: Look::default(),
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

    fn exchange<S>(&mut self, now: Instant, call: u64, member: &Member, known: Known, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let Some(complete) = self.take_tenure(now) else {
            out.push(Command::Redirect { call });
            return;
        };
        self.directory.expire(now);
        self.directory.renew(now, member);
        let mut news = Update {
            directory: if complete {
                self.directory.since(known.directory)
            } else {
                self.additions(known)
            },
            ..Update::default()
        };
        match self.history.since(known.configuration) {
            Lesson::Nothing => {}
            Lesson::Changes(changes) => news.changes = changes,
            Lesson::Whole(configuration) => news.configuration = Some(configuration),
        }
        out.push(Command::Teach { call, news });
    }

    /// Begins to keep the directory in the present term, if this replica leads.
    ///
    /// Returns whether all living members have had the time to report.
    fn take_tenure(&mut self, now: Instant) -> Option<bool> {
        let term = self.leading()?;
        let tenure = match self.tenure {
            Some(tenure) if tenure.term == term => tenure,
            _ => {
                self.directory = Directory::open(self.epoch.wrapping_add(term));
                Tenure {
                    term,
                    complete: now + LEASE_DURATION,
                }
            }
        };
        self.tenure = Some(tenure);
        Some(now >= tenure.complete)
    }

    /// What a new leader's directory holds already. It removes nothing from a
    /// copy, because members that have not reported yet may well live.
    fn additions(&self, known: Known) -> Delta {
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

    fn look(&self) -> Look {
        Look {
            document: self.document().map(|document| document.number),
            membership: self.replica.membership_index(),
            leading: self.leading(),
        }
    }

    /// Feeds the replica and passes its commands on.
    fn drive<S>(&mut self, now: Instant, event: replica::Event<'_, Store>, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let before = self.seen;
        self.replica.handle(now, event, &mut Relay { out });
        self.seen = self.look();
        if self.seen != before {
            out.push(Command::Changed);
        }
        self.history.note(&self.replica.state().configuration);
        if !self.replica.leads() {
            self.tenure = None;
        }
    }

    fn propose<S>(&mut self, now: Instant, call: u64, change: &Change, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        self.drive(now, replica::Event::Proposed { call, change }, out);
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
            Event::Exchanged {
                call,
                member,
                known,
            } => {
                // A leader whose lease ran out must notice before it teaches.
                self.drive(now, replica::Event::Ticked, out);
                self.exchange(now, call, member, known, out);
            }
            Event::Applied {
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
            Event::Weighed { call, demand } => {
                let demand = Rc::clone(demand);
                self.propose(now, call, &Change::Weigh { demand }, out);
            }
            Event::Read { call } => self.propose(now, call, &Change::Confirm, out),
            Event::Claimed {
                call,
                name,
                holder,
                digest,
                wall,
            } => {
                let wish = claims::Wish {
                    key: name.key(),
                    holder,
                    digest,
                    at: wall,
                };
                self.propose(now, call, &Change::Claim { wish }, out);
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
            Event::Wished { call, wish } => {
                self.drive(now, replica::Event::Wished { call, wish }, out);
            }
            Event::Received { message } => {
                self.drive(now, replica::Event::Received { message }, out);
            }
            Event::Synced { ticket } => self.drive(now, replica::Event::Synced { ticket }, out),
            Event::Stalled => self.drive(now, replica::Event::Stalled, out),
            Event::Contacted { contacts } => {
                self.drive(now, replica::Event::Contacted { contacts }, out);
            }
            Event::Resigned => self.drive(now, replica::Event::Resigned, out),
            Event::Ticked => {
                self.drive(now, replica::Event::Ticked, out);
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

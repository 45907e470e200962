//! The decisions of a control process: configuration and directory.

pub mod event;
pub mod planner;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

pub use event::{Acceptance, Command, Event};
pub use planner::{Planner, Scheduler};

use super::news::{Known, News};
use super::{Directory, Machine, Member, Sink};
use crate::request::{Claim, Id, Verdict, claim};
use crate::version::Configuration;

/// A control process's decision state.
#[derive(Debug)]
pub struct Control {
    configuration: Rc<Configuration>,
    directory: Directory,
    claims: BTreeMap<claim::Name, Claim>,
}

impl Control {
    /// Opens a control process; `epoch` identifies this run of it.
    #[must_use]
    pub fn open(epoch: u64) -> Self {
        Self {
            configuration: Rc::default(),
            directory: Directory::open(epoch),
            claims: BTreeMap::new(),
        }
    }

    /// The configuration in force.
    #[must_use]
    pub fn configuration(&self) -> &Rc<Configuration> {
        &self.configuration
    }

    /// The members of the fleet.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    fn exchange(&mut self, now: Instant, member: &Member, known: Known) -> News {
        self.directory.expire(now);
        self.directory.renew(now, member);
        let newer = self.configuration.number() > known.configuration;
        News {
            configuration: newer.then(|| Rc::clone(&self.configuration)),
            directory: self.directory.since(known.directory),
        }
    }

    fn claim(&mut self, name: &claim::Name, holder: Id, digest: u64) -> claim::Outcome {
        let held = self.claims.get(name);
        let outcome = claim::judge(held, holder, digest);
        if held.is_none() {
            let claim = Claim {
                holder,
                digest,
                verdict: None,
                vm: String::new(),
            };
            self.claims.insert(name.clone(), claim);
        }
        outcome
    }

    fn conclude(&mut self, name: &claim::Name, holder: Id, verdict: Verdict, vm: &str) {
        let Some(claim) = self.claims.get_mut(name) else {
            return;
        };
        if claim.holder != holder {
            return;
        }
        if let Verdict::NotRun { .. } = verdict {
            // Nothing ran, so the next request with this key may.
            self.claims.remove(name);
        } else {
            claim.verdict = Some(verdict);
            vm.clone_into(&mut claim.vm);
        }
    }

    /// Compares the submitted version number with the accepted one and sets it.
    fn apply(&mut self, submitted: &Rc<Configuration>) -> Acceptance {
        let accepted = &self.configuration;
        match submitted.number().cmp(&accepted.number()) {
            std::cmp::Ordering::Less => Acceptance::Stale {
                number: accepted.number(),
            },
            std::cmp::Ordering::Equal if submitted.digest() == accepted.digest() => {
                Acceptance::Accepted {
                    number: accepted.number(),
                    digest: accepted.digest(),
                }
            }
            std::cmp::Ordering::Equal => Acceptance::Conflict {
                number: accepted.number(),
                digest: accepted.digest(),
            },
            std::cmp::Ordering::Greater => {
                self.configuration = Rc::clone(submitted);
                Acceptance::Accepted {
                    number: submitted.number(),
                    digest: submitted.digest(),
                }
            }
        }
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
                let news = self.exchange(now, member, known);
                out.push(Command::Teach { call, news });
            }
            Event::Applied {
                call,
                configuration,
            } => {
                let acceptance = self.apply(configuration);
                out.push(Command::Answer { call, acceptance });
            }
            Event::Claimed {
                call,
                name,
                holder,
                digest,
            } => {
                let outcome = self.claim(name, holder, digest);
                out.push(Command::Judge { call, outcome });
            }
            Event::Concluded {
                call,
                name,
                holder,
                verdict,
                vm,
            } => {
                self.conclude(name, holder, verdict, vm);
                out.push(Command::Record { call });
            }
            Event::Ticked => self.directory.expire(now),
        }
    }

    fn tick() -> Event<'static> {
        Event::Ticked
    }

    fn deadline(&self) -> Option<Instant> {
        self.directory.deadline()
    }
}

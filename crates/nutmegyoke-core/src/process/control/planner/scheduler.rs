//! The state machine around the planner: while this process leads, it answers the
//! agents' reports with orders, forgets VMs that stop reporting and runs the rounds.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use super::preview::{self, Preview};
use super::{Moves, Need, Planner, Settings, need};
use crate::process::directory::LEASE_DURATION;
use crate::process::order::{Fence, Order};
use crate::process::{DataCentre, Machine, Report, Sink};
use crate::version::Configuration;

/// Runs a [`Planner`] while its process is the control leader.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    needs: Vec<Need>,
    /// The number of the configuration that `needs` is derived from.
    configuration: u64,
    /// The planner of the present term; `None` while this process does not lead.
    planner: Option<Planner>,
    /// The newest fencing token of the last planner; if the process leads the same term
    /// again, its tokens continue from here.
    fence: Fence,
    /// When each VM's reports expire.
    leases: BTreeMap<String, Instant>,
}

/// An input of the scheduler.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// This process leads in `term`, or does not lead.
    LeadershipChanged { term: Option<u64> },
    /// A configuration came into force.
    Configured {
        configuration: &'a Rc<Configuration>,
    },
    /// An agent reported its engines; `call` identifies the call within this run.
    Reported {
        call: u64,
        vm: &'a str,
        data_centre: &'a DataCentre,
        reports: &'a [Report],
    },
    /// The machine's deadline passed.
    Ticked,
}

/// An action for the host of the scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Answer a report with orders, all newer than the fencing token `fence`; `full`
    /// asks for reports that omit nothing.
    Order {
        call: u64,
        fence: Fence,
        orders: Vec<Order>,
        full: bool,
    },
    /// Decline a report, because this process does not lead.
    Decline { call: u64 },
}

impl Scheduler {
    /// Opens a scheduler that does not lead.
    #[must_use]
    pub fn open(settings: Settings) -> Self {
        Self {
            settings,
            needs: Vec::new(),
            configuration: 0,
            planner: None,
            fence: Fence::default(),
            leases: BTreeMap::new(),
        }
    }

    /// The number of the configuration that the planner uses.
    #[must_use]
    pub fn configuration(&self) -> u64 {
        self.configuration
    }

    /// The number of moves ordered in this term.
    #[must_use]
    pub fn moves(&self) -> Moves {
        let planner = self.planner.as_ref();
        planner.map(Planner::moves).unwrap_or_default()
    }

    /// The bytes of the items for which the last round found no engine.
    #[must_use]
    pub fn shortfall(&self) -> u64 {
        self.planner.as_ref().map_or(0, Planner::shortfall)
    }

    /// The moves that a configuration would cause; `None` if this process does not lead.
    #[must_use]
    pub fn preview(&self, now: Instant, configuration: &Configuration) -> Option<Preview> {
        let planner = self.planner.as_ref()?;
        Some(preview::run(planner, now, &need::list(configuration)))
    }

    /// Opens a new planner when the term in which this process leads changes.
    fn set_term(&mut self, now: Instant, term: Option<u64>) {
        if self.planner.as_ref().map(Planner::term) == term {
            return;
        }
        self.leases.clear();
        if let Some(planner) = &self.planner {
            self.fence = planner.fence();
        }
        self.planner = term.map(|term| {
            let mut planner = Planner::open(now, term, self.settings);
            planner.continue_from(self.fence);
            planner
        });
    }

    /// Renews the VM's lease and answers its report with orders.
    fn report<S>(
        &mut self,
        now: Instant,
        call: u64,
        vm: &str,
        data_centre: &DataCentre,
        reports: &[Report],
        out: &mut S,
    ) where
        S: Sink<Command = Command>,
    {
        let Some(planner) = &mut self.planner else {
            return out.push(Command::Decline { call });
        };
        self.leases.insert(vm.to_owned(), now + LEASE_DURATION);
        let full = planner.report(vm, data_centre, reports);
        let (fence, orders) = planner.orders(vm);
        out.push(Command::Order {
            call,
            fence,
            orders,
            full,
        });
    }

    /// Removes VMs whose reports have expired, and plans a round if one is due.
    fn tick(&mut self, now: Instant) {
        let Some(planner) = &mut self.planner else {
            return;
        };
        self.leases.retain(|vm, &mut expires| {
            let valid = expires > now;
            if !valid {
                planner.forget(vm);
            }
            valid
        });
        if planner.deadline() <= now {
            planner.plan(now, &self.needs);
        }
    }
}

impl Machine for Scheduler {
    type Event<'a> = Event<'a>;
    type Command = Command;

    fn handle<S>(&mut self, now: Instant, event: Event<'_>, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        match event {
            Event::LeadershipChanged { term } => self.set_term(now, term),
            Event::Configured { configuration } => {
                self.configuration = configuration.number();
                self.needs = need::list(configuration);
            }
            Event::Reported {
                call,
                vm,
                data_centre,
                reports,
            } => self.report(now, call, vm, data_centre, reports, out),
            Event::Ticked => self.tick(now),
        }
    }

    fn tick() -> Event<'static> {
        Event::Ticked
    }

    fn deadline(&self) -> Option<Instant> {
        self.planner.as_ref().map(Planner::deadline)
    }
}

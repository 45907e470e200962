//! The planner as a machine: reports in, orders out, while this process leads.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use super::preview::{self, Preview};
use super::{Moves, Need, Planner, Settings, need};
use crate::process::directory::LEASE_DURATION;
use crate::process::order::{Fence, Order};
use crate::process::{DataCentre, Machine, Report, Sink};
use crate::version::Configuration;

/// Plans while its process leads control.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    needs: Vec<Need>,
    configuration: u64,
    planner: Option<Planner>,
    /// The newest fence given; a term that is led again goes on from it.
    fence: Fence,
    /// When each VM's reports lapse.
    leases: BTreeMap<String, Instant>,
}

/// What happened to the scheduler.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// This process leads under `term`, or does not lead.
    Led { term: Option<u64> },
    /// A configuration is in force.
    Configured {
        configuration: &'a Rc<Configuration>,
    },
    /// An agent reported its engines; `call` is unique in this run.
    Reported {
        call: u64,
        vm: &'a str,
        data_centre: &'a DataCentre,
        reports: &'a [Report],
    },
    /// The machine's deadline passed.
    Ticked,
}

/// What the host shall do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Answer a report with orders, all newer than `seal`; `whole` asks for
    /// a report that leaves nothing out.
    Order {
        call: u64,
        seal: Fence,
        orders: Vec<Order>,
        whole: bool,
    },
    /// Answer a report: another process leads.
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

    /// The number of the configuration that is planned for.
    #[must_use]
    pub fn configuration(&self) -> u64 {
        self.configuration
    }

    /// Moves ordered under this term.
    #[must_use]
    pub fn moves(&self) -> Moves {
        let planner = self.planner.as_ref();
        planner.map(Planner::moves).unwrap_or_default()
    }

    /// The bytes that needed items without a place lack.
    #[must_use]
    pub fn shortfall(&self) -> u64 {
        self.planner.as_ref().map_or(0, Planner::shortfall)
    }

    /// What a configuration would move; `None` if this process does not lead.
    #[must_use]
    pub fn preview(&self, now: Instant, configuration: &Configuration) -> Option<Preview> {
        let planner = self.planner.as_ref()?;
        Some(preview::run(planner, now, &need::list(configuration)))
    }

    fn lead(&mut self, now: Instant, term: Option<u64>) {
        if self.planner.as_ref().map(Planner::term) == term {
            return;
        }
        self.leases.clear();
        if let Some(planner) = &self.planner {
            self.fence = planner.fence();
        }
        self.planner = term.map(|term| {
            let mut planner = Planner::open(now, term, self.settings);
            planner.go_on(self.fence);
            planner
        });
    }

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
        let whole = planner.report(vm, data_centre, reports);
        let (seal, orders) = planner.orders(vm);
        out.push(Command::Order {
            call,
            seal,
            orders,
            whole,
        });
    }

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
            Event::Led { term } => self.lead(now, term),
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

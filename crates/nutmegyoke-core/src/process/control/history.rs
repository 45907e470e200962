//! Recent changes of the configuration, from which processes that are not far
//! behind are brought up to date without a full copy.

use std::collections::VecDeque;
use std::rc::Rc;

use crate::version::Configuration;
use crate::version::diff::Diff;

const MAX_CHANGES: usize = 512;

/// The most recent changes that led to the configuration in force, oldest first.
#[derive(Debug, Default)]
pub struct History {
    latest: Rc<Configuration>,
    changes: VecDeque<Rc<Diff>>,
    /// The total number of steps of all kept changes.
    step_count: usize,
}

/// What brings a process up to date.
#[derive(Clone, Debug)]
pub enum CatchUp {
    /// The process is up to date.
    UpToDate,
    /// The changes to apply, in this order.
    Changes(Vec<Rc<Diff>>),
    /// The full configuration.
    Full(Rc<Configuration>),
}

impl History {
    /// Opens a history without changes whose configuration in force is `latest`.
    #[must_use]
    pub fn open(latest: &Rc<Configuration>) -> Self {
        Self {
            latest: Rc::clone(latest),
            changes: VecDeque::new(),
            step_count: 0,
        }
    }

    /// Records the configuration in force, and what changed if it is a new one.
    pub fn record(&mut self, configuration: &Rc<Configuration>) {
        if Rc::ptr_eq(&self.latest, configuration) {
            return;
        }
        let diff = Diff::between(&self.latest, configuration);
        self.latest = Rc::clone(configuration);
        self.step_count += diff.step_count();
        self.changes.push_back(Rc::new(diff));
        // Changes with as many steps as the full configuration has rows save no bytes.
        let lists = self.latest.lists();
        let full = lists.plans.len() + lists.grants.len();
        while self.changes.len() > MAX_CHANGES || self.step_count >= full {
            let Some(first) = self.changes.pop_front() else {
                return;
            };
            self.step_count -= first.step_count();
        }
    }

    /// The number of kept changes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// Whether no change is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// What brings a process with the configuration `number` up to date.
    #[must_use]
    pub fn since(&self, number: u64) -> CatchUp {
        if number >= self.latest.number() {
            return CatchUp::UpToDate;
        }
        // A process sends 0 if it has no configuration, or after changes that it could not
        // apply.
        if number == 0 {
            return CatchUp::Full(Rc::clone(&self.latest));
        }
        let first = self.changes.iter().position(|diff| diff.from == number);
        match first {
            Some(first) => CatchUp::Changes(self.changes.range(first..).cloned().collect()),
            None => CatchUp::Full(Rc::clone(&self.latest)),
        }
    }
}

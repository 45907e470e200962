//! The latest changes of the configuration, to teach a process that is not far behind.

use std::collections::VecDeque;
use std::rc::Rc;

use crate::version::Configuration;
use crate::version::diff::Diff;

/// The most changes kept.
const CHANGES: usize = 512;

/// The changes that led to the configuration in force, in order.
#[derive(Debug, Default)]
pub struct History {
    latest: Rc<Configuration>,
    changes: VecDeque<Rc<Diff>>,
    /// The rows that all changes carry.
    rows: usize,
}

/// What brings a process up to date.
#[derive(Clone, Debug)]
pub enum Lesson {
    /// It is up to date.
    Nothing,
    /// These changes, in order.
    Changes(Vec<Rc<Diff>>),
    /// The whole configuration.
    Whole(Rc<Configuration>),
}

impl History {
    /// Opens a history that begins with `latest`.
    #[must_use]
    pub fn open(latest: &Rc<Configuration>) -> Self {
        Self {
            latest: Rc::clone(latest),
            changes: VecDeque::new(),
            rows: 0,
        }
    }

    /// Notes the configuration in force.
    pub fn note(&mut self, configuration: &Rc<Configuration>) {
        if Rc::ptr_eq(&self.latest, configuration) {
            return;
        }
        let diff = Diff::between(&self.latest, configuration);
        self.latest = Rc::clone(configuration);
        self.rows += diff.step_count();
        self.changes.push_back(Rc::new(diff));
        // Changes that carry as many rows as the whole save nothing.
        let lists = self.latest.lists();
        let whole = lists.plans.len() + lists.grants.len();
        while self.changes.len() > CHANGES || self.rows >= whole {
            let Some(first) = self.changes.pop_front() else {
                return;
            };
            self.rows -= first.step_count();
        }
    }

    /// How many changes are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.changes.len()
    }

    /// Whether no change is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// What a process lacks that has the configuration `number` in force.
    #[must_use]
    pub fn since(&self, number: u64) -> Lesson {
        if number >= self.latest.number() {
            return Lesson::Nothing;
        }
        // A process without a configuration, or one whose own can't be trusted, asks as 0.
        if number == 0 {
            return Lesson::Whole(Rc::clone(&self.latest));
        }
        let first = self.changes.iter().position(|diff| diff.from == number);
        match first {
            Some(first) => Lesson::Changes(self.changes.range(first..).cloned().collect()),
            None => Lesson::Whole(Rc::clone(&self.latest)),
        }
    }
}

//! What leads from one configuration to another.
//!
//! Rows that stay are named by their place, so a difference is as long as what
//! changed, and the order of both lists is kept, on which the digest depends.

use std::collections::HashMap;
use std::rc::Rc;

use derive_more::{Display, Error};

use super::configuration::{Fault, Lists};
use super::{Configuration, Grant, Plan};

/// The difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diff {
    /// The number that it starts from.
    pub from: u64,
    /// The digest that it starts from.
    pub from_digest: u64,
    /// The number that it leads to.
    pub number: u64,
    /// The digest that it leads to.
    pub digest: u64,
    /// How the plans list is made.
    pub plans: Vec<Step<Plan>>,
    /// How the grants list is made.
    pub grants: Vec<Step<Grant>>,
}

/// One step in making the new list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step<T> {
    /// Rows of the old list that stay together.
    Keep { start: u32, count: u32 },
    /// A new or changed row.
    Put(T),
}

/// Why a difference can't be applied.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Mismatch {
    /// It starts from another configuration.
    #[display("the change starts from configuration {from}, not from {number}")]
    Base { from: u64, number: u64 },
    /// It names rows that the old list does not have.
    #[display("the change names a row that is not there")]
    Row,
    /// It leads to something that is no configuration.
    #[display("{_0}")]
    Fault(#[error(not(source))] Fault),
    /// It does not lead to the digest that it states.
    #[display("the change leads to another digest")]
    Digest,
}

impl Diff {
    /// Compares two configurations.
    #[must_use]
    pub fn between(old: &Configuration, new: &Configuration) -> Self {
        let (before, after) = (old.lists(), new.lists());
        Self {
            from: old.number(),
            from_digest: old.digest(),
            number: new.number(),
            digest: new.digest(),
            plans: steps(&before.plans, &after.plans, |plan| &plan.name),
            grants: steps(&before.grants, &after.grants, |grant| grant.item.name()),
        }
    }

    /// How many rows it carries.
    #[must_use]
    pub fn step_count(&self) -> usize {
        self.plans.len() + self.grants.len()
    }

    /// Makes the new configuration from the old one.
    ///
    /// # Errors
    ///
    /// The difference starts from another configuration or is damaged.
    pub fn apply(&self, old: &Configuration) -> Result<Rc<Configuration>, Mismatch> {
        if (self.from, self.from_digest) != (old.number(), old.digest()) {
            return Err(Mismatch::Base {
                from: self.from,
                number: old.number(),
            });
        }
        let lists = Lists {
            number: self.number,
            plans: make(&old.lists().plans, &self.plans)?,
            grants: make(&old.lists().grants, &self.grants)?,
        };
        let new = Configuration::open(lists).map_err(Mismatch::Fault)?;
        if new.digest() != self.digest {
            return Err(Mismatch::Digest);
        }
        Ok(new)
    }
}

fn steps<T: Clone + PartialEq>(old: &[T], new: &[T], name: impl Fn(&T) -> &str) -> Vec<Step<T>> {
    let places: HashMap<&str, u32> = old.iter().map(&name).zip(0..).collect();
    let mut steps = Vec::new();
    for row in new {
        // Items of different kinds may share a name; then a row is put again.
        let place = places.get(name(row)).copied();
        let same = place.filter(|&place| old.get(place as usize) == Some(row));
        match (same, steps.last_mut()) {
            (Some(place), Some(Step::Keep { start, count })) if *start + *count == place => {
                *count += 1;
            }
            (Some(start), _) => steps.push(Step::Keep { start, count: 1 }),
            (None, _) => steps.push(Step::Put(row.clone())),
        }
    }
    steps
}

fn make<T: Clone>(old: &[T], steps: &[Step<T>]) -> Result<Vec<T>, Mismatch> {
    let mut new = Vec::new();
    for step in steps {
        match step {
            Step::Put(row) => new.push(row.clone()),
            Step::Keep { start, count } => {
                let end = start.checked_add(*count).ok_or(Mismatch::Row)?;
                let kept = old.get(*start as usize..end as usize);
                new.extend_from_slice(kept.ok_or(Mismatch::Row)?);
            }
        }
    }
    Ok(new)
}

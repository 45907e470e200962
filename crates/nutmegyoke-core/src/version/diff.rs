//! The difference between two configurations.
//!
//! Unchanged rows are referenced by their index in the old list, so the size of a
//! diff grows with the changes only. The diff also preserves the order of the rows,
//! because the digest depends on it.

use std::collections::HashMap;
use std::rc::Rc;

use derive_more::{Display, Error};

use super::configuration::{Fault, Lists};
use super::{Configuration, Grant, Plan};

/// The difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diff {
    /// The number of the old configuration.
    pub from: u64,
    /// The digest of the old configuration.
    pub from_digest: u64,
    /// The number of the new configuration.
    pub number: u64,
    /// The digest of the new configuration.
    pub digest: u64,
    /// The steps that build the new plans list.
    pub plans: Vec<Step<Plan>>,
    /// The steps that build the new grants list.
    pub grants: Vec<Step<Grant>>,
}

/// A step in building the new list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step<T> {
    /// Copies `count` consecutive rows of the old list, from the index `start` on.
    Keep { start: u32, count: u32 },
    /// Adds a new or changed row.
    Put(T),
}

/// Why a diff cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Mismatch {
    /// The diff is based on a configuration with another number or digest.
    #[display(
        "the diff needs configuration {from} and its digest, but was applied to another \
         configuration with number {number}"
    )]
    Base { from: u64, number: u64 },
    /// The diff refers to rows that the old list does not have.
    #[display("the diff refers to a row that the old list does not have")]
    Row,
    /// The result is not a valid configuration.
    #[display("{_0}")]
    Fault(#[error(not(source))] Fault),
    /// The result has another digest than the diff states.
    #[display("the digest of the new configuration differs from the one in the diff")]
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

    /// The number of steps in both lists.
    #[must_use]
    pub fn step_count(&self) -> usize {
        self.plans.len() + self.grants.len()
    }

    /// Builds the new configuration from the old one.
    ///
    /// # Errors
    ///
    /// The diff is based on another configuration or is damaged.
    pub fn apply(&self, old: &Configuration) -> Result<Rc<Configuration>, Mismatch> {
        if (self.from, self.from_digest) != (old.number(), old.digest()) {
            return Err(Mismatch::Base {
                from: self.from,
                number: old.number(),
            });
        }
        let lists = Lists {
            number: self.number,
            plans: build(&old.lists().plans, &self.plans)?,
            grants: build(&old.lists().grants, &self.grants)?,
        };
        let new = Configuration::open(lists).map_err(Mismatch::Fault)?;
        if new.digest() != self.digest {
            return Err(Mismatch::Digest);
        }
        Ok(new)
    }
}

fn steps<T: Clone + PartialEq>(old: &[T], new: &[T], name: impl Fn(&T) -> &str) -> Vec<Step<T>> {
    let positions: HashMap<&str, u32> = old.iter().map(&name).zip(0..).collect();
    let mut steps = Vec::new();
    for row in new {
        // A model and a service may have the same name. Then only the last of them is
        // found by name, and an unchanged row may be added again.
        let position = positions.get(name(row)).copied();
        let same = position.filter(|&position| old.get(position as usize) == Some(row));
        match (same, steps.last_mut()) {
            (Some(position), Some(Step::Keep { start, count })) if *start + *count == position => {
                *count += 1;
            }
            (Some(start), _) => steps.push(Step::Keep { start, count: 1 }),
            (None, _) => steps.push(Step::Put(row.clone())),
        }
    }
    steps
}

fn build<T: Clone>(old: &[T], steps: &[Step<T>]) -> Result<Vec<T>, Mismatch> {
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

//! Differences between two configurations, as sent between processes.

use nutmegyoke_core::version::diff::{Diff, Step};
use nutmegyoke_core::version::{Grant, Plan};

use super::lists::{read_grant, read_plan, write_grant, write_plan};
use crate::connection::convert::length;
use crate::connection::link_capnp::{diff, grant_step, plan_step};

/// Reads a difference.
///
/// # Errors
///
/// The message is malformed.
pub fn read(reader: diff::Reader<'_>) -> capnp::Result<Diff> {
    Ok(Diff {
        from: reader.get_from(),
        from_digest: reader.get_from_digest(),
        number: reader.get_number(),
        digest: reader.get_digest(),
        plans: reader
            .get_plans()?
            .iter()
            .map(read_plan_step)
            .collect::<capnp::Result<_>>()?,
        grants: reader
            .get_grants()?
            .iter()
            .map(read_grant_step)
            .collect::<capnp::Result<_>>()?,
    })
}

/// Writes a difference.
pub fn write(diff: &Diff, mut builder: diff::Builder<'_>) {
    builder.set_from(diff.from);
    builder.set_from_digest(diff.from_digest);
    builder.set_number(diff.number);
    builder.set_digest(diff.digest);
    let mut list = builder.reborrow().init_plans(length(diff.plans.len()));
    for (index, step) in (0..).zip(&diff.plans) {
        write_plan_step(step, list.reborrow().get(index));
    }
    let mut list = builder.init_grants(length(diff.grants.len()));
    for (index, step) in (0..).zip(&diff.grants) {
        write_grant_step(step, list.reborrow().get(index));
    }
}

/// Reads a step. A count of 0 means that the step puts a row instead of keeping some.
fn read_plan_step(reader: plan_step::Reader<'_>) -> capnp::Result<Step<Plan>> {
    Ok(match reader.get_count() {
        0 => Step::Put(read_plan(reader.get_row()?)?),
        count => Step::Keep {
            start: reader.get_start(),
            count,
        },
    })
}

fn write_plan_step(step: &Step<Plan>, mut builder: plan_step::Builder<'_>) {
    match step {
        Step::Keep { start, count } => {
            builder.set_start(*start);
            builder.set_count(*count);
        }
        Step::Put(plan) => write_plan(plan, builder.init_row()),
    }
}

/// Reads a step. A count of 0 means that the step puts a row instead of keeping some.
fn read_grant_step(reader: grant_step::Reader<'_>) -> capnp::Result<Step<Grant>> {
    Ok(match reader.get_count() {
        0 => Step::Put(read_grant(reader.get_row()?)?),
        count => Step::Keep {
            start: reader.get_start(),
            count,
        },
    })
}

fn write_grant_step(step: &Step<Grant>, mut builder: grant_step::Builder<'_>) {
    match step {
        Step::Keep { start, count } => {
            builder.set_start(*start);
            builder.set_count(*count);
        }
        Step::Put(grant) => write_grant(grant, builder.init_row()),
    }
}

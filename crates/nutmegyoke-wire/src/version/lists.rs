//! The plans and grants lists, as sent between processes and kept in the journal.

use std::time::Duration;

use nutmegyoke_core::version::configuration::Lists;
use nutmegyoke_core::version::grant::{Call, Item, Repeat};
use nutmegyoke_core::version::{Grant, Plan};

use crate::connection::convert::{length, milliseconds, set_texts, text, texts};
use crate::connection::link_capnp::{call, grant, lists, plan};

/// Reads the plans and grants lists.
///
/// # Errors
///
/// The message is malformed.
pub fn read(reader: lists::Reader<'_>) -> capnp::Result<Lists> {
    Ok(Lists {
        number: reader.get_number(),
        plans: reader
            .get_plans()?
            .iter()
            .map(read_plan)
            .collect::<capnp::Result<_>>()?,
        grants: reader
            .get_grants()?
            .iter()
            .map(read_grant)
            .collect::<capnp::Result<_>>()?,
    })
}

/// Writes the plans and grants lists.
pub fn write(lists: &Lists, mut builder: lists::Builder<'_>) {
    builder.set_number(lists.number);
    let mut list = builder.reborrow().init_plans(length(lists.plans.len()));
    for (index, plan) in (0..).zip(&lists.plans) {
        write_plan(plan, list.reborrow().get(index));
    }
    let mut list = builder.init_grants(length(lists.grants.len()));
    for (index, grant) in (0..).zip(&lists.grants) {
        write_grant(grant, list.reborrow().get(index));
    }
}

pub(super) fn read_plan(reader: plan::Reader<'_>) -> capnp::Result<Plan> {
    Ok(Plan {
        name: text(reader.get_name())?.to_owned(),
        customer: text(reader.get_customer())?.into(),
        key: text(reader.get_key())?.to_owned(),
        requests_per_second: reader.get_requests_per_second(),
        concurrency: reader.get_concurrency(),
        tokens_per_minute: reader.get_tokens_per_minute(),
        priority: reader.get_priority(),
        first_token: Duration::from_millis(reader.get_first_token_ms()),
        between_tokens: Duration::from_millis(reader.get_between_tokens_ms()),
        deadline: Duration::from_millis(reader.get_deadline_ms()),
    })
}

pub(super) fn write_plan(plan: &Plan, mut builder: plan::Builder<'_>) {
    builder.set_name(&plan.name);
    builder.set_customer(plan.customer.as_str());
    builder.set_key(&plan.key);
    builder.set_requests_per_second(plan.requests_per_second);
    builder.set_concurrency(plan.concurrency);
    builder.set_tokens_per_minute(plan.tokens_per_minute);
    builder.set_priority(plan.priority);
    builder.set_first_token_ms(milliseconds(plan.first_token));
    builder.set_between_tokens_ms(milliseconds(plan.between_tokens));
    builder.set_deadline_ms(milliseconds(plan.deadline));
}

pub(super) fn read_grant(reader: grant::Reader<'_>) -> capnp::Result<Grant> {
    let item = match reader.which()? {
        grant::Model(group) => Item::Model {
            name: text(group.get_name())?.into(),
            bytes: group.get_bytes(),
        },
        grant::Adapter(group) => Item::Adapter {
            name: text(group.get_name())?.into(),
            model: text(group.get_model())?.into(),
            bytes: group.get_bytes(),
        },
        grant::Service(group) => Item::Service {
            name: text(group.get_name())?.into(),
            calls: group
                .get_calls()?
                .iter()
                .map(read_call)
                .collect::<capnp::Result<_>>()?,
        },
    };
    Ok(Grant {
        item,
        plans: texts(reader.get_plans())?,
    })
}

pub(super) fn write_grant(grant: &Grant, mut builder: grant::Builder<'_>) {
    let list = builder.reborrow().init_plans(length(grant.plans.len()));
    set_texts(list, grant.plans.iter().map(String::as_str));
    match &grant.item {
        Item::Model { name, bytes } => {
            let mut group = builder.init_model();
            group.set_name(name.as_str());
            group.set_bytes(*bytes);
        }
        Item::Adapter { name, model, bytes } => {
            let mut group = builder.init_adapter();
            group.set_name(name.as_str());
            group.set_model(model.as_str());
            group.set_bytes(*bytes);
        }
        Item::Service { name, calls } => {
            let mut group = builder.init_service();
            group.set_name(name.as_str());
            let mut list = group.init_calls(length(calls.len()));
            for (index, call) in (0..).zip(calls) {
                write_call(call, list.reborrow().get(index));
            }
        }
    }
}

fn read_call(reader: call::Reader<'_>) -> capnp::Result<Call> {
    Ok(Call {
        method: text(reader.get_method())?.to_owned(),
        prefix: text(reader.get_prefix())?.to_owned(),
        repeat: if reader.get_once() {
            Repeat::Once
        } else {
            Repeat::Repeatable
        },
    })
}

fn write_call(call: &Call, mut builder: call::Builder<'_>) {
    builder.set_method(&call.method);
    builder.set_prefix(&call.prefix);
    builder.set_once(call.repeat == Repeat::Once);
}

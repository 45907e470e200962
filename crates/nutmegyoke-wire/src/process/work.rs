//! The demand and backlogs that gateways exchange, and the leader's directives to stewards.

use std::time::Duration;

use capnp::{Error, struct_list};
use nutmegyoke_core::process::gateway::Work;
use nutmegyoke_core::process::gateway::demand::Backlog;
use nutmegyoke_core::process::registry::Key;
use nutmegyoke_core::process::steward::Directive;
use nutmegyoke_core::process::throttle::Statement;
use nutmegyoke_core::version::Model;

use crate::connection::convert::{length, milliseconds, set_texts, strings, text};
use crate::connection::mesh_capnp::{backlogs, demand, directive, limit, work};

/// Reads the demand and the backlogs of a gateway.
///
/// # Errors
///
/// The message is malformed.
pub fn read(reader: work::Reader<'_>) -> capnp::Result<Work> {
    Ok(Work {
        models: read_demand(reader.get_models()?)?,
        endpoints: read_backlogs(reader.get_backlogs()?)?,
        limits: reader
            .get_limits()?
            .iter()
            .map(read_limit)
            .collect::<capnp::Result<_>>()?,
    })
}

/// Writes the demand and the backlogs of a gateway.
pub fn write(work: &Work, mut builder: work::Builder<'_>) {
    if !work.models.is_empty() {
        let list = builder.reborrow().init_models(length(work.models.len()));
        write_demand(&work.models, list);
    }
    if !work.limits.is_empty() {
        let mut list = builder.reborrow().init_limits(length(work.limits.len()));
        for (index, statement) in (0..).zip(&work.limits) {
            write_limit(statement, list.reborrow().get(index));
        }
    }
    if !work.endpoints.is_empty() {
        write_backlogs(&work.endpoints, builder.init_backlogs());
    }
}

fn read_backlogs(reader: backlogs::Reader<'_>) -> capnp::Result<Vec<(Key, Backlog)>> {
    let endpoints = reader.get_endpoints()?;
    let (ahead, in_flight) = (reader.get_ahead()?, reader.get_in_flight()?);
    if endpoints.len() != ahead.len() || endpoints.len() != in_flight.len() {
        return Err(Error::failed(
            "lists of backlogs differ in length".to_owned(),
        ));
    }
    let rows = endpoints.iter().zip(ahead.iter()).zip(in_flight.iter());
    let rows = rows.map(|((endpoint, ahead), in_flight)| {
        let (ahead, in_flight) = (ahead.into(), in_flight.into());
        (Key(endpoint), Backlog { ahead, in_flight })
    });
    Ok(rows.collect())
}

fn write_backlogs(rows: &[(Key, Backlog)], mut builder: backlogs::Builder<'_>) {
    let count = length(rows.len());
    let mut list = builder.reborrow().init_endpoints(count);
    for (index, &(Key(endpoint), _)) in (0..).zip(rows) {
        list.set(index, endpoint);
    }
    let mut list = builder.reborrow().init_ahead(count);
    for (index, (_, backlog)) in (0..).zip(rows) {
        list.set(index, u32::try_from(backlog.ahead).unwrap_or(u32::MAX));
    }
    let mut list = builder.init_in_flight(count);
    for (index, (_, backlog)) in (0..).zip(rows) {
        list.set(index, u16::try_from(backlog.in_flight).unwrap_or(u16::MAX));
    }
}

fn read_limit(reader: limit::Reader<'_>) -> capnp::Result<Statement> {
    Ok(Statement {
        endpoint: text(reader.get_endpoint())?.to_owned(),
        started_ms: reader.get_born(),
        rate: match reader.which()? {
            limit::Ended(()) => None,
            limit::RequestsPerSecond(rate) => Some(rate),
        },
        age: Duration::from_millis(reader.get_age_ms()),
    })
}

fn write_limit(statement: &Statement, mut builder: limit::Builder<'_>) {
    builder.set_endpoint(&statement.endpoint);
    builder.set_born(statement.started_ms);
    builder.set_age_ms(milliseconds(statement.age));
    match statement.rate {
        Some(rate) => builder.set_requests_per_second(rate),
        None => builder.set_ended(()),
    }
}

/// Reads the demand for each model, in prompt tokens per second.
pub(super) fn read_demand<T: FromIterator<(Model, f64)>>(
    list: struct_list::Reader<'_, demand::Owned>,
) -> capnp::Result<T> {
    let rows = list.iter().map(|row| {
        let model = text(row.get_model())?.into();
        Ok((model, row.get_tokens_per_second()))
    });
    rows.collect()
}

/// Writes the demand for each model, in prompt tokens per second.
pub(super) fn write_demand(
    rows: &[(Model, f64)],
    mut list: struct_list::Builder<'_, demand::Owned>,
) {
    for (index, (model, rate)) in (0..).zip(rows) {
        let mut row = list.reborrow().get(index);
        row.set_model(model.as_str());
        row.set_tokens_per_second(*rate);
    }
}

/// Reads a directive to a steward.
///
/// # Errors
///
/// The message is malformed.
pub fn read_directive(reader: directive::Reader<'_>) -> capnp::Result<Directive> {
    let sizes = reader.get_sizes()?.iter().map(|row| {
        let model = text(row.get_model())?.to_owned();
        capnp::Result::Ok((model, row.get_megabytes()))
    });
    Ok(Directive {
        endpoint: text(reader.get_endpoint())?.to_owned(),
        unload: strings(reader.get_unload())?,
        load: text(reader.get_load())?.to_owned(),
        memory_mb: reader.get_memory_mb(),
        sizes: sizes.collect::<capnp::Result<_>>()?,
    })
}

/// Writes a directive to a steward.
pub fn write_directive(directive: &Directive, mut builder: directive::Builder<'_>) {
    builder.set_endpoint(&directive.endpoint);
    builder.set_load(&directive.load);
    builder.set_memory_mb(directive.memory_mb);
    let unload = &directive.unload;
    let list = builder.reborrow().init_unload(length(unload.len()));
    set_texts(list, unload.iter().map(String::as_str));
    let mut list = builder.init_sizes(length(directive.sizes.len()));
    for (index, (model, megabytes)) in (0..).zip(&directive.sizes) {
        let mut row = list.reborrow().get(index);
        row.set_model(model);
        row.set_megabytes(*megabytes);
    }
}

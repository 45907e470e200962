//! Heartbeats' contents and answers between processes.

use std::rc::Rc;

use nutmegyoke_core::process::news::{Known, News};
use nutmegyoke_core::version::Configuration;

use super::directory;
use crate::connection::convert::length;
use crate::connection::link_capnp::{known, news};
use crate::version::{diff, lists};

/// Reads what a process knows.
///
/// # Errors
///
/// The peer's message is malformed.
pub fn read_known(reader: known::Reader<'_>) -> capnp::Result<Known> {
    Ok(Known {
        configuration: reader.get_configuration(),
        directory: directory::read_cursor(reader.get_directory()?),
    })
}

/// Writes what a process knows.
pub fn write_known(known: Known, mut builder: known::Builder<'_>) {
    builder.set_configuration(known.configuration);
    directory::write_cursor(known.directory, builder.init_directory());
}

/// Reads what control teaches a process that has `base` in force.
///
/// # Errors
///
/// The peer's message is malformed, its configuration contradicts itself, or
/// its changes don't start from `base`.
pub fn read(reader: news::Reader<'_>, base: &Rc<Configuration>) -> capnp::Result<News> {
    let configuration = if reader.has_configuration() {
        let lists = lists::read(reader.get_configuration()?)?;
        let opened = Configuration::open(lists);
        Some(opened.map_err(|fault| capnp::Error::failed(fault.to_string()))?)
    } else {
        apply_changes(reader, base)?
    };
    Ok(News {
        configuration,
        changes: Vec::new(),
        directory: directory::read(reader.get_directory()?)?,
    })
}

fn apply_changes(
    reader: news::Reader<'_>,
    base: &Rc<Configuration>,
) -> capnp::Result<Option<Rc<Configuration>>> {
    let mut configuration = None;
    for change in reader.get_changes()? {
        let diff = diff::read(change)?;
        let latest = configuration.as_ref().unwrap_or(base);
        let next = diff.apply(latest);
        configuration = Some(next.map_err(|fault| capnp::Error::failed(fault.to_string()))?);
    }
    Ok(configuration)
}

/// Writes what control teaches.
pub fn write(update: &News, mut builder: news::Builder<'_>) {
    if let Some(configuration) = &update.configuration {
        let builder = builder.reborrow();
        lists::write(configuration.lists(), builder.init_configuration());
    }
    let changes = length(update.changes.len());
    let mut list = builder.reborrow().init_changes(changes);
    for (index, change) in (0..).zip(&update.changes) {
        diff::write(change, list.reborrow().get(index));
    }
    directory::write(&update.directory, builder.init_directory());
}

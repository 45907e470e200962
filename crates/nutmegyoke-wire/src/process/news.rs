//! Heartbeats' contents and answers between processes.

use std::rc::Rc;

use nutmegyoke_core::process::update::{Known, Update};
use nutmegyoke_core::version::Configuration;

use super::directory;
use crate::connection::link::length;
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
        directory: directory::read_mark(reader.get_directory()?),
    })
}

/// Writes what a process knows.
pub fn write_known(known: Known, mut builder: known::Builder<'_>) {
    builder.set_configuration(known.configuration);
    directory::write_mark(known.directory, builder.init_directory());
}

/// Reads what control teaches a process that has `base` in force.
///
/// # Errors
///
/// The peer's message is malformed, its configuration contradicts itself, or
/// its changes don't start from `base`.
pub fn read(reader: news::Reader<'_>, base: &Rc<Configuration>) -> capnp::Result<Update> {
    let configuration = if reader.has_configuration() {
        let lists = lists::read(reader.get_configuration()?)?;
        let opened = Configuration::open(lists);
        Some(opened.map_err(|fault| capnp::Error::failed(fault.to_string()))?)
    } else {
        read_changes(reader, base)?
    };
    Ok(Update {
        configuration,
        changes: Vec::new(),
        directory: directory::read(reader.get_directory()?)?,
    })
}

fn read_changes(
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
pub fn write(news: &Update, mut builder: news::Builder<'_>) {
    if let Some(configuration) = &news.configuration {
        let reborrowed = builder.reborrow();
        lists::write(configuration.lists(), reborrowed.init_configuration());
    }
    let changes = length(news.changes.len());
    let mut list = builder.reborrow().init_changes(changes);
    for (index, change) in (0..).zip(&news.changes) {
        diff::write(change, list.reborrow().get(index));
    }
    directory::write(&news.directory, builder.init_directory());
}

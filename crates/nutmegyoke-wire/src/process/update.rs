//! The versions that a process has, as sent in its heartbeat, and control's answer with the
//! changes since then.

use std::rc::Rc;

use nutmegyoke_core::process::update::{Known, Update};
use nutmegyoke_core::version::Configuration;

use super::directory;
use crate::connection::convert::length;
use crate::connection::link_capnp::{known, news};
use crate::version::{diff, lists};

/// Reads which versions a process has.
///
/// # Errors
///
/// The message is malformed.
pub fn read_known(reader: known::Reader<'_>) -> capnp::Result<Known> {
    Ok(Known {
        configuration: reader.get_configuration(),
        directory: directory::read_cursor(reader.get_directory()?),
    })
}

/// Writes which versions a process has.
pub fn write_known(known: Known, mut builder: known::Builder<'_>) {
    builder.set_configuration(known.configuration);
    directory::write_cursor(known.directory, builder.init_directory());
}

/// Reads the answer to a heartbeat, in a process that has the configuration `base`.
///
/// A configuration that arrives as changes is rebuilt from `base`.
///
/// # Errors
///
/// The message is malformed, its configuration is inconsistent, or its changes don't start
/// from `base`.
pub fn read(reader: news::Reader<'_>, base: &Rc<Configuration>) -> capnp::Result<Update> {
    let configuration = if reader.has_configuration() {
        let lists = lists::read(reader.get_configuration()?)?;
        let opened = Configuration::open(lists);
        Some(opened.map_err(|fault| capnp::Error::failed(fault.to_string()))?)
    } else {
        apply_changes(reader, base)?
    };
    Ok(Update {
        configuration,
        changes: Vec::new(),
        directory: directory::read(reader.get_directory()?)?,
    })
}

/// Applies the changes in turn, the first to `base`; `None` if there are none.
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

/// Writes the answer to a heartbeat.
pub fn write(update: &Update, mut builder: news::Builder<'_>) {
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

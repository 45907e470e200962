//! Heartbeats' contents and answers between processes.

use nutmegyoke_core::process::news::{Known, News};
use nutmegyoke_core::version::Configuration;

use super::directory;
use crate::connection::link_capnp::{known, news};
use crate::version::lists;

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

/// Reads what control teaches.
///
/// # Errors
///
/// The peer's message is malformed or its configuration contradicts itself.
pub fn read(reader: news::Reader<'_>) -> capnp::Result<News> {
    let configuration = if reader.has_configuration() {
        let lists = lists::read(reader.get_configuration()?)?;
        let opened = Configuration::open(lists);
        Some(opened.map_err(|fault| capnp::Error::failed(fault.to_string()))?)
    } else {
        None
    };
    Ok(News {
        configuration,
        directory: directory::read(reader.get_directory()?)?,
    })
}

/// Writes what control teaches.
pub fn write(news: &News, mut builder: news::Builder<'_>) {
    if let Some(configuration) = &news.configuration {
        let reborrowed = builder.reborrow();
        lists::write(configuration.lists(), reborrowed.init_configuration());
    }
    directory::write(&news.directory, builder.init_directory());
}

//! Changes of the directory, as sent between processes.

use nutmegyoke_core::process::directory::{Change, Cursor, Delta};

use super::member;
use crate::connection::convert::{length, set_texts, text, texts};
use crate::connection::link_capnp::{delta, endpoint_change, mark};

/// Reads how far a copy of the directory reaches.
#[must_use]
pub fn read_cursor(reader: mark::Reader<'_>) -> Cursor {
    Cursor {
        epoch: reader.get_epoch(),
        revision: reader.get_revision(),
    }
}

/// Writes how far a copy of the directory reaches.
pub fn write_cursor(cursor: Cursor, mut builder: mark::Builder<'_>) {
    builder.set_epoch(cursor.epoch);
    builder.set_revision(cursor.revision);
}

/// Reads the changes that bring a copy up to date.
///
/// # Errors
///
/// The message is malformed.
pub fn read(reader: delta::Reader<'_>) -> capnp::Result<Delta> {
    Ok(Delta {
        base: reader.get_base(),
        cursor: read_cursor(reader.get_mark()?),
        snapshot: reader.get_snapshot(),
        members: reader
            .get_members()?
            .iter()
            .map(member::read)
            .collect::<capnp::Result<_>>()?,
        changes: reader
            .get_changes()?
            .iter()
            .map(read_change)
            .collect::<capnp::Result<_>>()?,
        gone: texts(reader.get_gone())?,
    })
}

fn read_change(reader: endpoint_change::Reader<'_>) -> capnp::Result<Change> {
    Ok(Change {
        vm: text(reader.get_vm())?.to_owned(),
        endpoints: member::read_endpoints(reader.get_endpoints()?)?,
    })
}

/// Writes the changes that bring a copy up to date.
pub fn write(delta: &Delta, mut builder: delta::Builder<'_>) {
    write_cursor(delta.cursor, builder.reborrow().init_mark());
    builder.set_base(delta.base);
    builder.set_snapshot(delta.snapshot);
    let mut list = builder.reborrow().init_members(length(delta.members.len()));
    for (index, member) in (0..).zip(&delta.members) {
        member::write(member, list.reborrow().get(index));
    }
    let mut list = builder.reborrow().init_changes(length(delta.changes.len()));
    for (index, change) in (0..).zip(&delta.changes) {
        let mut row = list.reborrow().get(index);
        row.set_vm(&change.vm);
        let endpoints = row.init_endpoints(length(change.endpoints.len()));
        member::write_endpoints(&change.endpoints, endpoints);
    }
    let list = builder.init_gone(length(delta.gone.len()));
    set_texts(list, delta.gone.iter().map(String::as_str));
}

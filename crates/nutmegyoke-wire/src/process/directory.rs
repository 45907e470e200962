//! Changes of the directory between processes.

use nutmegyoke_core::process::directory::{Delta, Mark};

use super::member;
use crate::connection::link::{length, set_texts, texts};
use crate::connection::link_capnp::{delta, mark};

/// Reads a mark.
#[must_use]
pub fn read_mark(reader: mark::Reader<'_>) -> Mark {
    Mark {
        epoch: reader.get_epoch(),
        revision: reader.get_revision(),
    }
}

/// Writes a mark.
pub fn write_mark(mark: Mark, mut builder: mark::Builder<'_>) {
    builder.set_epoch(mark.epoch);
    builder.set_revision(mark.revision);
}

/// Reads a delta.
///
/// # Errors
///
/// The peer's message is malformed.
pub fn read(reader: delta::Reader<'_>) -> capnp::Result<Delta> {
    Ok(Delta {
        base: reader.get_base(),
        mark: read_mark(reader.get_mark()?),
        snapshot: reader.get_snapshot(),
        members: reader
            .get_members()?
            .iter()
            .map(member::read)
            .collect::<capnp::Result<_>>()?,
        gone: texts(reader.get_gone())?,
    })
}

/// Writes a delta.
pub fn write(delta: &Delta, mut builder: delta::Builder<'_>) {
    write_mark(delta.mark, builder.reborrow().init_mark());
    builder.set_base(delta.base);
    builder.set_snapshot(delta.snapshot);
    let mut list = builder.reborrow().init_members(length(delta.members.len()));
    for (index, member) in (0..).zip(&delta.members) {
        member::write(member, list.reborrow().get(index));
    }
    let list = builder.init_gone(length(delta.gone.len()));
    set_texts(list, delta.gone.iter().map(String::as_str));
}

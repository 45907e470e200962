//! Request IDs, as sent between processes.

use nutmegyoke_core::request::Id;

use crate::connection::link_capnp::id;

/// Reads a request ID.
#[must_use]
pub fn read(reader: id::Reader<'_>) -> Id {
    Id {
        entry: reader.get_entry(),
        number: reader.get_number(),
    }
}

/// Writes a request ID.
pub fn write(id: Id, mut builder: id::Builder<'_>) {
    builder.set_entry(id.entry);
    builder.set_number(id.number);
}

//! Routing documents, as sent between control replicas and kept in their journal.

use std::rc::Rc;

use nutmegyoke_core::version::Document;

use crate::connection::replica_capnp::document;

/// Reads a routing document.
///
/// # Errors
///
/// The message is malformed.
pub fn read(reader: document::Reader<'_>) -> capnp::Result<Rc<Document>> {
    Ok(Rc::new(Document {
        number: reader.get_number(),
        source: reader.get_source()?.into(),
    }))
}

/// Writes a routing document.
pub fn write(document: &Document, mut builder: document::Builder<'_>) {
    builder.set_number(document.number);
    builder.set_source(&document.source);
}

//! What the endpoint receives, passed on as the caller sent it.

use crate::connection::convert::text;
use crate::connection::link_capnp::payload;

/// A request's method, path and body as borrowed views.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Payload<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The path and query at the endpoint.
    pub path: &'a str,
    /// The content type of the body, empty if none was sent.
    pub content_type: &'a str,
    /// The body, unchanged.
    pub body: &'a [u8],
}

impl<'a> Payload<'a> {
    /// Reads the fields.
    ///
    /// # Errors
    ///
    /// The peer's message is malformed.
    pub fn read(reader: payload::Reader<'a>) -> capnp::Result<Self> {
        Ok(Self {
            method: text(reader.get_method())?,
            path: text(reader.get_path())?,
            content_type: text(reader.get_content_type())?,
            body: reader.get_body()?,
        })
    }

    /// Writes the fields.
    pub fn write(&self, mut builder: payload::Builder<'_>) {
        builder.set_method(self.method);
        builder.set_path(self.path);
        builder.set_content_type(self.content_type);
        builder.set_body(self.body);
    }
}

//! The HTTP request that an agent forwards to an endpoint.

use crate::connection::convert::text;
use crate::connection::link_capnp::payload;

/// The parts of a caller's HTTP request that the endpoint receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Payload<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The path and query at the endpoint.
    pub path: &'a str,
    /// The value of `Content-Type`; empty if the caller sent none.
    pub content_type: &'a str,
    /// The body as the caller sent it.
    pub body: &'a [u8],
}

impl<'a> Payload<'a> {
    /// Borrows the fields from a message.
    ///
    /// # Errors
    ///
    /// The message is malformed.
    pub fn read(reader: payload::Reader<'a>) -> capnp::Result<Self> {
        Ok(Self {
            method: text(reader.get_method())?,
            path: text(reader.get_path())?,
            content_type: text(reader.get_content_type())?,
            body: reader.get_body()?,
        })
    }

    /// Writes the fields into a message.
    pub fn write(&self, mut builder: payload::Builder<'_>) {
        builder.set_method(self.method);
        builder.set_path(self.path);
        builder.set_content_type(self.content_type);
        builder.set_body(self.body);
    }
}

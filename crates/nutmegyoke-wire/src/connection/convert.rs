//! Helpers shared by the capnp encodings of all folders.

use std::str::FromStr;
use std::time::Duration;

use capnp::Error;
use capnp::text;
use capnp::text_list;

/// Reads a text field.
///
/// # Errors
///
/// The peer's message is malformed or not UTF-8.
pub fn text(field: capnp::Result<text::Reader<'_>>) -> capnp::Result<&str> {
    Ok(field?.to_str()?)
}

/// Reads a text field that names a value of `T`.
///
/// # Errors
///
/// The peer's message is malformed or names no such value.
pub fn parse<T: FromStr>(field: capnp::Result<text::Reader<'_>>) -> capnp::Result<T> {
    let name = text(field)?;
    name.parse()
        .map_err(|_| Error::failed(format!("unknown name `{name}` in a peer's message")))
}

/// Reads a list of names.
///
/// # Errors
///
/// The peer's message is malformed or not UTF-8.
pub fn texts<T: for<'a> From<&'a str>>(
    list: capnp::Result<text_list::Reader<'_>>,
) -> capnp::Result<Vec<T>> {
    list?.iter().map(|item| Ok(text(item)?.into())).collect()
}

/// Reads a list of texts.
///
/// # Errors
///
/// The peer's message is malformed or not UTF-8.
pub fn strings(list: capnp::Result<text_list::Reader<'_>>) -> capnp::Result<Vec<String>> {
    list?
        .iter()
        .map(|item| Ok(text(item)?.to_owned()))
        .collect()
}

/// Writes a list of names.
pub fn set_texts<'a>(mut list: text_list::Builder<'_>, names: impl Iterator<Item = &'a str>) {
    for (index, name) in (0..).zip(names) {
        list.set(index, name);
    }
}

/// Converts a length into the range of a list; longer lists are never built.
#[must_use]
pub fn length(items: usize) -> u32 {
    u32::try_from(items).unwrap_or(u32::MAX)
}

/// A duration in whole milliseconds.
#[must_use]
pub fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

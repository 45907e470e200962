//! Conversions between capnp fields and Rust types.

use std::str::FromStr;
use std::time::Duration;

use capnp::Error;
use capnp::text;
use capnp::text_list;

/// Borrows the content of a text field.
///
/// # Errors
///
/// The message is malformed, or the text is not UTF-8.
pub fn text(field: capnp::Result<text::Reader<'_>>) -> capnp::Result<&str> {
    Ok(field?.to_str()?)
}

/// Parses a text field, such as an address or the name of an enum variant.
///
/// # Errors
///
/// The message is malformed, or the text is not a valid `T`.
pub fn parse<T: FromStr>(field: capnp::Result<text::Reader<'_>>) -> capnp::Result<T> {
    let name = text(field)?;
    name.parse()
        .map_err(|_| Error::failed(format!("unknown name `{name}` in a peer's message")))
}

/// Reads a list of texts as names of type `T`.
///
/// # Errors
///
/// The message is malformed, or a text is not UTF-8.
pub fn texts<T: for<'a> From<&'a str>>(
    list: capnp::Result<text_list::Reader<'_>>,
) -> capnp::Result<Vec<T>> {
    list?.iter().map(|item| Ok(text(item)?.into())).collect()
}

/// Reads a list of texts as strings.
///
/// # Errors
///
/// The message is malformed, or a text is not UTF-8.
pub fn strings(list: capnp::Result<text_list::Reader<'_>>) -> capnp::Result<Vec<String>> {
    list?
        .iter()
        .map(|item| Ok(text(item)?.to_owned()))
        .collect()
}

/// Writes `names` into a list that was initialized with their number.
pub fn set_texts<'a>(mut list: text_list::Builder<'_>, names: impl Iterator<Item = &'a str>) {
    for (index, name) in (0..).zip(names) {
        list.set(index, name);
    }
}

/// Converts a number of items to the length of a capnp list, capped at `u32::MAX`.
#[must_use]
pub fn length(items: usize) -> u32 {
    u32::try_from(items).unwrap_or(u32::MAX)
}

/// Converts a duration to whole milliseconds, rounded down and capped at `u64::MAX`.
#[must_use]
pub fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

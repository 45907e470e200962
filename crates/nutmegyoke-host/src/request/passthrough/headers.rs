//! Which headers go through.

use hyper::header::{
    CONNECTION, EXPECT, HeaderMap, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// The headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    EXPECT,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Not among the constants of `http`, but as much a matter of one connection.
const KEEP_ALIVE: &str = "keep-alive";

/// Copies what is not a matter of one connection.
pub fn copy(from: &HeaderMap, to: &mut HeaderMap) {
    to.extend(
        from.iter()
            .map(|(name, value)| (name.clone(), value.clone())),
    );
    strip(to);
}

/// Removes what is a matter of one connection.
pub fn strip(headers: &mut HeaderMap) {
    let connection_options = headers.get_all(CONNECTION).iter();
    let connection_options: Vec<HeaderName> = connection_options
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_options.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
}

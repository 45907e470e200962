//! Removes the headers that are not forwarded.

use hyper::header::{
    CONNECTION, EXPECT, HeaderMap, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// The hop-by-hop headers, which concern a single connection.
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

/// A hop-by-hop header for which `http` has no constant.
const KEEP_ALIVE: &str = "keep-alive";

/// Copies all but the hop-by-hop headers.
pub fn copy(from: &HeaderMap, to: &mut HeaderMap) {
    to.extend(
        from.iter()
            .map(|(name, value)| (name.clone(), value.clone())),
    );
    strip(to);
}

/// Removes the hop-by-hop headers and those that `Connection` lists.
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

//! Which statuses end a request.

use http::StatusCode;

/// Whether an answer with this status ends a request: 1xx doesn't, and HTTP knows no classes
/// after 5xx. The library refuses numbers below 100.
#[must_use]
pub fn is_final(status: StatusCode) -> bool {
    status.is_success()
        || status.is_redirection()
        || status.is_client_error()
        || status.is_server_error()
}

//! Errors that prevent a process from starting.

use std::io;
use std::net::SocketAddr;

use derive_more::{Display, Error};

use super::journal;

/// Why a process can't start, with a remedy where there is one.
#[derive(Debug, Display, Error)]
pub enum Failure {
    /// An address could not be bound.
    #[display(
        "cannot listen on {address}: {source}; set `{key}` (demo: --{key}) to a free address of this VM"
    )]
    Bind {
        address: SocketAddr,
        key: &'static str,
        source: io::Error,
    },
    /// The HTTP client could not be built.
    #[display("cannot build the HTTP client: {source}")]
    Client { source: cyper::Error },
    /// The metrics could not be registered.
    #[display("cannot register metrics: {source}")]
    Metrics { source: prometheus::Error },
    /// The journal could not be opened.
    #[display("{source}")]
    Journal { source: journal::Failure },
}

//! A client of the HTTP interfaces for operators: that of control processes and the registrar
//! of gateways.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error, From};
use nutmegyoke_host::version::lists;

const EXIT_UNREACHABLE: u8 = 1;
const EXIT_WARNINGS: u8 = 1;
const EXIT_INPUT: u8 = 2;
const EXIT_REFUSED: u8 = 3;

/// The timeout of one call to a control process.
const TIMEOUT: Duration = Duration::from_secs(10);

/// An error that ends a command.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// The event loop cannot start.
    #[display("cannot start the event loop: {_0}")]
    EventLoop(io::Error),
    /// The lists are invalid.
    #[display("{_0}")]
    Lists(lists::Failure),
    /// The input of the command is invalid.
    #[display("{message}")]
    #[from(ignore)]
    Input { message: String },
    /// The control process cannot be reached.
    #[display(
        "cannot call {address}: {source}; is it the operators' address of a control process?"
    )]
    #[from(ignore)]
    Call {
        address: SocketAddr,
        source: cyper::Error,
    },
    /// The registrar of a gateway cannot be reached.
    #[display("cannot call {address}: {source}; is it the registrar's address of a gateway?")]
    #[from(ignore)]
    Registrar {
        address: SocketAddr,
        source: cyper::Error,
    },
    /// The process did not answer within [`TIMEOUT`].
    #[display("{address}: no answer within {} s; the outcome is unknown, run the command again", TIMEOUT.as_secs())]
    #[from(ignore)]
    Timeout { address: SocketAddr },
    /// The body of the response cannot be decoded.
    #[display(
        "{address}: cannot decode the response: {source}; is it a control process of the same version?"
    )]
    #[from(ignore)]
    Response {
        address: SocketAddr,
        source: serde_json::Error,
    },
    /// The list of endpoints cannot be decoded.
    #[display(
        "{address}: cannot decode the response: {source}; is it the registrar's address of a gateway?"
    )]
    #[from(ignore)]
    Listing {
        address: SocketAddr,
        source: serde_json::Error,
    },
    /// The routing document in force cannot be decoded.
    #[display(
        "{address}: cannot decode the document in force: {source}; was it published by another version?"
    )]
    #[from(ignore)]
    InForce {
        address: SocketAddr,
        source: nutmegyoke_platform::Fault,
    },
    /// The routing document that was checked has warnings, which `--strict` does not allow.
    #[display("the document has {count} warnings")]
    #[from(ignore)]
    Warnings { count: usize },
    /// The routing document that was checked has errors.
    #[display("the document has {count} errors: a gateway would reject it")]
    #[from(ignore)]
    Errors { count: usize },
    /// The process refused, or the result of the command is a failure.
    #[display("{message}")]
    #[from(ignore)]
    Refused { message: String },
}

impl Failure {
    /// The exit code of the tool, which scripts rely on.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::EventLoop(_)
            | Self::Call { .. }
            | Self::Registrar { .. }
            | Self::Timeout { .. }
            | Self::Response { .. }
            | Self::Listing { .. }
            | Self::InForce { .. } => EXIT_UNREACHABLE,
            Self::Warnings { .. } => EXIT_WARNINGS,
            Self::Lists(_) | Self::Input { .. } | Self::Errors { .. } => EXIT_INPUT,
            Self::Refused { .. } => EXIT_REFUSED,
        }
    }
}

/// An HTTP response.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    pub body: Vec<u8>,
}

/// Sends a GET request for `path` to the control process at `address`.
///
/// # Errors
///
/// The control process cannot be reached or does not answer in time.
pub fn get(address: SocketAddr, path: &str) -> Result<Response, Failure> {
    call(address, http::Method::GET, path, Vec::new())
}

/// Posts `body` to `path` of the control process at `address`.
///
/// # Errors
///
/// The control process cannot be reached or does not answer in time.
pub fn post(address: SocketAddr, path: &str, body: Vec<u8>) -> Result<Response, Failure> {
    call(address, http::Method::POST, path, body)
}

/// Sends a request to the control process at `address` and waits for the response.
///
/// # Errors
///
/// The control process cannot be reached or does not answer in time.
pub fn call(
    address: SocketAddr,
    method: http::Method,
    path: &str,
    body: Vec<u8>,
) -> Result<Response, Failure> {
    let runtime = compio::runtime::Runtime::new()?;
    let exchange = exchange(address, method, path, body);
    let result = runtime.block_on(compio::time::timeout(TIMEOUT, exchange));
    result
        .map_err(|_| Failure::Timeout { address })?
        .map_err(|source| Failure::Call { address, source })
}

async fn exchange(
    address: SocketAddr,
    method: http::Method,
    path: &str,
    body: Vec<u8>,
) -> cyper::Result<Response> {
    let client = cyper::Client::new()?;
    let request = client.request(method, format!("http://{address}{path}"))?;
    let response = request.body(body).send().await?;
    Ok(Response {
        status: response.status().as_u16(),
        body: response.bytes().await?.to_vec(),
    })
}

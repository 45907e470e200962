//! Calls the operators' interface of a control process.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error, From};
use nutmegyoke_host::version::lists;

const EXIT_UNREACHABLE: u8 = 1;
const EXIT_INPUT: u8 = 2;
const EXIT_REFUSED: u8 = 3;

/// How long a control process may take to answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// The event loop can't start.
    #[display("cannot start the event loop: {_0}")]
    EventLoop(io::Error),
    /// The lists are wrong.
    #[display("{_0}")]
    Lists(lists::Failure),
    /// What the command was given can't be used.
    #[display("{message}")]
    #[from(ignore)]
    Input { message: String },
    /// The control process can't be reached.
    #[display("{address}: {source}; is it the operators' address of a control process?")]
    #[from(ignore)]
    Call {
        address: SocketAddr,
        source: cyper::Error,
    },
    /// The control process did not answer in time.
    #[display("{address}: no answer within {} s; the outcome is unknown, send it again", TIMEOUT.as_secs())]
    #[from(ignore)]
    Timeout { address: SocketAddr },
    /// The answer is not what a control process sends.
    #[display("{address}: unexpected answer: {source}")]
    #[from(ignore)]
    Response {
        address: SocketAddr,
        source: serde_json::Error,
    },
    /// The control process refused.
    #[display("{message}")]
    #[from(ignore)]
    Refused { message: String },
}

impl Failure {
    /// The exit code that scripts see.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::EventLoop(_)
            | Self::Call { .. }
            | Self::Timeout { .. }
            | Self::Response { .. } => EXIT_UNREACHABLE,
            Self::Lists(_) | Self::Input { .. } => EXIT_INPUT,
            Self::Refused { .. } => EXIT_REFUSED,
        }
    }
}

/// An answer of a control process.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

/// Gets `path` from the control process at `address`.
///
/// # Errors
///
/// The control process can't be reached or does not answer in time.
pub fn get(address: SocketAddr, path: &str) -> Result<Response, Failure> {
    call(address, http::Method::GET, path, Vec::new())
}

/// Posts `body` to `path` of the control process at `address`.
///
/// # Errors
///
/// The control process can't be reached or does not answer in time.
pub fn post(address: SocketAddr, path: &str, body: Vec<u8>) -> Result<Response, Failure> {
    call(address, http::Method::POST, path, body)
}

/// Calls the control process at `address`.
///
/// # Errors
///
/// The control process can't be reached or does not answer in time.
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

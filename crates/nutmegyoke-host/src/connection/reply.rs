//! Reads the body of an engine's reply to a call of nutmegyoke itself.

use derive_more::{Display, Error, From};
use futures_util::{StreamExt, pin_mut};

/// The longest reply that is read, in bytes. A report of an engine that holds thousands of
/// adapters is shorter.
pub const MAX_REPLY_BYTES: usize = 1024 * 1024;

/// Why a reply could not be read.
#[derive(Debug, Display, Error, From)]
pub enum Failure {
    /// The connection failed.
    #[display("{_0}")]
    Call(cyper::Error),
    /// The body is too long.
    #[display("the reply is longer than {MAX_REPLY_BYTES} bytes; look at the engine")]
    TooLong,
}

/// Reads the body of `response`, [`MAX_REPLY_BYTES`] at most.
///
/// # Errors
///
/// The body is longer, or the connection failed.
pub async fn read(response: cyper::Response) -> Result<Vec<u8>, Failure> {
    let chunks = response.bytes_stream();
    pin_mut!(chunks);
    let mut body = Vec::new();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk?;
        if body.len() + chunk.len() > MAX_REPLY_BYTES {
            return Err(Failure::TooLong);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

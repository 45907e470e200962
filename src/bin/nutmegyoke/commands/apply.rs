//! `nutmegyoke apply`: submits the two lists as a new configuration.

use std::net::SocketAddr;

use clap::Args;
use nutmegyoke_core::process::control::Acceptance;
use nutmegyoke_wire::version::json;

use super::files::Files;
use crate::client::{self, Failure};

/// Submit the two lists as a new configuration; repeating the command is safe.
#[derive(Debug, Args)]
pub struct Apply {
    /// The operators' address of a control process.
    #[arg(long, value_name = "ADDR")]
    control: SocketAddr,

    /// The number of the configuration, higher than that of the one in force.
    #[arg(long, value_name = "NUMBER", value_parser = clap::value_parser!(u64).range(1..))]
    number: u64,

    #[command(flatten)]
    files: Files,

    /// Print the result as JSON.
    #[arg(long)]
    json: bool,
}

impl Apply {
    pub fn run(&self) -> Result<(), Failure> {
        let lists = self.files.read(self.number)?;
        let response = client::post(self.control, "/v1/configuration", json::encode(&lists))?;
        if !matches!(response.status, 200 | 409) {
            let message = String::from_utf8_lossy(&response.body).into_owned();
            return Err(Failure::Refused { message });
        }
        let acceptance = json::decode_acceptance(&response.body);
        let acceptance = acceptance.map_err(|source| Failure::Response {
            address: self.control,
            source,
        })?;
        if self.json {
            println!("{}", String::from_utf8_lossy(&response.body));
        }
        match acceptance {
            Acceptance::Accepted { number, digest } => {
                if !self.json {
                    println!("configuration {number} is accepted, digest {digest:016x}");
                }
                Ok(())
            }
            Acceptance::Conflict { number, digest } => Err(Failure::Refused {
                message: format!(
                    "configuration {number} was accepted before with other content, digest {digest:016x}: \
                     check it with `nutmegyoke status`, then apply under a higher number"
                ),
            }),
            Acceptance::Stale { number } => Err(Failure::Refused {
                message: format!("configuration {number} is in force: apply under a higher number"),
            }),
        }
    }
}

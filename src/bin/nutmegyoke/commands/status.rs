//! `nutmegyoke status`: shows the version in force by process and data centre.

use std::net::SocketAddr;

use clap::Args;
use nutmegyoke_core::process::endpoint::Phase;
use nutmegyoke_wire::process;

use crate::operators::{self, Failure};

/// Show the fleet as a control process sees it.
#[derive(Debug, Args)]
pub struct Status {
    /// The operators' address of a control process.
    #[arg(long, value_name = "ADDR")]
    control: SocketAddr,

    /// Print the status as JSON.
    #[arg(long)]
    json: bool,
}

impl Status {
    pub fn run(&self) -> Result<(), Failure> {
        let answer = operators::get(self.control, "/v1/status")?;
        if answer.status != 200 {
            let why = String::from_utf8_lossy(&answer.body).into_owned();
            return Err(Failure::Refused { why });
        }
        let status = process::Status::decode(&answer.body);
        let status = status.map_err(|source| Failure::Answer {
            address: self.control,
            source,
        })?;
        if self.json {
            println!("{}", String::from_utf8_lossy(&answer.body));
            return Ok(());
        }
        println!(
            "configuration {} accepted, digest {:016x}",
            status.number, status.digest
        );
        for member in &status.members {
            let draining = member
                .endpoints
                .iter()
                .filter(|row| row.phase == Phase::Draining);
            println!(
                "{:<12} {:<20} {:<8} configuration {:<6} {} endpoints, {} draining",
                member.data_centre.as_str(),
                member.vm.name,
                member.role.to_string(),
                member.configuration,
                member.endpoints.len(),
                draining.count()
            );
        }
        Ok(())
    }
}

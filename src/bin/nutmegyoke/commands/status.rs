//! `nutmegyoke status`: shows the version in force by process and data centre.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use clap::Args;
use nutmegyoke_core::process::Member;
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
        let leader = status.leader.as_deref().unwrap_or("none");
        println!("leader {leader}, term {}", status.term);
        for replica in &status.replicas {
            println!(
                "replica {:<12} {} {} {:<8} {}",
                replica.seed.name,
                replica.seed.address,
                replica.id,
                if replica.voter { "voter" } else { "learner" },
                replica.lag.map_or("lag unknown".to_owned(), |lag| format!(
                    "{lag} entries behind"
                ))
            );
        }
        for ((place, number), count) in in_force(&status.members) {
            println!("{place:<12} configuration {number:<6} in force in {count} processes");
        }
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

/// How many processes of each data centre have each version in force.
fn in_force(members: &[Member]) -> BTreeMap<(&str, u64), usize> {
    let mut counts = BTreeMap::new();
    for member in members {
        let place = (member.data_centre.as_str(), member.configuration);
        *counts.entry(place).or_default() += 1;
    }
    counts
}

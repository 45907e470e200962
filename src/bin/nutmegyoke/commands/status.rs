//! `nutmegyoke status`: shows the leader, the replicas and the configuration in force, by
//! data centre and process.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use clap::Args;
use nutmegyoke_core::process::Member;
use nutmegyoke_core::process::endpoint::Phase;
use nutmegyoke_wire::process;

use crate::client::{self, Failure};

/// Show the state of the fleet as known to a control process.
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
        let response = client::get(self.control, "/v1/status")?;
        if response.status != 200 {
            let message = String::from_utf8_lossy(&response.body).into_owned();
            return Err(Failure::Refused { message });
        }
        let status = process::Status::decode(&response.body);
        let status = status.map_err(|source| Failure::Response {
            address: self.control,
            source,
        })?;
        if self.json {
            println!("{}", String::from_utf8_lossy(&response.body));
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
        for ((data_centre, number), count) in count_by_configuration(&status.members) {
            println!("{data_centre:<12} configuration {number:<6} in force in {count} processes");
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

/// Counts the processes by data centre and number of the configuration in force.
fn count_by_configuration(members: &[Member]) -> BTreeMap<(&str, u64), usize> {
    let mut counts = BTreeMap::new();
    for member in members {
        let key = (member.data_centre.as_str(), member.configuration);
        *counts.entry(key).or_default() += 1;
    }
    counts
}

//! `nutmegyoke replica`: changes which VMs hold a replica of the state.

use std::net::SocketAddr;

use clap::{Args, Subcommand};

use crate::operators::{self, Failure};

/// Change which control VMs hold a replica of the state.
#[derive(Debug, Args)]
pub struct Replica {
    #[command(subcommand)]
    change: Change,
}

#[derive(Debug, Subcommand)]
enum Change {
    /// Let a VM join; it becomes a voter once it has caught up.
    Add(Place),
    /// Take a VM's replica out; its data folder is of no more use.
    Remove(Place),
}

#[derive(Debug, Args)]
struct Place {
    /// The name of the VM, as in its settings.
    name: String,

    /// The operators' address of a control process.
    #[arg(long, value_name = "ADDR")]
    control: SocketAddr,
}

impl Replica {
    pub fn run(&self) -> Result<(), Failure> {
        let (method, place, done) = match &self.change {
            Change::Add(place) => (http::Method::PUT, place, "may join"),
            Change::Remove(place) => (http::Method::DELETE, place, "is removed"),
        };
        let path = format!("/v1/replicas/{}", place.name);
        let answer = operators::call(place.control, method, &path, Vec::new())?;
        if answer.status != 200 {
            let why = String::from_utf8_lossy(&answer.body).trim().to_owned();
            return Err(Failure::Refused { why });
        }
        println!("{} {done}", place.name);
        Ok(())
    }
}

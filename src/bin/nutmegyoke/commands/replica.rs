//! `nutmegyoke replica`: changes the membership of the control replicas.

use std::net::SocketAddr;

use clap::{Args, Subcommand};

use crate::client::{self, Failure};

/// Change which control VMs hold a replica of the state.
#[derive(Debug, Args)]
pub struct Replica {
    #[command(subcommand)]
    change: Change,
}

#[derive(Debug, Subcommand)]
enum Change {
    /// Let a VM join as a learner; it becomes a voter once it has caught up.
    Add(Options),
    /// Remove a VM's replica; its data folder can't be used again.
    Remove(Options),
}

#[derive(Debug, Args)]
struct Options {
    /// The name of the VM, as in its settings.
    name: String,

    /// The operators' address of a control process.
    #[arg(long, value_name = "ADDR")]
    control: SocketAddr,
}

impl Replica {
    pub fn run(&self) -> Result<(), Failure> {
        let (method, options, outcome) = match &self.change {
            Change::Add(options) => (http::Method::PUT, options, "may join the control replicas"),
            Change::Remove(options) => (
                http::Method::DELETE,
                options,
                "is removed from the control replicas",
            ),
        };
        let path = format!("/v1/replicas/{}", options.name);
        let response = client::call(options.control, method, &path, Vec::new())?;
        if response.status != 200 {
            let message = String::from_utf8_lossy(&response.body).trim().to_owned();
            return Err(Failure::Refused { message });
        }
        println!("{} {outcome}", options.name);
        Ok(())
    }
}

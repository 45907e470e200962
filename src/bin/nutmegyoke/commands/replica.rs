//! `nutmegyoke replica`: changes which VMs hold a replica of the state.

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
    /// Let a VM join; it becomes a voter once it has caught up.
    Add(Options),
    /// Take a VM's replica out; its data folder is of no more use.
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
            Change::Add(options) => (http::Method::PUT, options, "may join"),
            Change::Remove(options) => (http::Method::DELETE, options, "is removed"),
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

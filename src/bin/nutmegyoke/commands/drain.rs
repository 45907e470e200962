//! `nutmegyoke drain`: withdraws the endpoints of a VM from service.

use std::net::SocketAddr;

use clap::Args;
use nutmegyoke_wire::process::Withdrawal;

use crate::client::{self, Failure};

/// Withdraw endpoints from service: they get no new work and finish what they have.
#[derive(Debug, Args)]
pub struct Drain {
    /// The operators' address of a control process.
    #[arg(long, value_name = "ADDR")]
    control: SocketAddr,

    /// The VM whose endpoints are withdrawn.
    #[arg(long, value_name = "NAME")]
    vm: String,

    /// Only this endpoint of the VM.
    #[arg(long, value_name = "NAME")]
    endpoint: Option<String>,

    /// Put withdrawn endpoints back into service.
    #[arg(long)]
    undo: bool,

    /// Print the outcome as JSON.
    #[arg(long)]
    json: bool,
}

impl Drain {
    pub fn run(&self) -> Result<(), Failure> {
        let withdrawal = Withdrawal {
            vm: self.vm.clone(),
            endpoint: self.endpoint.clone(),
            withdrawn: !self.undo,
        };
        let body = withdrawal.encode();
        let response = client::post(self.control, "/v1/withdrawal", body)?;
        if response.status != 200 {
            let message = String::from_utf8_lossy(&response.body).into_owned();
            return Err(Failure::Refused { message });
        }
        if self.json {
            println!("{}", String::from_utf8_lossy(&withdrawal.encode()));
        } else if self.undo {
            println!("back in service");
        } else {
            println!("withdrawn: gets no new work; `nutmegyoke status` shows it as draining");
        }
        Ok(())
    }
}

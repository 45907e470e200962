//! `nutmegyoke drain`: withdraws the endpoints of a VM, or returns them to service.

use std::net::SocketAddr;

use clap::Args;
use nutmegyoke_wire::process::Withdrawal;

use crate::client::{self, Failure};

/// Withdraw endpoints from service: they get no new requests and finish the current ones.
#[derive(Debug, Args)]
pub struct Drain {
    /// The operators' address of a control process.
    #[arg(long, value_name = "ADDR")]
    control: SocketAddr,

    /// The VM whose endpoints are withdrawn.
    #[arg(long, value_name = "NAME")]
    vm: String,

    /// Apply the command to this endpoint of the VM only.
    #[arg(long, value_name = "NAME")]
    endpoint: Option<String>,

    /// Return withdrawn endpoints to service.
    #[arg(long)]
    undo: bool,

    /// Print the result as JSON.
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
            println!(
                "withdrawn: no new requests are sent there; `nutmegyoke status` counts them as draining"
            );
        }
        Ok(())
    }
}

//! `nutmegyoke plan`: shows the loads and unloads that a new configuration would cause.

use std::net::SocketAddr;

use clap::Args;
use nutmegyoke_core::process::control::planner::Preview;
use nutmegyoke_wire::process::preview;
use nutmegyoke_wire::version::json;

use super::files::Files;
use crate::client::{self, Failure};

/// Show the loads and unloads for the two lists, and whether they fit; changes nothing.
#[derive(Debug, Args)]
pub struct Plan {
    /// The operators' address of the leading control process.
    #[arg(long, value_name = "ADDR")]
    control: SocketAddr,

    #[command(flatten)]
    files: Files,

    /// Print the moves as JSON.
    #[arg(long)]
    json: bool,
}

impl Plan {
    pub fn run(&self) -> Result<(), Failure> {
        let lists = self.files.read(0)?;
        let response = client::post(self.control, "/v1/plan", json::encode(&lists))?;
        if response.status != 200 {
            let message = String::from_utf8_lossy(&response.body).into_owned();
            return Err(Failure::Refused { message });
        }
        let preview = preview::decode(&response.body).map_err(|source| Failure::Response {
            address: self.control,
            source,
        })?;
        if self.json {
            println!("{}", String::from_utf8_lossy(&response.body));
        } else {
            print_moves(&preview);
        }
        check_fit(&preview)
    }
}

fn print_moves(preview: &Preview) {
    for change in &preview.moves {
        println!("{}/{}: {}", change.vm, change.endpoint, change.action);
    }
    println!(
        "{} moves; {} bytes needed, {} bytes available on the engines",
        preview.moves.len(),
        preview.needed,
        preview.available
    );
}

/// Returns an error if some items fit on no engine.
fn check_fit(preview: &Preview) -> Result<(), Failure> {
    if preview.homeless.is_empty() {
        return Ok(());
    }
    let names = preview.homeless.iter().map(ToString::to_string);
    let names: Vec<String> = names.collect();
    let message = format!(
        "the lists do not fit on the engines: {} bytes short, no room for {}; \
         remove items from the lists or add engines",
        preview.shortfall,
        names.join(", ")
    );
    Err(Failure::Refused { message })
}

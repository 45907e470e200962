//! `nutmegyoke check`: validates the two lists offline.

use std::path::PathBuf;

use clap::Args;
use nutmegyoke_host::version::lists;

use crate::operators::Failure;

/// Check the two lists without contacting the fleet.
#[derive(Debug, Args)]
pub struct Check {
    /// The plans list.
    #[arg(long, value_name = "FILE")]
    plans: PathBuf,

    /// The grants list.
    #[arg(long, value_name = "FILE")]
    grants: PathBuf,

    /// Print the outcome as JSON.
    #[arg(long)]
    json: bool,
}

impl Check {
    pub fn run(&self) -> Result<(), Failure> {
        let lists = lists::read(0, &self.plans, &self.grants)?;
        let (plans, grants) = (lists.plans.len(), lists.grants.len());
        if self.json {
            println!("{}", serde_json::json!({"plans": plans, "grants": grants}));
        } else {
            println!("the lists are valid: {plans} plans, {grants} grants");
        }
        Ok(())
    }
}

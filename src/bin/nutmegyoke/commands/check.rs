//! `nutmegyoke check`: validates the two lists offline.

use clap::Args;

use super::files::Files;
use crate::client::Failure;

/// Validate the two lists without contacting the fleet.
#[derive(Debug, Args)]
pub struct Check {
    #[command(flatten)]
    files: Files,

    /// Print the result as JSON.
    #[arg(long)]
    json: bool,
}

impl Check {
    pub fn run(&self) -> Result<(), Failure> {
        let lists = self.files.read(0)?;
        let (plans, grants) = (lists.plans.len(), lists.grants.len());
        if self.json {
            println!("{}", serde_json::json!({"plans": plans, "grants": grants}));
        } else {
            println!("the lists are valid: {plans} plans, {grants} grants");
        }
        Ok(())
    }
}

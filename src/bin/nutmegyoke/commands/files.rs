//! The files of the two lists, as several subcommands take them.

use std::path::PathBuf;

use clap::Args;
use nutmegyoke_core::version::configuration::Lists;
use nutmegyoke_host::version::lists;

use crate::client::Failure;

/// Where the two lists are.
#[derive(Debug, Args)]
pub struct Files {
    /// The plans list.
    #[arg(long, value_name = "FILE")]
    plans: PathBuf,

    /// The grants list.
    #[arg(long, value_name = "FILE")]
    grants: PathBuf,
}

impl Files {
    /// Reads and checks both lists whole, under `number`.
    pub fn read(&self, number: u64) -> Result<Lists, Failure> {
        Ok(lists::read(number, &self.plans, &self.grants)?)
    }
}

//! The options with the files of the two lists, shared by several subcommands.

use std::path::PathBuf;

use clap::Args;
use nutmegyoke_core::version::configuration::Lists;
use nutmegyoke_host::version::lists;

use crate::client::Failure;

/// The paths of the two lists.
#[derive(Debug, Args)]
pub struct Files {
    /// The file with the plans list.
    #[arg(long, value_name = "FILE")]
    plans: PathBuf,

    /// The file with the grants list.
    #[arg(long, value_name = "FILE")]
    grants: PathBuf,
}

impl Files {
    /// Reads and validates both lists as configuration `number`.
    pub fn read(&self, number: u64) -> Result<Lists, Failure> {
        Ok(lists::read(number, &self.plans, &self.grants)?)
    }
}

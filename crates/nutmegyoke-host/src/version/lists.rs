//! Reads the operators' two lists, the plans and the grants, from files.

use std::io;
use std::path::{Path, PathBuf};

use derive_more::{Display, Error};
use nutmegyoke_core::version::Configuration;
use nutmegyoke_core::version::configuration::{self, Lists};
use nutmegyoke_wire::process::ini;
use nutmegyoke_wire::version::ini as lists;

/// Why the lists can't be used.
#[derive(Debug, Display, Error)]
pub enum Failure {
    /// A file could not be read.
    #[display("{}: {source}; name a readable file", path.display())]
    Read { path: PathBuf, source: io::Error },
    /// A file is not a valid list.
    #[display("{source}")]
    Parse { source: ini::Fault },
    /// The lists contradict each other.
    #[display("{source}")]
    Check { source: configuration::Fault },
}

/// Reads both lists from the files `plans` and `grants` and checks them as
/// configuration `number`.
///
/// # Errors
///
/// A file can't be read, or a list has a fault; the message describes the first fault and how
/// to correct it.
pub fn read(number: u64, plans: &Path, grants: &Path) -> Result<Lists, Failure> {
    let parse = |source| Failure::Parse { source };
    let text = read_file(plans)?;
    let plan_rows = lists::plans(&plans.display().to_string(), &text).map_err(parse)?;
    let text = read_file(grants)?;
    let grant_rows = lists::grants(&grants.display().to_string(), &text).map_err(parse)?;
    let lists = Lists {
        number,
        plans: plan_rows,
        grants: grant_rows,
    };
    let checked = Configuration::open(lists);
    let configuration = checked.map_err(|source| Failure::Check { source })?;
    Ok(configuration.lists().clone())
}

fn read_file(path: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(path).map_err(|source| Failure::Read {
        path: path.to_owned(),
        source,
    })
}

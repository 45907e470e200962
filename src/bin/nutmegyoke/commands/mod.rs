//! The subcommands, one per file.

mod apply;
mod audit;
mod check;
mod drain;
mod explain;
mod files;
mod plan;
mod replica;
mod status;

use clap::Subcommand;

use super::client::Failure;

/// A subcommand with its options.
#[derive(Debug, Subcommand)]
pub enum Command {
    Audit(audit::Audit),
    Check(check::Check),
    Apply(apply::Apply),
    Drain(drain::Drain),
    Explain(explain::Explain),
    Plan(plan::Plan),
    Replica(replica::Replica),
    Status(status::Status),
}

impl Command {
    /// Runs the subcommand.
    pub fn run(&self) -> Result<(), Failure> {
        match self {
            Self::Audit(command) => command.run(),
            Self::Check(command) => command.run(),
            Self::Apply(command) => command.run(),
            Self::Drain(command) => command.run(),
            Self::Explain(command) => command.run(),
            Self::Plan(command) => command.run(),
            Self::Replica(command) => command.run(),
            Self::Status(command) => command.run(),
        }
    }
}

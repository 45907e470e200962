//! The operators' command-line tool.
//!
//! Exit codes: 0 done, 1 the fleet could not be reached, 2 wrong command line
//! or input, 3 the fleet refused.

mod client;
mod commands;
mod log;

use std::process::ExitCode;

use clap::Parser;

/// Drives nutmegyoke by the operators' two lists.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Options {
    #[command(subcommand)]
    command: commands::Command,
}

fn main() -> ExitCode {
    match Options::parse().command.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("nutmegyoke: {failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}

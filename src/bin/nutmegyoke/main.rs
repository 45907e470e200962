//! The operators' command-line tool.
//!
//! `explain`, `audit` and, without an address, `check` only read files or standard input. The
//! other subcommands call the operators' HTTP interface of a control process or gateway, which
//! holds the state of the fleet.
//!
//! Exit codes: 0 on success, 1 if the fleet cannot be reached or its answer cannot be
//! decoded or `check --strict` finds warnings, 2 if the command line or the input is invalid, 3 if the fleet refuses, `plan`
//! finds that the lists do not fit or `audit` finds requests without a cause.

mod client;
mod commands;
mod log;

use std::process::ExitCode;

use clap::Parser;

/// The command line of the operators' tool.
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

//! The daemon: one process of a fleet, or the demo of a whole fleet.
//!
//! `nutmegyoked --settings FILE.ini` runs the role given in the file until SIGTERM, then
//! finishes the requests in flight. `nutmegyoked --demo` runs the roles entry, agent and
//! control and small stand-in endpoints in one process.
//!
//! Exit codes: 0 after a graceful stop, 1 if the process cannot start or its journal fails,
//! 2 if the command line or the settings are invalid, 3 if it stopped before it was idle
//! and cut off requests.

mod demo;
mod run;
mod watch;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

/// Serves many language models and their adapters from fewer accelerators.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Options {
    /// Run the role given in this INI file.
    #[arg(long, value_name = "FILE", required_unless_present = "demo")]
    settings: Option<PathBuf>,

    /// Run a whole fleet with small stand-in endpoints in this process.
    #[arg(long, conflicts_with = "settings")]
    demo: bool,

    /// The address at which the demo serves callers.
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:8470")]
    callers: SocketAddr,

    /// The address at which the demo serves operators.
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:8471")]
    operators: SocketAddr,
}

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_CUT_OFF: u8 = 3;

fn main() -> ExitCode {
    let options = Options::parse();
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("nutmegyoked: cannot start the event loop: {error}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    let result = match &options.settings {
        Some(path) => runtime.block_on(run::run(path)),
        None => runtime.block_on(demo::run(options.callers, options.operators)),
    };
    nutmegyoke_host::process::log::close();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("nutmegyoked: {failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}

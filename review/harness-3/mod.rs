//! What the cases 11 to 15 share: a small deployment of the project's processes, and stand-ins for
//! clients, servers and the operator, which do what the users' pages say.

#![allow(dead_code, reason = "each case uses a part")]

pub mod fleet;
pub mod http;
pub mod record;
pub mod server;
pub mod tainted;

use std::path::Path;
use std::process::ExitCode;

pub use record::Record;

/// Whether the rule was broken, or why the case could not run.
pub type Outcome = Result<bool, Box<dyn std::error::Error>>;

/// Runs a case. The arguments of the program are the record's path and an empty folder. The
/// environment variable `TROUBLE=0` leaves out the disruption.
///
/// Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
pub fn run(case: impl FnOnce(&Record, &Path, bool) -> Outcome) -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, record, folder] = arguments.as_slice() else {
        eprintln!("usage: case RECORD FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::open(Path::new(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    record.note(if trouble {
        "with the disruption"
    } else {
        "without the disruption"
    });
    let outcome = case(&record, Path::new(folder), trouble);
    fleet::end_all();
    match outcome {
        Ok(true) => {
            record.note("the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            record.note("the rule held");
            ExitCode::SUCCESS
        }
        Err(error) => {
            record.note(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}

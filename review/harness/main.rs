//! Runs a case of the review: `harness CASE RECORD`, in the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment the disruption is left out.

#![allow(dead_code, reason = "each case uses its own part")]

mod config;
mod displaced_engine;
mod first_start;
mod fleet;
mod http;
mod odd_entry;
mod record;
mod replaced_voter;
mod server;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use record::Record;

/// The longest run of a case. After that its processes are killed.
const LIMIT: Duration = Duration::from_secs(112);

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not be set up.
    Impossible,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else {
        eprintln!("usage: harness CASE RECORD");
        return ExitCode::from(2);
    };
    let record = Arc::new(Record::open(Path::new(path)));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!("case {case}, disruption: {trouble}"));
    fleet::spawn_watchdog(LIMIT);
    let verdict = match case.as_str() {
        "replaced-voter" => replaced_voter::run(&record, trouble),
        "first-start" => first_start::run(&record, trouble),
        "odd-entry" => odd_entry::run(&record, trouble),
        "displaced-engine" => displaced_engine::run(&record, trouble),
        _ => {
            eprintln!("there is no case {case}");
            return ExitCode::from(2);
        }
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::Impossible => ("the case could not run", 2),
    };
    record.line(text);
    println!("{case}: {text}");
    ExitCode::from(code)
}

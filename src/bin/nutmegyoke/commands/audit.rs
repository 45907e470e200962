//! `nutmegyoke audit`: counts how requests ended, and lists those for which the logs give
//! no cause.

use std::collections::BTreeMap;
use std::path::PathBuf;

use clap::Args;
use serde_json::Value;

use crate::client::Failure;
use crate::log::{Line, Log};

/// Count requests by how they ended, from logs of any number of processes.
#[derive(Debug, Args)]
pub struct Audit {
    /// Saved logs; read from standard input if none are given.
    files: Vec<PathBuf>,
}

/// All requests in the logs.
#[derive(Debug, Default)]
struct Tally<'a> {
    /// The number of requests by how they ended.
    outcomes: BTreeMap<String, usize>,
    /// The last line of each request whose end was not logged, by the id of the request.
    unfinished: BTreeMap<&'a str, &'a Line>,
}

impl Audit {
    pub fn run(&self) -> Result<(), Failure> {
        let log = Log::open(&self.files)?;
        let tally = Tally::open(&log);
        for (outcome, count) in &tally.outcomes {
            println!("{count:>7}  {outcome}");
        }
        let (gateway_ended, unexplained): (Vec<&Line>, Vec<&Line>) = tally
            .unfinished
            .values()
            .partition(|line| log.process_ended_after(line));
        println!(
            "{:>7}  in flight when its gateway ended",
            gateway_ended.len()
        );
        println!("{:>7}  without a cause", unexplained.len());
        for line in &unexplained {
            println!("{}", line.raw);
        }
        if unexplained.is_empty() {
            return Ok(());
        }
        let message = format!(
            "{} requests have no end in the logs, although their gateways kept running: \
             give the complete logs, or look into the lines above with `nutmegyoke explain`",
            unexplained.len()
        );
        Err(Failure::Refused { message })
    }
}

impl<'a> Tally<'a> {
    fn open(log: &'a Log) -> Self {
        let mut tally = Self::default();
        for line in &log.lines {
            let Some(request) = line.str_field("request") else {
                continue;
            };
            if line.field_is("event", "passed") {
                tally.unfinished.remove(request);
                *tally.outcomes.entry(outcome(line)).or_default() += 1;
            } else {
                tally.unfinished.insert(request, line);
            }
        }
        tally
    }
}

/// How a request ended: its verdict, reason and halt, as far as they are logged.
fn outcome(line: &Line) -> String {
    let verdict = line.fields.get("verdict");
    let field = |name: &str| verdict?.get(name).and_then(Value::as_str);
    let parts = [field("verdict"), field("reason"), line.str_field("halt")];
    let parts: Vec<&str> = parts.into_iter().flatten().collect();
    parts.join(" ")
}

impl Log {
    /// Whether the process that wrote `line` restarted after it or logged nothing more.
    fn process_ended_after(&self, line: &Line) -> bool {
        let lines = self.lines.iter();
        let later =
            lines.filter(|other| other.process == line.process && other.time_ms > line.time_ms);
        let mut later = later.peekable();
        later.peek().is_none() || later.any(|other| other.field_is("event", "started"))
    }
}

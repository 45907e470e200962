//! `nutmegyoke audit`: how requests ended, and whether the logs tell why.

use std::collections::BTreeMap;
use std::path::PathBuf;

use clap::Args;
use serde_json::Value;

use crate::log::{Line, Log};
use crate::operators::Failure;

/// Count by cause how requests ended, in logs of any number of processes.
#[derive(Debug, Args)]
pub struct Audit {
    /// Saved logs; standard input if there are none.
    files: Vec<PathBuf>,
}

/// What the logs say of all requests.
#[derive(Debug, Default)]
struct Tally<'a> {
    /// Requests by how they ended.
    ends: BTreeMap<String, usize>,
    /// Requests without an end, with the last line on each.
    open: BTreeMap<&'a str, &'a Line>,
}

impl Audit {
    pub fn run(&self) -> Result<(), Failure> {
        let log = Log::open(&self.files)?;
        let tally = Tally::open(&log);
        for (end, count) in &tally.ends {
            println!("{count:>7}  {end}");
        }
        let (ended, unexplained): (Vec<&Line>, Vec<&Line>) =
            tally.open.values().partition(|line| log.ends_after(line));
        println!("{:>7}  in flight when its gateway ended", ended.len());
        println!("{:>7}  without a cause", unexplained.len());
        for line in &unexplained {
            println!("{}", line.text);
        }
        if unexplained.is_empty() {
            return Ok(());
        }
        let why = format!("{} requests have no end and no cause", unexplained.len());
        Err(Failure::Refused { why })
    }
}

impl<'a> Tally<'a> {
    fn open(log: &'a Log) -> Self {
        let mut tally = Self::default();
        for line in &log.lines {
            let Some(request) = line.text("request") else {
                continue;
            };
            if line.names("event", "passed") {
                tally.open.remove(request);
                *tally.ends.entry(end(line)).or_default() += 1;
            } else {
                tally.open.insert(request, line);
            }
        }
        tally
    }
}

/// How a request ended, in a word or three.
fn end(line: &Line) -> String {
    let verdict = line.fields.get("verdict");
    let field = |name: &str| verdict?.get(name).and_then(Value::as_str);
    let words = [field("verdict"), field("reason"), line.text("halt")];
    let words: Vec<&str> = words.into_iter().flatten().collect();
    words.join(" ")
}

impl Log {
    /// Whether the process that wrote `line` started anew, or wrote nothing more, after it.
    fn ends_after(&self, line: &Line) -> bool {
        let lines = self.lines.iter();
        let later = lines.filter(|other| other.process == line.process && other.at > line.at);
        let mut later = later.peekable();
        later.peek().is_none() || later.any(|other| other.names("event", "started"))
    }
}

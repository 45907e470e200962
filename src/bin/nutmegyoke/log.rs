//! Saved logs of any number of processes.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::PathBuf;

use serde_json::{Map, Value};

use crate::client::Failure;

/// A line of a log.
#[derive(Debug)]
pub struct Line {
    /// The time by the clock of its process, which never goes back here.
    pub time_ms: u64,
    pub process: String,
    pub raw: String,
    pub fields: Map<String, Value>,
}

/// The lines of some logs.
#[derive(Debug, Default)]
pub struct Log {
    pub lines: Vec<Line>,
    pub unrecognized_lines: usize,
    /// The latest time of each process.
    latest_ms: BTreeMap<String, u64>,
}

impl Log {
    /// Reads `files`, or standard input if there are none.
    ///
    /// # Errors
    ///
    /// A file can't be read, or nothing in them is a line of ours.
    pub fn open(files: &[PathBuf]) -> Result<Self, Failure> {
        let mut log = Self::default();
        if files.is_empty() {
            let read = log.read(io::stdin().lock());
            read.map_err(|error| input_failure(format!("standard input: {error}")))?;
        }
        for path in files {
            let read = File::open(path).and_then(|file| log.read(BufReader::new(file)));
            read.map_err(|error| {
                input_failure(format!("{}: {error}; name a readable log", path.display()))
            })?;
        }
        if log.lines.is_empty() {
            return Err(input_failure(format!(
                "none of {} lines is a log line of nutmegyoked: give the standard output of its \
                 processes",
                log.unrecognized_lines
            )));
        }
        Ok(log)
    }

    fn read(&mut self, source: impl BufRead) -> io::Result<()> {
        for text in source.lines() {
            let text = text?;
            match self.parse(&text) {
                Some(line) => self.lines.push(line),
                None if text.trim().is_empty() => {}
                None => self.unrecognized_lines += 1,
            }
        }
        Ok(())
    }

    /// Reads a line; what a collector put in front of it is passed over.
    fn parse(&mut self, text: &str) -> Option<Line> {
        let text = &text[text.find("{\"at\":")?..];
        let Value::Object(fields) = serde_json::from_str(text).ok()? else {
            return None;
        };
        let process = fields.get("process")?.as_str()?.to_owned();
        let time_ms = fields.get("at")?.as_u64()?;
        fields.get("code")?.as_str()?;
        let latest_ms = self.latest_ms.entry(process.clone()).or_default();
        *latest_ms = time_ms.max(*latest_ms);
        Some(Line {
            time_ms: *latest_ms,
            process,
            raw: text.to_owned(),
            fields,
        })
    }
}

impl Line {
    /// A field that is a text.
    pub fn str_field(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Whether a field has this value.
    pub fn field_is(&self, field: &str, value: &str) -> bool {
        self.str_field(field) == Some(value)
    }
}

fn input_failure(message: String) -> Failure {
    Failure::Input { message }
}

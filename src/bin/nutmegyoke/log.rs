//! Reads saved logs of any number of processes.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::PathBuf;

use serde_json::{Map, Value};

use crate::client::Failure;

/// A log line of `nutmegyoked`.
#[derive(Debug)]
pub struct Line {
    /// The time in milliseconds since the Unix epoch, by the clock of the line's process.
    /// If that clock stepped back, the latest time before the step is used instead, so that
    /// sorting by time keeps the order of each process's lines.
    pub time_ms: u64,
    /// The name of the process that wrote the line.
    pub process: String,
    /// The JSON object as logged, without any prefix that a log collector added.
    pub raw: String,
    /// The fields of the JSON object.
    pub fields: Map<String, Value>,
}

/// The lines of all logs that were read.
#[derive(Debug, Default)]
pub struct Log {
    /// The log lines of `nutmegyoked`, in the order in which they were read.
    pub lines: Vec<Line>,
    /// The number of other lines, blank ones excluded.
    pub unrecognized_lines: usize,
    /// The latest time read so far for each process, in milliseconds since the Unix epoch.
    latest_ms: BTreeMap<String, u64>,
}

impl Log {
    /// Reads `files`, or standard input if there are none.
    ///
    /// # Errors
    ///
    /// A file cannot be read, or none of the lines is a log line of `nutmegyoked`.
    pub fn open(files: &[PathBuf]) -> Result<Self, Failure> {
        let mut log = Self::default();
        if files.is_empty() {
            let read = log.read(io::stdin().lock());
            read.map_err(|error| {
                input_failure(format!("standard input: {error}; give log files instead"))
            })?;
        }
        for path in files {
            let read = File::open(path).and_then(|file| log.read(BufReader::new(file)));
            read.map_err(|error| {
                input_failure(format!(
                    "{}: {error}; give a readable log file",
                    path.display()
                ))
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

    /// Parses a line. Anything that a log collector added before the JSON object is
    /// skipped. Returns `None` if it is not a log line of `nutmegyoked`.
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
    /// The value of a field, if it is a string.
    pub fn str_field(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Whether a field is the string `value`.
    pub fn field_is(&self, field: &str, value: &str) -> bool {
        self.str_field(field) == Some(value)
    }
}

fn input_failure(message: String) -> Failure {
    Failure::Input { message }
}

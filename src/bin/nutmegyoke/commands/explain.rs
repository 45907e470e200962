//! `nutmegyoke explain`: prints what happened to one request, from saved logs.
//!
//! It prints the lines with the request's id, and the lines on the processes, endpoints
//! and models involved, from [`CONTEXT_MS`] before the first of those to [`CONTEXT_MS`] after
//! the last.
//! The clocks of VMs differ and may step back. The lines of one process stay in the order in
//! which it wrote them, and every line is shown with the time of its own process.

use std::collections::BTreeSet;
use std::path::PathBuf;

use clap::Args;
use serde_json::Value;

use crate::client::Failure;
use crate::log::{Line, Log};

/// How long before and after a request related lines are shown, in milliseconds: the
/// time for which an endpoint may be gone before its absence counts.
const CONTEXT_MS: u64 = 8000;

/// Fields that are left out or printed separately, because every line has them.
const COMMON_FIELDS: [&str; 5] = ["at", "process", "level", "code", "event"];

/// Show what happened to a request, from logs of any number of processes.
#[derive(Debug, Args)]
pub struct Explain {
    /// The id of the request.
    id: String,

    /// Saved logs; read from standard input if none are given.
    files: Vec<PathBuf>,

    /// Print the lines as they were logged.
    #[arg(long)]
    json: bool,
}

impl Explain {
    pub fn run(&self) -> Result<(), Failure> {
        let log = Log::open(&self.files)?;
        let Some((start_ms, lines)) = log.timeline(&self.id) else {
            let message = format!(
                "no line of {} names the request `{}`: give the logs of all gateways at the time of the request",
                log.lines.len(),
                self.id
            );
            return Err(Failure::Input { message });
        };
        for line in lines {
            if self.json {
                println!("{}", line.raw);
            } else {
                println!("{}", line.format(start_ms));
            }
        }
        if log.unrecognized_lines > 0 {
            eprintln!(
                "nutmegyoke: {} lines are not of nutmegyoked and were skipped",
                log.unrecognized_lines
            );
        }
        Ok(())
    }
}

impl Log {
    /// The time of the request's first line, in milliseconds since the Unix epoch, and its
    /// lines with the related ones, by time. `None` if no line has the request's id.
    fn timeline(&self, id: &str) -> Option<(u64, Vec<&Line>)> {
        let request_lines: Vec<&Line> = self
            .lines
            .iter()
            .filter(|line| line.field_is("request", id))
            .collect();
        let first_ms = request_lines.iter().map(|line| line.time_ms).min()?;
        let last_ms = request_lines.iter().map(|line| line.time_ms).max()?;
        let processes: BTreeSet<&str> = request_lines
            .iter()
            .map(|line| line.process.as_str())
            .collect();
        let endpoints: BTreeSet<&str> = request_lines
            .iter()
            .flat_map(|line| line.endpoints())
            .collect();
        let models: BTreeSet<&str> = request_lines
            .iter()
            .filter_map(|line| line.model())
            .collect();
        let context = first_ms.saturating_sub(CONTEXT_MS)..=last_ms + CONTEXT_MS;
        let mut lines: Vec<&Line> = self
            .lines
            .iter()
            .filter(|line| {
                line.field_is("request", id)
                    || (context.contains(&line.time_ms)
                        && line.is_related(&processes, &endpoints, &models))
            })
            .collect();
        lines.sort_by_key(|line| line.time_ms);
        Some((first_ms, lines))
    }
}

impl Line {
    /// The ids of the endpoints that the line names: the one of its own attempt and those
    /// of the request's `trail`.
    fn endpoints(&self) -> impl Iterator<Item = &str> {
        let trail = self.fields.get("trail").and_then(Value::as_array);
        let attempts = trail.into_iter().flatten();
        let attempts = attempts.filter_map(|attempt| attempt.get("endpoint")?.as_str());
        attempts
            .chain(self.str_field("endpoint"))
            .filter(|id| !id.is_empty())
    }

    /// The model of the request, without the adapter.
    fn model(&self) -> Option<&str> {
        let model = self.str_field("model")?;
        let model = model.split('/').next().unwrap_or(model);
        (!model.is_empty()).then_some(model)
    }

    /// Whether the line has no request id and concerns one of the endpoints or models, or
    /// the life cycle (NY01), configuration (NY02) or connections (NY04) of one of the
    /// processes.
    fn is_related(
        &self,
        processes: &BTreeSet<&str>,
        endpoints: &BTreeSet<&str>,
        models: &BTreeSet<&str>,
    ) -> bool {
        if self.str_field("request").is_some() {
            return false;
        }
        let matches_any = |field: &str, known: &BTreeSet<&str>| {
            self.str_field(field)
                .is_some_and(|value| known.contains(value))
        };
        let endpoint = matches_any("endpoint", endpoints) || matches_any("id", endpoints);
        let model = matches_any("load", models);
        let code = self.str_field("code").unwrap_or_default();
        let lifecycle =
            code.starts_with("NY01") || code.starts_with("NY02") || code.starts_with("NY04");
        endpoint || model || (lifecycle && processes.contains(self.process.as_str()))
    }

    /// Formats the line for reading, with its time relative to `start_ms`.
    fn format(&self, start_ms: u64) -> String {
        let sign = if self.time_ms < start_ms { '-' } else { '+' };
        let code = self.str_field("code").unwrap_or_default();
        let event = self.str_field("event").unwrap_or_default();
        let fields = self.fields.iter();
        let fields = fields.filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
        let fields: Vec<String> = fields
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        format!(
            "{sign}{:>6} ms  {:<20} {code} {event} {}",
            self.time_ms.abs_diff(start_ms),
            self.process,
            fields.join(" ")
        )
    }
}

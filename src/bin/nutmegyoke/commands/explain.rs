//! `nutmegyoke explain`: tells the story of one request from saved logs.
//!
//! Shown are the lines that name the request, and those on the processes and
//! endpoints that it met, from a while before it to a while after. Clocks of
//! VMs differ and step: the lines of one process stay in the order in which it
//! wrote them, and each is shown with the clock of its own process.

use std::collections::BTreeSet;
use std::path::PathBuf;

use clap::Args;
use serde_json::Value;

use crate::log::{Line, Log};
use crate::operators::Failure;

/// How long before and after a request other lines are shown, in milliseconds: as
/// long as an endpoint may be gone before its absence counts.
const AROUND_MS: u64 = 8000;

/// Fields that every line has, or that are shown in front.
const COMMON: [&str; 5] = ["at", "process", "level", "code", "event"];

/// Show what happened to a request, from logs of any number of processes.
#[derive(Debug, Args)]
pub struct Explain {
    /// The request's id.
    id: String,

    /// Saved logs; standard input if there are none.
    files: Vec<PathBuf>,

    /// Print the lines as they were logged.
    #[arg(long)]
    json: bool,
}

impl Explain {
    pub fn run(&self) -> Result<(), Failure> {
        let log = Log::open(&self.files)?;
        let Some((start, story)) = log.story(&self.id) else {
            let why = format!(
                "no line of {} names the request `{}`: give the logs of all gateways of that time",
                log.lines.len(),
                self.id
            );
            return Err(Failure::Input { why });
        };
        for line in story {
            if self.json {
                println!("{}", line.text);
            } else {
                println!("{}", line.show(start));
            }
        }
        if log.foreign > 0 {
            eprintln!("nutmegyoke: {} lines are not of nutmegyoked", log.foreign);
        }
        Ok(())
    }
}

impl Log {
    /// When the request arrived, the lines on it, and those around it that may tell
    /// why; `None` if no line names it.
    fn story(&self, id: &str) -> Option<(u64, Vec<&Line>)> {
        let own: Vec<&Line> = self
            .lines
            .iter()
            .filter(|line| line.names("request", id))
            .collect();
        let from = own.iter().map(|line| line.at).min()?;
        let to = own.iter().map(|line| line.at).max()?;
        let processes: BTreeSet<&str> = own.iter().map(|line| line.process.as_str()).collect();
        let endpoints: BTreeSet<&str> = own.iter().flat_map(|line| line.endpoints()).collect();
        let models: BTreeSet<&str> = own.iter().filter_map(|line| line.model()).collect();
        let around = from.saturating_sub(AROUND_MS)..=to + AROUND_MS;
        let mut story: Vec<&Line> = self
            .lines
            .iter()
            .filter(|line| {
                line.names("request", id)
                    || (around.contains(&line.at) && line.tells(&processes, &endpoints, &models))
            })
            .collect();
        story.sort_by_key(|line| line.at);
        Some((from, story))
    }
}

impl Line {
    /// The endpoints of the request's attempts.
    fn endpoints(&self) -> impl Iterator<Item = &str> {
        let trail = self.fields.get("trail").and_then(Value::as_array);
        let legs = trail.into_iter().flatten();
        let legs = legs.filter_map(|leg| leg.get("endpoint")?.as_str());
        legs.chain(self.text("endpoint"))
            .filter(|id| !id.is_empty())
    }

    /// The model that the request was for, without the adapter.
    fn model(&self) -> Option<&str> {
        let model = self.text("model")?;
        let model = model.split('/').next().unwrap_or(model);
        (!model.is_empty()).then_some(model)
    }

    /// Whether a line that names no request is about a process, an endpoint or a model
    /// that the request met.
    fn tells(
        &self,
        processes: &BTreeSet<&str>,
        endpoints: &BTreeSet<&str>,
        models: &BTreeSet<&str>,
    ) -> bool {
        if self.text("request").is_some() {
            return false;
        }
        let met = |field: &str, known: &BTreeSet<&str>| {
            self.text(field).is_some_and(|value| known.contains(value))
        };
        let endpoint = met("endpoint", endpoints) || met("id", endpoints);
        let model = met("load", models);
        let code = self.text("code").unwrap_or_default();
        let life = code.starts_with("NY01") || code.starts_with("NY02") || code.starts_with("NY04");
        endpoint || model || (life && processes.contains(self.process.as_str()))
    }

    fn show(&self, start: u64) -> String {
        let sign = if self.at < start { '-' } else { '+' };
        let code = self.text("code").unwrap_or_default();
        let event = self.text("event").unwrap_or_default();
        let fields = self.fields.iter();
        let fields = fields.filter(|(name, _)| !COMMON.contains(&name.as_str()));
        let fields: Vec<String> = fields
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        format!(
            "{sign}{:>6} ms  {:<20} {code} {event} {}",
            self.at.abs_diff(start),
            self.process,
            fields.join(" ")
        )
    }
}

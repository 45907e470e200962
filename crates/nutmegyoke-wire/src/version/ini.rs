//! The plans and grants lists as INI files.
//!
//! The plans list has one section `[plan NAME]` per plan. The grants list has one section
//! `[model NAME]`, `[adapter NAME]` or `[service NAME]` per item, which names the plans
//! that may use the item.

use std::time::Duration;

use nutmegyoke_core::version::grant::{Call, Item, Repeat};
use nutmegyoke_core::version::plan::DEFAULT_PRIORITY;
use nutmegyoke_core::version::{Grant, Plan};

use crate::process::ini::{Fault, File, Section};

const NUMBER_FORMAT: &str = "a whole number";
const BYTES_PER_MB: u64 = 1_000_000;

/// Parses the plans list; errors refer to the file as `name`.
///
/// # Errors
///
/// The first fault in the file.
pub fn plans(name: &str, text: &str) -> Result<Vec<Plan>, Fault> {
    let file = File::parse(name, text)?;
    file.sections().map(read_plan).collect()
}

/// Parses the grants list; errors refer to the file as `name`.
///
/// # Errors
///
/// The first fault in the file.
pub fn grants(name: &str, text: &str) -> Result<Vec<Grant>, Fault> {
    let file = File::parse(name, text)?;
    file.sections().map(read_grant).collect()
}

fn read_plan(section: Section<'_>) -> Result<Plan, Fault> {
    let Some(("plan", name)) = kind_and_name(&section) else {
        return Err(section.unknown_section("[plan NAME]"));
    };
    let customer: String = section.required("customer", "the customer's name")?;
    let plan = Plan {
        name: name.to_owned(),
        customer: customer.as_str().into(),
        key: section.required("key", "the bearer key of the plan's callers")?,
        requests_per_second: section.required("requests-per-second", NUMBER_FORMAT)?,
        concurrency: section.required("concurrency", NUMBER_FORMAT)?,
        tokens_per_minute: section.required("tokens-per-minute", NUMBER_FORMAT)?,
        priority: section
            .optional("priority", "0 (most urgent) to 9")?
            .unwrap_or(DEFAULT_PRIORITY),
        first_token: read_duration(&section, "first-token-ms")?,
        between_tokens: read_duration(&section, "between-tokens-ms")?,
        deadline: read_duration(&section, "deadline-ms")?,
    };
    if plan.priority > 9 {
        let problem = format!(
            "`{}` is not valid: write 0 (most urgent) to 9",
            plan.priority
        );
        return Err(section.fault("priority", problem));
    }
    section.finish()?;
    Ok(plan)
}

fn read_grant(section: Section<'_>) -> Result<Grant, Fault> {
    let item = match kind_and_name(&section) {
        Some(("model", name)) => Item::Model {
            name: name.into(),
            bytes: read_bytes(&section)?,
        },
        Some(("adapter", name)) => {
            let model: String = section.required("model", "the model's name")?;
            Item::Adapter {
                name: name.into(),
                model: model.as_str().into(),
                bytes: read_bytes(&section)?,
            }
        }
        Some(("service", name)) => Item::Service {
            name: name.into(),
            calls: read_calls(&section)?,
        },
        _ => return Err(section.unknown_section("[model NAME], [adapter NAME] or [service NAME]")),
    };
    let grant = Grant {
        item,
        plans: section.names("plans")?,
    };
    section.finish()?;
    Ok(grant)
}

/// Splits a section's name, such as `plan gold`, into the kind and the name of its item.
fn kind_and_name<'a>(section: &Section<'a>) -> Option<(&'a str, &'a str)> {
    let (kind, name) = section.name.split_once(' ')?;
    let name = name.trim();
    (!name.is_empty()).then_some((kind, name))
}

fn read_duration(section: &Section<'_>, key: &'static str) -> Result<Duration, Fault> {
    let milliseconds: u64 = section.required(key, "a number of milliseconds")?;
    if milliseconds == 0 {
        return Err(section.fault(key, "is 0: write at least 1 millisecond".to_owned()));
    }
    Ok(Duration::from_millis(milliseconds))
}

fn read_bytes(section: &Section<'_>) -> Result<u64, Fault> {
    let megabytes: u64 = section.required("memory-mb", "the accelerator memory in megabytes")?;
    megabytes.checked_mul(BYTES_PER_MB).ok_or_else(|| {
        section.fault(
            "memory-mb",
            "is too large: write the accelerator memory in megabytes".to_owned(),
        )
    })
}

fn read_calls(section: &Section<'_>) -> Result<Vec<Call>, Fault> {
    let mut calls = Vec::new();
    for (key, repeat) in [
        ("repeatable", Repeat::Repeatable),
        ("not-repeatable", Repeat::Once),
    ] {
        for text in section.names(key)? {
            let call = text.split_once(' ').map(|(method, prefix)| Call {
                method: method.to_owned(),
                prefix: prefix.trim().to_owned(),
                repeat,
            });
            calls.push(call.ok_or_else(|| {
                let problem =
                    format!("`{text}` is not valid: write METHOD /path, such as GET /prices");
                section.fault(key, problem)
            })?);
        }
    }
    Ok(calls)
}

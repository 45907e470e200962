//! The gossip between gateways.

use std::time::Duration;

use nutmegyoke_core::process::gateway::{Answer, Message, Summary};
use nutmegyoke_core::process::registry::Key;
use nutmegyoke_core::process::registry::gossip::Link;

use super::{evidence, rumor, work};
use crate::connection::convert::{length, milliseconds, text};
use crate::connection::mesh_capnp::gateway::{spread_params, spread_results};
use crate::connection::mesh_capnp::summary;

/// Reads a message.
///
/// # Errors
///
/// The message is malformed.
pub fn read(params: spread_params::Reader<'_>) -> capnp::Result<Message> {
    let summaries = params.get_summaries()?.iter().map(read_summary);
    Ok(Message {
        link: Link::default(),
        rumors: rumor::read(params)?,
        work: work::read(params.get_work()?)?,
        summaries: summaries.collect::<capnp::Result<_>>()?,
        evidence: evidence::read(params.get_evidence()?)?,
        introduces: params.has_data_centre(),
    })
}

/// Writes a message of a gateway in `data_centre`.
pub fn write(message: &Message, data_centre: &str, mut params: spread_params::Builder<'_>) {
    rumor::write(&message.rumors, params.reborrow());
    work::write(&message.work, params.reborrow().init_work());
    if message.introduces {
        params.set_data_centre(data_centre);
    }
    if !message.summaries.is_empty() {
        let count = length(message.summaries.len());
        let mut list = params.reborrow().init_summaries(count);
        for (index, summary) in (0..).zip(&message.summaries) {
            write_summary(summary, list.reborrow().get(index));
        }
    }
    if !message.evidence.is_empty() {
        evidence::write(&message.evidence, params.init_evidence());
    }
}

/// Reads an answer.
///
/// # Errors
///
/// The message is malformed.
pub fn read_answer(results: spread_results::Reader<'_>) -> capnp::Result<Answer> {
    Ok(Answer {
        digest: results.get_digest(),
        missed: results.get_missed()?.iter().map(Key).collect(),
    })
}

/// Writes an answer.
pub fn write_answer(answer: &Answer, mut results: spread_results::Builder<'_>) {
    results.set_digest(answer.digest);
    if !answer.missed.is_empty() {
        let mut list = results.init_missed(length(answer.missed.len()));
        for (index, &Key(start)) in (0..).zip(&answer.missed) {
            list.set(index, start);
        }
    }
}

fn read_summary(reader: summary::Reader<'_>) -> capnp::Result<Summary> {
    Ok(Summary {
        data_centre: text(reader.get_data_centre())?.into(),
        age: Duration::from_millis(reader.get_age_ms()),
        members: reader.get_members()?.iter().collect(),
        work: work::read(reader.get_work()?)?,
    })
}

fn write_summary(summary: &Summary, mut builder: summary::Builder<'_>) {
    builder.set_data_centre(summary.data_centre.as_str());
    builder.set_age_ms(milliseconds(summary.age));
    let mut members = builder
        .reborrow()
        .init_members(length(summary.members.len()));
    for (index, &run) in (0..).zip(&summary.members) {
        members.set(index, run);
    }
    work::write(&summary.work, builder.init_work());
}

//! The claims in a snapshot of a control replica.
//!
//! A snapshot may hold hundreds of thousands of claims, see
//! [`nutmegyoke_core::process::control::claims::MAX_CLAIMS`]. Their rows are therefore flat
//! and refer by index to two tables, one of VM names and one of reasons.

use std::collections::HashMap;
use std::rc::Rc;

use nutmegyoke_core::process::control::claims::{Claims, Row};
use nutmegyoke_core::request::claim::Key;
use nutmegyoke_core::request::{Id, Reason, Verdict};
use strum::IntoEnumIterator;

use crate::connection::convert::{length, parse, set_texts, text};
use crate::connection::replica_capnp::{Ended, claim_row, snapshot};

/// Reads the claims of a snapshot.
///
/// # Errors
///
/// The snapshot is malformed, or a claim refers to a missing table entry.
pub fn read(reader: snapshot::Reader<'_>) -> capnp::Result<Claims> {
    let vms = reader.get_vms()?.iter();
    let vms: Vec<Rc<str>> = vms
        .map(|name| Ok(text(name)?.into()))
        .collect::<capnp::Result<_>>()?;
    let reasons = reader.get_reasons()?.iter();
    let reasons: Vec<Reason> = reasons.map(parse).collect::<capnp::Result<_>>()?;
    let rows = reader.get_claims()?;
    let rows = rows.iter().map(|row| read_row(row, &vms, &reasons));
    let rows: Vec<(Key, Row)> = rows.collect::<capnp::Result<_>>()?;
    Ok(Claims::open(reader.get_time(), rows))
}

/// Writes the claims into a snapshot.
pub fn write(claims: &Claims, mut builder: snapshot::Builder<'_>) {
    builder.set_time(claims.time());
    let reasons: Vec<Reason> = Reason::iter().collect();
    let list = builder.reborrow().init_reasons(length(reasons.len()));
    set_texts(list, reasons.iter().map(|reason| reason.name()));
    let mut vms = Interner::default();
    let count = length(claims.len());
    let mut list = builder.reborrow().init_claims(count);
    for (index, (key, row)) in (0..).zip(claims.rows()) {
        let mut builder = list.reborrow().get(index);
        builder.set_vm(row.vm.as_ref().map_or(0, |name| vms.index(name)));
        write_row(key, row, &reasons, builder);
    }
    let list = builder.init_vms(length(vms.names.len()));
    set_texts(list, vms.names.iter().copied());
}

/// Assigns an index to each distinct name, in the order of first use.
#[derive(Default)]
struct Interner<'a> {
    names: Vec<&'a str>,
    indices: HashMap<&'a str, u32>,
}

impl<'a> Interner<'a> {
    /// The index of a name, counted from 1; 0 stands for no name.
    fn index(&mut self, name: &'a str) -> u32 {
        *self.indices.entry(name).or_insert_with(|| {
            self.names.push(name);
            length(self.names.len())
        })
    }
}

fn read_row(
    reader: claim_row::Reader<'_>,
    vms: &[Rc<str>],
    reasons: &[Reason],
) -> capnp::Result<(Key, Row)> {
    let malformed = || capnp::Error::failed("a claim names a row that is not there".to_owned());
    let reason = reasons.get(usize::from(reader.get_reason())).copied();
    let verdict = match reader.get_ended()? {
        Ended::Running => None,
        Ended::Ran => Some(Verdict::Ran),
        Ended::MayHaveRun => Some(Verdict::MayHaveRun {
            reason: reason.ok_or_else(malformed)?,
        }),
        Ended::NotRun => Some(Verdict::NotRun {
            reason: reason.ok_or_else(malformed)?,
        }),
    };
    let vm = match reader.get_vm() {
        0 => None,
        index => {
            let name = vms.get(index as usize - 1);
            Some(Rc::clone(name.ok_or_else(malformed)?))
        }
    };
    let born = reader.get_born();
    let key = Key {
        hash: [reader.get_high(), reader.get_low()],
        born: (born != 0).then_some(born),
    };
    let row = Row {
        granted_at: reader.get_at(),
        holder: Id {
            entry: reader.get_entry(),
            number: reader.get_number(),
        },
        digest: reader.get_digest(),
        verdict,
        vm,
    };
    Ok((key, row))
}

fn write_row(key: Key, row: &Row, reasons: &[Reason], mut builder: claim_row::Builder<'_>) {
    let [high, low] = key.hash;
    builder.set_high(high);
    builder.set_low(low);
    builder.set_born(key.born.unwrap_or(0));
    builder.set_entry(row.holder.entry);
    builder.set_number(row.holder.number);
    builder.set_digest(row.digest);
    builder.set_at(row.granted_at);
    builder.set_ended(match row.verdict {
        None => Ended::Running,
        Some(Verdict::Ran) => Ended::Ran,
        Some(Verdict::MayHaveRun { .. }) => Ended::MayHaveRun,
        Some(Verdict::NotRun { .. }) => Ended::NotRun,
    });
    let reason = row.verdict.and_then(Verdict::reason);
    let index = reasons.iter().position(|&known| Some(known) == reason);
    builder.set_reason(
        index
            .and_then(|index| u16::try_from(index).ok())
            .unwrap_or(0),
    );
}

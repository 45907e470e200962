//! The evidence on crashes of endpoints that gateways exchange.

use std::time::Duration;

use capnp::primitive_list;
use nutmegyoke_core::process::quarantine::{Clearance, Evidence, Feature, Origin, Report};
use nutmegyoke_core::request::Fingerprint;

use crate::connection::convert::{length, milliseconds, text};
use crate::connection::mesh_capnp::{crash, evidence};

/// Reads the evidence of a gateway.
///
/// # Errors
///
/// The message is malformed.
pub fn read(reader: evidence::Reader<'_>) -> capnp::Result<Evidence> {
    let clearances = reader.get_clearances()?.iter().map(|row| Clearance {
        feature: if row.get_is_request() {
            Feature::Request(Fingerprint(row.get_part()))
        } else {
            Feature::Part(row.get_part())
        },
        age: Duration::from_millis(row.get_age_ms()),
    });
    Ok(Evidence {
        crashes: reader
            .get_crashes()?
            .iter()
            .map(read_report)
            .collect::<capnp::Result<_>>()?,
        clearances: clearances.collect(),
    })
}

/// Writes the evidence of a gateway.
pub fn write(evidence: &Evidence, mut builder: evidence::Builder<'_>) {
    let mut list = builder
        .reborrow()
        .init_crashes(length(evidence.crashes.len()));
    for (index, report) in (0..).zip(&evidence.crashes) {
        write_report(report, list.reborrow().get(index));
    }
    let mut list = builder.init_clearances(length(evidence.clearances.len()));
    for (index, clearance) in (0..).zip(&evidence.clearances) {
        let mut row = list.reborrow().get(index);
        let (id, is_request) = match clearance.feature {
            Feature::Part(part) => (part, false),
            Feature::Request(Fingerprint(fingerprint)) => (fingerprint, true),
        };
        row.set_part(id);
        row.set_is_request(is_request);
        row.set_age_ms(milliseconds(clearance.age));
    }
}

fn read_report(reader: crash::Reader<'_>) -> capnp::Result<Report> {
    // A process of an earlier version sends no fingerprints.
    let requests = reader.get_requests()?;
    let requests = requests.iter().chain(std::iter::repeat(0));
    let suspects = reader.get_suspects()?.iter().zip(requests);
    let suspects = suspects.map(|(parts, fingerprint)| {
        let parts: primitive_list::Reader<'_, u64> = parts?;
        let request = Some(fingerprint).filter(|&fingerprint| fingerprint != 0);
        let request = request.map(|fingerprint| Feature::Request(Fingerprint(fingerprint)));
        capnp::Result::Ok(parts.iter().map(Feature::Part).chain(request).collect())
    });
    Ok(Report {
        origin: Origin {
            endpoint: text(reader.get_endpoint())?.to_owned(),
            started_ms: reader.get_born(),
        },
        age: Duration::from_millis(reader.get_age_ms()),
        suspects: suspects.collect::<capnp::Result<_>>()?,
    })
}

fn write_report(report: &Report, mut builder: crash::Builder<'_>) {
    builder.set_endpoint(&report.origin.endpoint);
    builder.set_born(report.origin.started_ms);
    builder.set_age_ms(milliseconds(report.age));
    let mut requests = builder
        .reborrow()
        .init_requests(length(report.suspects.len()));
    for (index, suspect) in (0..).zip(&report.suspects) {
        let request = suspect.iter().find_map(|feature| match feature {
            Feature::Request(Fingerprint(fingerprint)) => Some(*fingerprint),
            Feature::Part(_) => None,
        });
        requests.set(index, request.unwrap_or(0));
    }
    let mut list = builder.init_suspects(length(report.suspects.len()));
    for (index, suspect) in (0..).zip(&report.suspects) {
        let parts = suspect.iter().filter_map(|feature| match feature {
            Feature::Part(part) => Some(*part),
            Feature::Request(_) => None,
        });
        let parts: Vec<u64> = parts.collect();
        let mut row = list.reborrow().init(index, length(parts.len()));
        for (index, &part) in (0..).zip(&parts) {
            row.set(index, part);
        }
    }
}

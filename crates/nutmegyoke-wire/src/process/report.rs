//! Reports of agents on their engines, as sent to control.

use nutmegyoke_core::process::report::{Demand, Report, Reservation};

use super::order::{read_fence, read_weights, write_fence, write_weights};
use crate::connection::convert::{length, parse, text};
use crate::connection::order_capnp::{report, reservation};

/// Reads a report on an engine.
///
/// # Errors
///
/// The message is malformed.
pub fn read(reader: report::Reader<'_>) -> capnp::Result<Report> {
    let reservations = if reader.has_reservations() {
        let rows = reader.get_reservations()?.iter();
        Some(rows.map(read_reservation).collect::<capnp::Result<_>>()?)
    } else {
        None
    };
    let demand = reader.get_demand()?.iter().map(|row| {
        Ok(Demand {
            name: text(row.get_name())?.to_owned(),
            requests: row.get_requests(),
        })
    });
    Ok(Report {
        endpoint: text(reader.get_endpoint())?.to_owned(),
        bytes: reader.get_bytes(),
        fence: read_fence(reader.get_fence()?),
        settled: reader.get_settled(),
        stage: parse(reader.get_stage())?,
        reservations,
        demand: demand.collect::<capnp::Result<_>>()?,
    })
}

/// Writes a report on an engine.
pub fn write(report: &Report, mut builder: report::Builder<'_>) {
    builder.set_endpoint(&report.endpoint);
    builder.set_bytes(report.bytes);
    write_fence(report.fence, builder.reborrow().init_fence());
    builder.set_settled(report.settled);
    builder.set_stage(report.stage.to_string());
    if let Some(rows) = &report.reservations {
        let mut list = builder.reborrow().init_reservations(length(rows.len()));
        for (index, row) in (0..).zip(rows) {
            write_reservation(row, list.reborrow().get(index));
        }
    }
    let mut list = builder.init_demand(length(report.demand.len()));
    for (index, row) in (0..).zip(&report.demand) {
        let mut demand = list.reborrow().get(index);
        demand.set_name(&row.name);
        demand.set_requests(row.requests);
    }
}

fn read_reservation(reader: reservation::Reader<'_>) -> capnp::Result<Reservation> {
    Ok(Reservation {
        weights: read_weights(reader.get_weights()?)?,
        bytes: reader.get_bytes(),
        state: parse(reader.get_state())?,
    })
}

fn write_reservation(row: &Reservation, mut builder: reservation::Builder<'_>) {
    write_weights(&row.weights, builder.reborrow().init_weights());
    builder.set_bytes(row.bytes);
    builder.set_state(row.state.to_string());
}

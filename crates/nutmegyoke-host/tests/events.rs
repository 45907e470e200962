//! Checks that the catalogue lists exactly the events and reasons that the code has. A
//! missing row would leave an operator with a number or reason in the log and no explanation.

use std::collections::BTreeSet;

use nutmegyoke_core::request::Reason;
use nutmegyoke_host::process::event::Kind;
use strum::IntoEnumIterator;

const CATALOGUE: &str = include_str!("../../../docs/EVENTS.md");

/// The first cells of the catalogue's rows that begin with `start`.
fn first_cells(start: &str) -> Vec<String> {
    let rows = CATALOGUE.lines().filter(|line| line.starts_with(start));
    rows.filter_map(|line| line.split('|').nth(1))
        .map(|cell| cell.trim().trim_matches('`').to_owned())
        .collect()
}

fn assert_same(listed: &[String], known: &BTreeSet<String>) {
    let set: BTreeSet<String> = listed.iter().cloned().collect();
    assert_eq!(listed.len(), set.len(), "the catalogue lists a row twice");
    assert_eq!(&set, known);
}

#[test]
fn every_event_number_is_listed_once() {
    let numbers: Vec<u32> = Kind::iter().map(Kind::number).collect();
    let known = numbers.iter().map(|number| format!("NY{number:04}"));
    let known: BTreeSet<String> = known.collect();
    assert_eq!(known.len(), numbers.len(), "two events share a number");
    assert_same(&first_cells("| NY"), &known);
}

#[test]
fn every_reason_is_listed_once() {
    let known = Reason::iter().map(|reason| reason.name().to_owned());
    assert_same(&first_cells("| `"), &known.collect());
}

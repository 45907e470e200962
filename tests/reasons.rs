//! One name for each reason: in JSON errors, metrics and the catalogue.

use std::collections::BTreeSet;
use std::str::FromStr;

use nutmegyoke_core::request::{Reason, Verdict};
use nutmegyoke_wire::request::Failure;
use strum::IntoEnumIterator;

const CATALOGUE: &str = include_str!("../docs/EVENTS.md");

/// The first cells of the catalogue's table of reasons.
fn listed() -> Vec<&'static str> {
    let (_, reasons) = CATALOGUE.split_once("## Reasons").unwrap();
    let rows = reasons.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.map(|row| row.split_once('`').unwrap().0).collect()
}

#[test]
fn catalogue_lists_each_reason_once() {
    let listed = listed();
    let names: BTreeSet<&str> = Reason::iter().map(Reason::name).collect();
    assert_eq!(listed.iter().copied().collect::<BTreeSet<_>>(), names);
    assert_eq!(listed.len(), names.len());
}

#[test]
fn names_are_the_same_everywhere() {
    for reason in Reason::iter() {
        assert_eq!(Reason::from_str(reason.name()), Ok(reason));
        let serialised = serde_json::to_value(reason).unwrap();
        assert_eq!(serialised, reason.name());
        let failure = Failure::new(Verdict::NotRun { reason }, "");
        let error: serde_json::Value = serde_json::from_slice(&failure.encode()).unwrap();
        assert_eq!(error["error"]["code"], reason.name());
    }
}

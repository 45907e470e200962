//! Each reason has one name, in JSON errors, metrics and logs.

use std::str::FromStr;

use nutmegyoke_core::request::{Reason, Verdict};
use nutmegyoke_wire::request::Failure;
use strum::IntoEnumIterator;

#[test]
fn reason_names_are_consistent() {
    for reason in Reason::iter() {
        assert_eq!(Reason::from_str(reason.name()), Ok(reason));
        let serialised = serde_json::to_value(reason).unwrap();
        assert_eq!(serialised, reason.name());
        let failure = Failure::new(Verdict::NotRun { reason }, "");
        let error: serde_json::Value = serde_json::from_slice(&failure.encode()).unwrap();
        assert_eq!(error["error"]["code"], reason.name());
    }
}

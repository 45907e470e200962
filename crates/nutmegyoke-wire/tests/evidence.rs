//! The evidence on crashes that gateways exchange.

use std::time::Duration;

use capnp::message::Builder;
use nutmegyoke_cases::config;
use nutmegyoke_core::process::quarantine::{Clearance, Evidence, Feature, Origin, Report};
use nutmegyoke_core::request::Fingerprint;
use nutmegyoke_wire::connection::mesh_capnp;
use nutmegyoke_wire::process::evidence;
use proptest::prelude::*;

/// Ages are encoded in whole milliseconds.
fn age() -> impl Strategy<Value = Duration> {
    any::<u32>().prop_map(|age| Duration::from_millis(age.into()))
}

fn request() -> impl Strategy<Value = Feature> {
    (1..=u64::MAX).prop_map(|fingerprint| Feature::Request(Fingerprint(fingerprint)))
}

/// The request itself comes after its parts.
fn suspect() -> impl Strategy<Value = Vec<Feature>> {
    let parts = prop::collection::vec(any::<u64>().prop_map(Feature::Part), 0..4);
    let request = prop::option::of(request());
    (parts, request).prop_map(|(parts, request)| parts.into_iter().chain(request).collect())
}

fn report() -> impl Strategy<Value = Report> {
    let suspects = prop::collection::vec(suspect(), 0..4);
    ("\\PC{0,12}", any::<u64>(), age(), suspects).prop_map(
        |(endpoint, started_ms, age, suspects)| Report {
            origin: Origin {
                endpoint,
                started_ms,
            },
            age,
            suspects,
        },
    )
}

fn clearance() -> impl Strategy<Value = Clearance> {
    let feature = prop_oneof![any::<u64>().prop_map(Feature::Part), request()];
    (feature, age()).prop_map(|(feature, age)| Clearance { feature, age })
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn evidence_is_decoded_to_what_was_encoded(
        crashes in prop::collection::vec(report(), 0..4),
        clearances in prop::collection::vec(clearance(), 0..4),
    ) {
        let sent = Evidence { crashes, clearances };
        let mut message = Builder::new_default();
        evidence::write(&sent, message.init_root::<mesh_capnp::evidence::Builder<'_>>());
        let root = message.get_root_as_reader::<mesh_capnp::evidence::Reader<'_>>().unwrap();
        prop_assert_eq!(evidence::read(root).unwrap(), sent);
    }
}

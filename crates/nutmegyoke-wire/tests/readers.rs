//! Property tests of the decoders: none panics on arbitrary or damaged input, and what was
//! encoded is decoded to the same value.
//!
//! The seed is fixed. Other cases run with
//! `NUTMEGYOKE_SEED=7 cargo test -p nutmegyoke-wire --test readers`.

use capnp::message::{Builder, ReaderOptions};
use capnp::serialize;
use nutmegyoke_cases::config;
use nutmegyoke_core::process::directory::{Change, Cursor, Delta};
use nutmegyoke_core::process::endpoint::{Holding, Phase};
use nutmegyoke_core::process::member::Role;
use nutmegyoke_core::process::{Endpoint, Member, Vm};
use nutmegyoke_core::request::arrival::Destination;
use nutmegyoke_core::request::{Id, Reason, Submission, Verdict};
use nutmegyoke_core::version::grant::Repeat;
use nutmegyoke_wire::connection::link_capnp;
use nutmegyoke_wire::process::{Announcement, Settings, Status, directory, member, update};
use nutmegyoke_wire::request::{Completion, Payload, claim, submission, verdict};
use nutmegyoke_wire::version::{ini, json};
use proptest::prelude::*;

/// Text that resembles an INI file.
fn ini_text() -> impl Strategy<Value = String> {
    let token = prop_oneof![
        Just("[plan gold]".to_owned()),
        Just("[model m]".to_owned()),
        Just("[service s]".to_owned()),
        Just("[process]".to_owned()),
        Just("role = entry".to_owned()),
        Just("memory-mb = 7".to_owned()),
        Just("repeatable = GET /a, POST /b".to_owned()),
        "\\PC{0,20}",
        "[\\[\\]=;#\\\\\"' \n]{0,8}",
    ];
    prop::collection::vec(token, 0..12).prop_map(|lines| lines.join("\n"))
}

/// Text that resembles JSON.
fn json_text() -> impl Strategy<Value = String> {
    let token = prop_oneof![
        Just("{".to_owned()),
        Just("}".to_owned()),
        Just("[".to_owned()),
        Just("\"model\":".to_owned()),
        Just("\"max_tokens\":-1".to_owned()),
        Just("\"address\":\"1.2.3.4:5\",".to_owned()),
        Just("\"number\":18446744073709551616".to_owned()),
        Just("\"\\ud800\"".to_owned()),
        "\\PC{0,12}",
    ];
    prop::collection::vec(token, 0..12).prop_map(|parts| parts.concat())
}

fn try_json_decoders(bytes: &[u8]) {
    let _ = Completion::decode(bytes);
    let _ = Announcement::decode(bytes);
    let _ = Status::decode(bytes);
    let _ = json::decode(bytes);
    let _ = json::decode_acceptance(bytes);
}

/// Reads a message with each reader of requests, members, the directory and updates.
fn try_capnp_readers(bytes: &[u8]) {
    let options = ReaderOptions {
        traversal_limit_in_words: Some(1 << 16),
        ..ReaderOptions::default()
    };
    let Ok(message) = serialize::read_message(bytes, options) else {
        return;
    };
    let root = &message;
    let _ = root.get_root().and_then(submission::read);
    let _ = root.get_root().and_then(verdict::read);
    let _ = root.get_root().and_then(member::read);
    let _ = root.get_root().and_then(directory::read);
    let base = std::rc::Rc::default();
    let _ = root.get_root().and_then(|news| update::read(news, &base));
    let _ = root.get_root().and_then(update::read_known);
    let _ = root.get_root().and_then(claim::read_name);
    let _ = root.get_root().and_then(claim::read_outcome);
    if let Ok(payload) = root.get_root() {
        let _ = Payload::read(payload);
    }
}

fn arbitrary_endpoint() -> impl Strategy<Value = Endpoint> {
    let names = prop::collection::vec("[a-z]{1,9}", 0..4);
    let holding = prop_oneof![
        (names.clone(), names).prop_map(|(models, adapters)| Holding::Engine {
            models: models.iter().map(|name| name.as_str().into()).collect(),
            adapters: adapters.iter().map(|name| name.as_str().into()).collect(),
        }),
        "[a-z]{1,9}".prop_map(|service| Holding::Service {
            service: service.as_str().into()
        }),
    ];
    ("[a-z]{1,9}", holding, any::<u32>(), any::<bool>()).prop_map(
        |(name, holding, slots, ready)| Endpoint {
            name,
            holding,
            slots,
            phase: if ready { Phase::Ready } else { Phase::Draining },
        },
    )
}

fn arbitrary_member() -> impl Strategy<Value = Member> {
    let endpoints = prop::collection::vec(arbitrary_endpoint(), 0..4);
    ("[a-z]{1,9}", any::<u64>(), any::<u32>(), endpoints).prop_map(
        |(name, incarnation, number, endpoints)| Member {
            vm: Vm { name, incarnation },
            role: Role::Agent,
            data_centre: "alp-a".into(),
            address: (std::net::Ipv4Addr::from(number), 7).into(),
            endpoints,
            configuration: u64::from(number),
        },
    )
}

fn arbitrary_delta() -> impl Strategy<Value = Delta> {
    let members = prop::collection::vec(arbitrary_member(), 0..4);
    let gone = prop::collection::vec("[a-z]{1,9}", 0..4);
    (any::<(u64, u64, bool)>(), members, gone).prop_map(
        |((epoch, revision, snapshot), members, gone)| Delta {
            base: revision / 2,
            cursor: Cursor { epoch, revision },
            snapshot,
            changes: members
                .iter()
                .map(|member: &Member| Change {
                    vm: member.vm.name.clone(),
                    endpoints: member.endpoints.clone(),
                })
                .collect(),
            members,
            gone,
        },
    )
}

fn arbitrary_submission() -> impl Strategy<Value = Submission> {
    let numbers = any::<(u64, u64, u32, u8, u64)>();
    let first_token = prop::option::of(0..1_u64 << 40);
    let times = (0..1_u64 << 40, first_token, any::<u64>());
    (numbers, "[a-z]{1,9}", any::<bool>(), times).prop_map(
        |((entry, number, attempt, priority, configuration), name, once, times)| Submission {
            id: Id { entry, number },
            attempt,
            customer: name.as_str().into(),
            priority,
            endpoint: name.clone(),
            destination: Destination::Model {
                model: name.as_str().into(),
                adapter: once.then(|| name.as_str().into()),
            },
            repeat: if once {
                Repeat::Once
            } else {
                Repeat::Repeatable
            },
            remaining: std::time::Duration::from_millis(times.0),
            first_token: times.1.map(std::time::Duration::from_millis),
            tokens: times.2,
            configuration,
            incarnation: number,
            keyed: once,
        },
    )
}

fn encode_delta(delta: &Delta) -> Vec<u8> {
    let mut message = Builder::new_default();
    directory::write(delta, message.init_root());
    serialize::write_message_to_words(&message)
}

fn encode_submission(written: &Submission) -> Vec<u8> {
    let mut message = Builder::new_default();
    submission::write(written, message.init_root());
    serialize::write_message_to_words(&message)
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn ini_readers_do_not_panic(text in ini_text()) {
        let _ = Settings::parse("s.ini", &text);
        let _ = ini::plans("p.ini", &text);
        let _ = ini::grants("g.ini", &text);
    }

    #[test]
    fn json_readers_do_not_panic(text in json_text(), bytes in prop::collection::vec(any::<u8>(), 0..64)) {
        try_json_decoders(text.as_bytes());
        try_json_decoders(&bytes);
    }

    #[test]
    fn capnp_readers_do_not_panic_on_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        try_capnp_readers(&bytes);
    }

    #[test]
    fn capnp_readers_do_not_panic_on_damaged_messages(
        delta in arbitrary_delta(),
        written in arbitrary_submission(),
        damage in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        length in any::<prop::sample::Index>(),
    ) {
        for mut bytes in [encode_delta(&delta), encode_submission(&written)] {
            for (position, value) in &damage {
                let position = position.index(bytes.len());
                bytes[position] = *value;
            }
            try_capnp_readers(&bytes);
            try_capnp_readers(&bytes[..length.index(bytes.len())]);
        }
    }

    #[test]
    fn deltas_are_read_back(delta in arbitrary_delta()) {
        let bytes = encode_delta(&delta);
        let message = serialize::read_message(bytes.as_slice(), ReaderOptions::new()).unwrap();
        prop_assert_eq!(directory::read(message.get_root().unwrap()).unwrap(), delta);
    }

    #[test]
    fn submissions_are_read_back(written in arbitrary_submission()) {
        let bytes = encode_submission(&written);
        let message = serialize::read_message(bytes.as_slice(), ReaderOptions::new()).unwrap();
        prop_assert_eq!(submission::read(message.get_root().unwrap()).unwrap(), written);
    }
}

#[test]
fn verdicts_are_read_back() {
    let reasons = <Reason as strum::IntoEnumIterator>::iter();
    let failed =
        reasons.flat_map(|reason| [Verdict::NotRun { reason }, Verdict::MayHaveRun { reason }]);
    for written in failed.chain([Verdict::Ran]) {
        let mut message = Builder::new_default();
        verdict::write(written, message.init_root());
        let read = message.get_root_as_reader::<link_capnp::verdict::Reader<'_>>();
        assert_eq!(verdict::read(read.unwrap()).unwrap(), written);
    }
}

#[test]
fn unknown_reason_is_an_error() {
    let mut message = Builder::new_default();
    message
        .init_root::<link_capnp::verdict::Builder<'_>>()
        .set_not_run("moon_phase");
    let read = message.get_root_as_reader::<link_capnp::verdict::Reader<'_>>();
    let error = verdict::read(read.unwrap()).unwrap_err();
    assert!(error.to_string().contains("moon_phase"), "{error}");
}

//! Messages between replicas and records of their journal: what was encoded is decoded to
//! the same value, and damaged bytes cause no panic. A field that is written but not read
//! would be missing on the other replicas or after a restart.
//!
//! The seed is fixed. Other cases run with
//! `NUTMEGYOKE_SEED=7 cargo test -p nutmegyoke-wire --test replica`.

use std::rc::Rc;

use capnp::message::{Builder, ReaderOptions};
use nutmegyoke_cases::{cases, config};
use nutmegyoke_core::process::control::Store;
use nutmegyoke_core::process::control::claims::{Claims, Request, Row};
use nutmegyoke_core::process::control::replica::{
    Batch, Body, Content, Entry, Id, Membership, Message, Peer, Position, Seed, Snapshot, Vote,
};
use nutmegyoke_core::process::control::store::Change;
use nutmegyoke_core::request::claim::Key;
use nutmegyoke_core::request::{self, Reason, Verdict};
use nutmegyoke_core::version::{Document, Model};
use nutmegyoke_wire::connection::replica_capnp::message;
use nutmegyoke_wire::process::{record, replica};
use proptest::prelude::*;

fn seed() -> Seed {
    Seed {
        name: "control-1".to_owned(),
        address: ([127, 0, 0, 1], 8480).into(),
        observer: false,
    }
}

const HOLDER: request::Id = request::Id {
    entry: 3,
    number: 4,
};

const KEY: Key = Key {
    hash: [5, 6],
    born: Some(7),
};

fn membership() -> Membership {
    Membership {
        open: false,
        names: ["control-1".to_owned(), "control-2".to_owned()].into(),
        peers: vec![Peer {
            id: Id(9),
            seed: seed(),
            voter: true,
        }],
    }
}

fn document() -> Rc<Document> {
    Rc::new(Document {
        number: 7,
        source: b"{}".as_slice().into(),
    })
}

fn entries() -> Vec<Entry<Change>> {
    let contents = [
        Content::Blank,
        Content::Membership(membership()),
        Content::Change(Change::Configure {
            configuration: Rc::default(),
        }),
        Content::Change(Change::Publish {
            document: document(),
        }),
        Content::Change(Change::Barrier),
        Content::Change(Change::RecordDemand { demand: demand() }),
        Content::Change(Change::Claim {
            request: Request {
                key: KEY,
                holder: HOLDER,
                digest: 8,
                requested_at: 9,
            },
        }),
        Content::Change(Change::Conclude {
            key: Key { born: None, ..KEY },
            holder: HOLDER,
            verdict: Verdict::MayHaveRun {
                reason: Reason::LinkLost,
            },
            vm: "vm-1".into(),
        }),
    ];
    let entries = (1..).zip(contents).map(|(index, content)| Entry {
        position: Position { term: 2, index },
        content,
    });
    entries.collect()
}

fn demand() -> Rc<[(Model, f64)]> {
    Rc::new([("grade".into(), 1.5), ("price".into(), 0.0)])
}

fn snapshot() -> Rc<Snapshot<Store>> {
    let row = |verdict, vm: Option<&str>| Row {
        granted_at: 9,
        holder: HOLDER,
        digest: 8,
        verdict,
        vm: vm.map(Into::into),
    };
    let rows = [
        (KEY, row(Some(Verdict::Ran), Some("vm-1"))),
        (Key { born: None, ..KEY }, row(None, None)),
    ];
    Rc::new(Snapshot {
        position: Position { term: 2, index: 11 },
        membership: membership(),
        state: Store {
            configuration: Rc::default(),
            document: Some(document()),
            claims: Claims::open(12, rows),
            demand: demand(),
        },
    })
}

fn message_with(body: Body<Store>) -> Message<Store> {
    Message {
        from: Id(1),
        reply: seed().address,
        to: Some(Id(2)),
        term: 3,
        body,
    }
}

fn encode(written: &Message<Store>) -> Vec<u8> {
    let mut builder = Builder::new_default();
    replica::write(written, builder.init_root());
    capnp::serialize::write_message_to_words(&builder)
}

fn decode(bytes: &[u8]) -> capnp::Result<Message<Store>> {
    let message = capnp::serialize::read_message(bytes, ReaderOptions::new())?;
    replica::read(message.get_root::<message::Reader<'_>>()?)
}

fn message_is_read_back(body: Body<Store>) {
    let written = message_with(body);
    let read = decode(&encode(&written)).unwrap();
    assert_eq!(format!("{read:?}"), format!("{written:?}"));
}

const LAST: Position = Position { term: 4, index: 5 };

cases!(message_is_read_back {
    poll: (Body::Poll { last: LAST }),
    polled: (Body::Polled { granted: true }),
    solicit: (Body::Solicit {
        last: LAST,
        forced: true
    }),
    voted: (Body::Voted),
    append: (Body::Append {
        previous: LAST,
        entries: entries(),
        commit: 6,
        stamp: 7
    }),
    appended: (Body::Appended {
        matched: 6,
        stamp: 7
    }),
    diverged: (Body::Diverged {
        previous: 5,
        last: 6,
        stamp: 7
    }),
    install: (Body::Install {
        snapshot: snapshot(),
        stamp: 7
    }),
    handover: (Body::Handover),
    outdated: (Body::Outdated),
    join: (Body::Join { seed: seed() }),
    probe: (Body::Probe),
    probed: (Body::Probed {
        name: "control-2".to_owned(),
        fresh: true,
        founder: true
    }),
});

fn batch() -> Batch<Store> {
    Batch {
        ticket: 0,
        vote: Vote {
            term: 5,
            candidate: Some(Id(6)),
        },
        snapshot: Some(snapshot()),
        entries: entries(),
    }
}

#[test]
fn record_is_read_back() {
    let read = record::decode(&record::encode(Id(8), &batch())).unwrap();
    assert_eq!(read.id, Id(8));
    assert_eq!(read.vote, batch().vote);
    assert_eq!(
        format!("{:?}", read.entries),
        format!("{:?}", batch().entries)
    );
    assert_eq!(
        format!("{:?}", read.snapshot),
        format!("{:?}", batch().snapshot)
    );
}

proptest! {
    #![proptest_config(config(256))]

    #[test]
    fn damaged_messages_and_records_cause_no_panic(
        damage in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        length in any::<prop::sample::Index>(),
    ) {
        let append = Body::Append { previous: LAST, entries: entries(), commit: 6, stamp: 7 };
        let install = Body::Install { snapshot: snapshot(), stamp: 7 };
        let messages = [append, install].map(|body| encode(&message_with(body)));
        for mut bytes in messages.into_iter().chain([record::encode(Id(8), &batch())]) {
            for (position, value) in &damage {
                let position = position.index(bytes.len());
                bytes[position] = *value;
            }
            let _ = decode(&bytes);
            let _ = record::decode(&bytes);
            let _ = record::decode(&bytes[..length.index(bytes.len())]);
        }
    }
}

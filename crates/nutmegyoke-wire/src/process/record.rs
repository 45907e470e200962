//! Records in the journal of a control replica, and the parts that they share with the
//! messages between replicas.

use std::rc::Rc;

use capnp::message::{Builder, ReaderOptions};
use capnp::struct_list;
use nutmegyoke_core::process::control::Store;
use nutmegyoke_core::process::control::claims::Request;
use nutmegyoke_core::process::control::replica::{
    Batch, Content, Entry, Id, Membership, Peer, Position, Seed, Snapshot, Vote,
};
use nutmegyoke_core::process::control::store::Change;
use nutmegyoke_core::request::claim::Key;
use nutmegyoke_core::version::Configuration;

use super::{claims, work};
use crate::connection::convert::{length, parse, set_texts, text, texts};
use crate::connection::replica_capnp::{
    entry, key, membership, peer, position, record, seed, snapshot, wish,
};
use crate::request::{id, verdict};
use crate::version::{document, lists};

/// The longest record that is decoded, in words of 8 bytes: 1 GiB.
const MAX_RECORD_WORDS: usize = 128 * 1024 * 1024;

/// One record of the journal, written and synced as a whole.
#[derive(Clone, Debug)]
pub struct Record {
    /// The ID of the replica that owns the journal.
    pub id: Id,
    /// The current term and vote.
    pub vote: Vote,
    /// If set, replaces all earlier records.
    pub snapshot: Option<Rc<Snapshot<Store>>>,
    /// Entries to append. One whose index is already in the journal replaces that entry
    /// and all after it.
    pub entries: Vec<Entry<Change>>,
}

/// Encodes a batch of the replica `id` as a record.
#[must_use]
pub fn encode(id: Id, batch: &Batch<Store>) -> Vec<u8> {
    let mut message = Builder::new_default();
    let mut builder = message.init_root::<record::Builder<'_>>();
    builder.set_id(id.0);
    builder.set_term(batch.vote.term);
    builder.set_candidate(batch.vote.candidate.map_or(0, |id| id.0));
    if let Some(snapshot) = &batch.snapshot {
        write_snapshot(snapshot, builder.reborrow().init_snapshot());
    }
    write_entries(&batch.entries, |length| builder.init_entries(length));
    capnp::serialize::write_message_to_words(&message)
}

/// Decodes a record.
///
/// # Errors
///
/// The bytes are not a valid record.
pub fn decode(bytes: &[u8]) -> capnp::Result<Record> {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_RECORD_WORDS));
    let message = capnp::serialize::read_message(bytes, options)?;
    let reader = message.get_root::<record::Reader<'_>>()?;
    let candidate = reader.get_candidate();
    Ok(Record {
        id: Id(reader.get_id()),
        vote: Vote {
            term: reader.get_term(),
            candidate: (candidate != 0).then_some(Id(candidate)),
        },
        snapshot: if reader.has_snapshot() {
            Some(Rc::new(read_snapshot(reader.get_snapshot()?)?))
        } else {
            None
        },
        entries: read_entries(reader.get_entries()?)?,
    })
}

pub(super) fn read_position(reader: position::Reader<'_>) -> Position {
    Position {
        term: reader.get_term(),
        index: reader.get_index(),
    }
}

pub(super) fn write_position(position: Position, mut builder: position::Builder<'_>) {
    builder.set_term(position.term);
    builder.set_index(position.index);
}

pub(super) fn read_seed(reader: seed::Reader<'_>) -> capnp::Result<Seed> {
    Ok(Seed {
        name: text(reader.get_name())?.to_owned(),
        address: parse(reader.get_address())?,
        observer: reader.get_observer(),
    })
}

pub(super) fn write_seed(seed: &Seed, mut builder: seed::Builder<'_>) {
    builder.set_name(&seed.name);
    builder.set_address(seed.address.to_string());
    builder.set_observer(seed.observer);
}

fn read_membership(reader: membership::Reader<'_>) -> capnp::Result<Membership> {
    let names: Vec<String> = texts(reader.get_names())?;
    Ok(Membership {
        open: reader.get_open(),
        names: names.into_iter().collect(),
        peers: reader
            .get_peers()?
            .iter()
            .map(read_peer)
            .collect::<capnp::Result<_>>()?,
    })
}

fn write_membership(membership: &Membership, mut builder: membership::Builder<'_>) {
    builder.set_open(membership.open);
    let list = builder
        .reborrow()
        .init_names(length(membership.names.len()));
    set_texts(list, membership.names.iter().map(String::as_str));
    let mut list = builder.init_peers(length(membership.peers.len()));
    for (index, peer) in (0..).zip(&membership.peers) {
        let mut builder = list.reborrow().get(index);
        builder.set_id(peer.id.0);
        builder.set_voter(peer.voter);
        write_seed(&peer.seed, builder.init_seed());
    }
}

fn read_peer(reader: peer::Reader<'_>) -> capnp::Result<Peer> {
    Ok(Peer {
        id: Id(reader.get_id()),
        seed: read_seed(reader.get_seed()?)?,
        voter: reader.get_voter(),
    })
}

fn read_key(reader: key::Reader<'_>) -> Key {
    let born = reader.get_born();
    Key {
        hash: [reader.get_high(), reader.get_low()],
        born: (born != 0).then_some(born),
    }
}

fn write_key(key: Key, mut builder: key::Builder<'_>) {
    let [high, low] = key.hash;
    builder.set_high(high);
    builder.set_low(low);
    builder.set_born(key.born.unwrap_or(0));
}

fn read_request(reader: wish::Reader<'_>) -> capnp::Result<Request> {
    Ok(Request {
        key: read_key(reader.get_key()?),
        holder: id::read(reader.get_holder()?),
        digest: reader.get_digest(),
        requested_at: reader.get_at(),
    })
}

fn write_request(request: &Request, mut builder: wish::Builder<'_>) {
    write_key(request.key, builder.reborrow().init_key());
    id::write(request.holder, builder.reborrow().init_holder());
    builder.set_digest(request.digest);
    builder.set_at(request.requested_at);
}

pub(super) fn read_entries(
    list: struct_list::Reader<'_, entry::Owned>,
) -> capnp::Result<Vec<Entry<Change>>> {
    list.iter().map(read_entry).collect()
}

pub(super) fn write_entries<'a>(
    entries: &[Entry<Change>],
    init: impl FnOnce(u32) -> struct_list::Builder<'a, entry::Owned>,
) {
    let mut list = init(length(entries.len()));
    for (index, entry) in (0..).zip(entries) {
        write_entry(entry, list.reborrow().get(index));
    }
}

fn read_entry(reader: entry::Reader<'_>) -> capnp::Result<Entry<Change>> {
    let content = match reader.which()? {
        entry::Blank(()) => Content::Blank,
        entry::Membership(membership) => Content::Membership(read_membership(membership?)?),
        entry::Configure(lists) => Content::Change(Change::Configure {
            configuration: read_configuration(lists?)?,
        }),
        entry::Publish(published) => Content::Change(Change::Publish {
            document: document::read(published?)?,
        }),
        entry::Weigh(rows) => Content::Change(Change::RecordDemand {
            demand: work::read_demand(rows?)?,
        }),
        entry::Confirm(()) => Content::Change(Change::Barrier),
        entry::Claim(request) => Content::Change(Change::Claim {
            request: read_request(request?)?,
        }),
        entry::Conclude(conclusion) => {
            let conclusion = conclusion?;
            Content::Change(Change::Conclude {
                key: read_key(conclusion.get_key()?),
                holder: id::read(conclusion.get_holder()?),
                verdict: verdict::read(conclusion.get_verdict()?)?,
                vm: text(conclusion.get_vm())?.into(),
            })
        }
    };
    Ok(Entry {
        position: read_position(reader.get_position()?),
        content,
    })
}

fn write_entry(entry: &Entry<Change>, mut builder: entry::Builder<'_>) {
    write_position(entry.position, builder.reborrow().init_position());
    match &entry.content {
        Content::Blank => builder.set_blank(()),
        Content::Membership(membership) => {
            write_membership(membership, builder.init_membership());
        }
        Content::Change(Change::Configure { configuration }) => {
            lists::write(configuration.lists(), builder.init_configure());
        }
        Content::Change(Change::Publish {
            document: published,
        }) => {
            document::write(published, builder.init_publish());
        }
        Content::Change(Change::RecordDemand { demand }) => {
            let list = builder.init_weigh(length(demand.len()));
            work::write_demand(demand, list);
        }
        Content::Change(Change::Barrier) => builder.set_confirm(()),
        Content::Change(Change::Claim { request }) => write_request(request, builder.init_claim()),
        Content::Change(Change::Conclude {
            key,
            holder,
            verdict,
            vm,
        }) => {
            let mut builder = builder.init_conclude();
            write_key(*key, builder.reborrow().init_key());
            id::write(*holder, builder.reborrow().init_holder());
            verdict::write(*verdict, builder.reborrow().init_verdict());
            builder.set_vm(vm);
        }
    }
}

fn read_configuration(
    reader: crate::connection::link_capnp::lists::Reader<'_>,
) -> capnp::Result<Rc<Configuration>> {
    Configuration::open(lists::read(reader)?)
        .map_err(|fault| capnp::Error::failed(fault.to_string()))
}

pub(super) fn read_snapshot(reader: snapshot::Reader<'_>) -> capnp::Result<Snapshot<Store>> {
    Ok(Snapshot {
        position: read_position(reader.get_position()?),
        membership: read_membership(reader.get_membership()?)?,
        state: Store {
            configuration: read_configuration(reader.get_configuration()?)?,
            document: if reader.has_document() {
                Some(document::read(reader.get_document()?)?)
            } else {
                None
            },
            claims: claims::read(reader)?,
            demand: work::read_demand(reader.get_demand()?)?,
        },
    })
}

pub(super) fn write_snapshot(snapshot: &Snapshot<Store>, mut builder: snapshot::Builder<'_>) {
    write_position(snapshot.position, builder.reborrow().init_position());
    write_membership(&snapshot.membership, builder.reborrow().init_membership());
    let configuration = snapshot.state.configuration.lists();
    lists::write(configuration, builder.reborrow().init_configuration());
    if let Some(published) = &snapshot.state.document {
        document::write(published, builder.reborrow().init_document());
    }
    let demand = &snapshot.state.demand;
    let list = builder.reborrow().init_demand(length(demand.len()));
    work::write_demand(demand, list);
    claims::write(&snapshot.state.claims, builder);
}

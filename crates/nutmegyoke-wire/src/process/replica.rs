//! Messages between control replicas.

use std::rc::Rc;

use nutmegyoke_core::process::control::Store;
use nutmegyoke_core::process::control::replica::{Body, Id, Message};

use super::record::{
    read_entries, read_position, read_seed, read_snapshot, write_entries, write_position,
    write_seed, write_snapshot,
};
use crate::connection::convert::{parse, text};
use crate::connection::replica_capnp::message;

/// Reads a message between replicas.
///
/// # Errors
///
/// The message is malformed.
pub fn read(reader: message::Reader<'_>) -> capnp::Result<Message<Store>> {
    let to = reader.get_to();
    Ok(Message {
        from: Id(reader.get_from()),
        reply: parse(reader.get_reply())?,
        to: (to != 0).then_some(Id(to)),
        term: reader.get_term(),
        body: read_body(reader)?,
    })
}

fn read_body(reader: message::Reader<'_>) -> capnp::Result<Body<Store>> {
    Ok(match reader.which()? {
        message::Poll(last) => Body::Poll {
            last: read_position(last?),
        },
        message::Polled(granted) => Body::Polled { granted },
        message::Solicit(group) => Body::Solicit {
            last: read_position(group.get_last()?),
            forced: group.get_forced(),
        },
        message::Voted(()) => Body::Voted,
        message::Append(group) => Body::Append {
            previous: read_position(group.get_previous()?),
            entries: read_entries(group.get_entries()?)?,
            commit: group.get_commit(),
            stamp: group.get_stamp(),
        },
        message::Appended(group) => Body::Appended {
            matched: group.get_matched(),
            stamp: group.get_stamp(),
        },
        message::Diverged(group) => Body::Diverged {
            previous: group.get_previous(),
            last: group.get_last(),
            stamp: group.get_stamp(),
        },
        message::Install(group) => Body::Install {
            snapshot: Rc::new(read_snapshot(group.get_snapshot()?)?),
            stamp: group.get_stamp(),
        },
        message::Handover(()) => Body::Handover,
        message::Outdated(()) => Body::Outdated,
        message::Join(seed) => Body::Join {
            seed: read_seed(seed?)?,
        },
        message::Probe(()) => Body::Probe,
        message::Probed(group) => Body::Probed {
            name: text(group.get_name())?.to_owned(),
            fresh: group.get_fresh(),
            founder: group.get_founder(),
        },
    })
}

/// Writes a message between replicas.
pub fn write(message: &Message<Store>, mut builder: message::Builder<'_>) {
    builder.set_from(message.from.0);
    builder.set_reply(message.reply.to_string());
    builder.set_to(message.to.map_or(0, |id| id.0));
    builder.set_term(message.term);
    write_body(&message.body, builder);
}

fn write_body(body: &Body<Store>, mut builder: message::Builder<'_>) {
    match body {
        Body::Poll { last } => write_position(*last, builder.init_poll()),
        Body::Polled { granted } => builder.set_polled(*granted),
        Body::Solicit { last, forced } => {
            let mut group = builder.init_solicit();
            group.set_forced(*forced);
            write_position(*last, group.init_last());
        }
        Body::Voted => builder.set_voted(()),
        Body::Append {
            previous,
            entries,
            commit,
            stamp,
        } => {
            let mut group = builder.init_append();
            group.set_commit(*commit);
            group.set_stamp(*stamp);
            write_position(*previous, group.reborrow().init_previous());
            write_entries(entries, |length| group.init_entries(length));
        }
        Body::Appended { matched, stamp } => {
            let mut group = builder.init_appended();
            group.set_matched(*matched);
            group.set_stamp(*stamp);
        }
        Body::Diverged {
            previous,
            last,
            stamp,
        } => {
            let mut group = builder.init_diverged();
            group.set_previous(*previous);
            group.set_last(*last);
            group.set_stamp(*stamp);
        }
        Body::Install { snapshot, stamp } => {
            let mut group = builder.init_install();
            group.set_stamp(*stamp);
            write_snapshot(snapshot, group.init_snapshot());
        }
        Body::Handover => builder.set_handover(()),
        Body::Outdated => builder.set_outdated(()),
        Body::Join { seed } => write_seed(seed, builder.init_join()),
        Body::Probe => builder.set_probe(()),
        Body::Probed {
            name,
            fresh,
            founder,
        } => {
            let mut group = builder.init_probed();
            group.set_name(name);
            group.set_fresh(*fresh);
            group.set_founder(*founder);
        }
    }
}

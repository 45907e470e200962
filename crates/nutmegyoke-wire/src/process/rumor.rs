//! Rumors about endpoints, as gossiped between gateways.

use std::rc::Rc;
use std::time::Duration;

use capnp::struct_list;
use nutmegyoke_core::process::endpoint::Phase;
use nutmegyoke_core::process::registry::{Announcement, Content, Rumor, Stamp};
use nutmegyoke_core::version::Model;

use crate::connection::convert::{length, milliseconds, parse, set_texts, strings, text, texts};
use crate::connection::mesh_capnp::{announcement, rumor, stamp};

/// Reads a list of rumors.
///
/// # Errors
///
/// The message is malformed.
pub fn read(list: struct_list::Reader<'_, rumor::Owned>) -> capnp::Result<Vec<Rumor>> {
    list.iter().map(read_rumor).collect()
}

/// Writes rumors into the list that `init` creates for their number.
pub fn write<'a>(
    rumors: &[Rumor],
    init: impl FnOnce(u32) -> struct_list::Builder<'a, rumor::Owned>,
) {
    let mut list = init(length(rumors.len()));
    for (index, rumor) in (0..).zip(rumors) {
        write_rumor(rumor, list.reborrow().get(index));
    }
}

fn read_rumor(reader: rumor::Reader<'_>) -> capnp::Result<Rumor> {
    Ok(Rumor {
        age: Duration::from_millis(reader.get_age_ms()),
        content: match reader.which()? {
            rumor::Told(announcement) => {
                Content::Announced(Rc::new(read_announcement(announcement?)?))
            }
            rumor::Renewed(group) => Content::Renewed {
                id: text(group.get_id())?.to_owned(),
                stamp: read_stamp(group.get_stamp()?),
            },
            rumor::Left(announcement) => {
                Content::SignedOff(Rc::new(read_announcement(announcement?)?))
            }
        },
    })
}

fn write_rumor(rumor: &Rumor, mut builder: rumor::Builder<'_>) {
    builder.set_age_ms(milliseconds(rumor.age));
    match &rumor.content {
        Content::Announced(announcement) => write_announcement(announcement, builder.init_told()),
        Content::Renewed { id, stamp } => {
            let mut group = builder.init_renewed();
            group.set_id(id);
            write_stamp(*stamp, group.init_stamp());
        }
        Content::SignedOff(announcement) => write_announcement(announcement, builder.init_left()),
    }
}

fn read_stamp(reader: stamp::Reader<'_>) -> Stamp {
    Stamp {
        started_ms: reader.get_born(),
        sequence: reader.get_sequence(),
    }
}

fn write_stamp(stamp: Stamp, mut builder: stamp::Builder<'_>) {
    builder.set_born(stamp.started_ms);
    builder.set_sequence(stamp.sequence);
}

fn read_announcement(reader: announcement::Reader<'_>) -> capnp::Result<Announcement> {
    let leaves_in = reader.get_leaves_in_ms();
    Ok(Announcement {
        id: text(reader.get_id())?.to_owned(),
        service: text(reader.get_service())?.into(),
        address: parse(reader.get_address())?,
        data_centre: text(reader.get_data_centre())?.into(),
        stamp: read_stamp(reader.get_stamp()?),
        slots: reader.get_slots(),
        phase: if reader.get_draining() {
            Phase::Draining
        } else {
            Phase::Ready
        },
        warmup: Duration::from_millis(reader.get_warming_ms()),
        leaves_in: leaves_in.checked_sub(1).map(Duration::from_millis),
        models: texts(reader.get_models())?,
        warm_copies: texts(reader.get_warm())?,
        adapters: strings(reader.get_adapters())?,
    })
}

fn write_announcement(announcement: &Announcement, mut builder: announcement::Builder<'_>) {
    builder.set_id(&announcement.id);
    builder.set_service(announcement.service.as_str());
    builder.set_address(announcement.address.to_string());
    builder.set_data_centre(announcement.data_centre.as_str());
    write_stamp(announcement.stamp, builder.reborrow().init_stamp());
    builder.set_slots(announcement.slots);
    builder.set_draining(announcement.phase == Phase::Draining);
    builder.set_warming_ms(milliseconds(announcement.warmup));
    // The field is the time plus 1 ms; 0 means that the endpoint is not leaving.
    let leaves_in = announcement.leaves_in.map(milliseconds);
    builder.set_leaves_in_ms(
        leaves_in.map_or(0, |milliseconds_left| milliseconds_left.saturating_add(1)),
    );
    let models = &announcement.models;
    let list = builder.reborrow().init_models(length(models.len()));
    set_texts(list, models.iter().map(Model::as_str));
    let warm = &announcement.warm_copies;
    let list = builder.reborrow().init_warm(length(warm.len()));
    set_texts(list, warm.iter().map(Model::as_str));
    let adapters = &announcement.adapters;
    let list = builder.init_adapters(length(adapters.len()));
    set_texts(list, adapters.iter().map(String::as_str));
}

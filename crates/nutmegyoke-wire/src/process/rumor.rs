//! Rumors about endpoints, as gossiped between gateways.

use std::rc::Rc;
use std::time::Duration;

use capnp::Error;
use nutmegyoke_core::process::endpoint::Phase;
use nutmegyoke_core::process::registry::{Announcement, Content, Key, Rumor, Sequence, Stamp};
use nutmegyoke_core::version::Model;

use crate::connection::convert::{length, milliseconds, parse, set_texts, strings, text, texts};
use crate::connection::mesh_capnp::gateway::spread_params;
use crate::connection::mesh_capnp::{announcement, renewals, rumor, stamp};

/// Reads the rumors of a message; the renewals are last.
///
/// # Errors
///
/// The message is malformed.
pub fn read(params: spread_params::Reader<'_>) -> capnp::Result<Vec<Rumor>> {
    let told = params.get_rumors()?.iter().map(read_rumor);
    let renewals = read_renewals(params.get_renewals()?)?;
    told.chain(renewals.into_iter().map(Ok)).collect()
}

/// Writes the rumors of a message.
pub fn write(rumors: &[Rumor], mut params: spread_params::Builder<'_>) {
    let is_renewal = |rumor: &&Rumor| matches!(rumor.content, Content::Renewed { .. });
    let renewals = rumors.iter().filter(is_renewal).count();
    if renewals < rumors.len() {
        let told = rumors.iter().filter(|rumor| !is_renewal(rumor));
        let mut list = params
            .reborrow()
            .init_rumors(length(rumors.len() - renewals));
        for (index, rumor) in (0..).zip(told) {
            write_rumor(rumor, list.reborrow().get(index));
        }
    }
    if renewals > 0 {
        write_renewals(rumors, length(renewals), params.init_renewals());
    }
}

fn read_renewals(reader: renewals::Reader<'_>) -> capnp::Result<Vec<Rumor>> {
    let starts = reader.get_starts()?;
    let (sequences, ages) = (reader.get_sequences()?, reader.get_ages_ms()?);
    if starts.len() != sequences.len() || starts.len() != ages.len() {
        return Err(Error::failed(
            "lists of renewals differ in length".to_owned(),
        ));
    }
    let rows = starts.iter().zip(sequences.iter()).zip(ages.iter());
    let rumors = rows.map(|((start, sequence), age)| Rumor {
        age: Duration::from_millis(age.into()),
        content: Content::Renewed {
            start: Key(start),
            sequence: Sequence(sequence),
        },
    });
    Ok(rumors.collect())
}

/// Writes the renewals among `rumors`.
fn write_renewals(rumors: &[Rumor], count: u32, mut builder: renewals::Builder<'_>) {
    let rows = rumors.iter().filter_map(|rumor| match rumor.content {
        Content::Renewed { start, sequence } => Some((start, sequence, rumor.age)),
        Content::Announced(_) | Content::Adapted { .. } | Content::SignedOff(_) => None,
    });
    let mut list = builder.reborrow().init_starts(count);
    for (index, (Key(start), ..)) in (0..).zip(rows.clone()) {
        list.set(index, start);
    }
    let mut list = builder.reborrow().init_sequences(count);
    for (index, (_, Sequence(sequence), _)) in (0..).zip(rows.clone()) {
        list.set(index, sequence);
    }
    let mut list = builder.init_ages_ms(count);
    for (index, (.., age)) in (0..).zip(rows) {
        // Rows with an older heartbeat are dropped anyway.
        list.set(index, u16::try_from(milliseconds(age)).unwrap_or(u16::MAX));
    }
}

fn read_rumor(reader: rumor::Reader<'_>) -> capnp::Result<Rumor> {
    Ok(Rumor {
        age: Duration::from_millis(reader.get_age_ms()),
        content: match reader.which()? {
            rumor::Told(announcement) => {
                Content::Announced(Rc::new(read_announcement(announcement?)?))
            }
            rumor::Adapted(group) => Content::Adapted {
                start: Key(group.get_start()),
                sequence: Sequence(group.get_sequence()),
                warmup: Duration::from_millis(group.get_warming_ms().into()),
                adapters: strings(group.get_adapters())?,
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
        Content::SignedOff(announcement) => write_announcement(announcement, builder.init_left()),
        Content::Adapted {
            start: Key(start),
            sequence: Sequence(sequence),
            warmup,
            adapters,
        } => {
            let mut group = builder.init_adapted();
            group.set_start(*start);
            group.set_sequence(*sequence);
            group.set_warming_ms(u32::try_from(milliseconds(*warmup)).unwrap_or(u32::MAX));
            let list = group.init_adapters(length(adapters.len()));
            set_texts(list, adapters.iter().map(String::as_str));
        }
        Content::Renewed { .. } => {}
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
        build: text(reader.get_build())?.to_owned(),
        adapters: strings(reader.get_adapters())?,
    })
}

fn write_announcement(announcement: &Announcement, mut builder: announcement::Builder<'_>) {
    builder.set_id(&announcement.id);
    builder.set_service(announcement.service.as_str());
    builder.set_address(announcement.address.to_string());
    builder.set_data_centre(announcement.data_centre.as_str());
    write_stamp(announcement.stamp, builder.reborrow().init_stamp());
    builder.set_build(&announcement.build);
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

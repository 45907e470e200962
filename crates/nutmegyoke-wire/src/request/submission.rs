//! Submissions of requests from entries to agents.

use std::time::Duration;

use nutmegyoke_core::request::Submission;
use nutmegyoke_core::request::arrival::Destination;
use nutmegyoke_core::version::grant::Repeat;

use super::id;
use crate::connection::convert::{milliseconds, text};
use crate::connection::link_capnp::{destination, submission};

/// The value of `firstTokenMs` if no first token is expected, as for a call of a plain
/// service.
const NO_FIRST_TOKEN_MS: u64 = u64::MAX;

/// Reads a submission.
///
/// # Errors
///
/// The message is malformed.
pub fn read(reader: submission::Reader<'_>) -> capnp::Result<Submission> {
    Ok(Submission {
        id: id::read(reader.get_id()?),
        attempt: reader.get_attempt(),
        customer: text(reader.get_customer())?.into(),
        priority: reader.get_priority(),
        endpoint: text(reader.get_endpoint())?.to_owned(),
        destination: read_destination(reader.get_destination()?)?,
        repeat: if reader.get_once() {
            Repeat::Once
        } else {
            Repeat::Repeatable
        },
        remaining: Duration::from_millis(reader.get_remaining_ms()),
        first_token: match reader.get_first_token_ms() {
            NO_FIRST_TOKEN_MS => None,
            milliseconds_left => Some(Duration::from_millis(milliseconds_left)),
        },
        tokens: reader.get_tokens(),
        configuration: reader.get_configuration(),
        incarnation: reader.get_incarnation(),
        keyed: reader.get_keyed(),
    })
}

/// Writes a submission.
pub fn write(submission: &Submission, mut builder: submission::Builder<'_>) {
    id::write(submission.id, builder.reborrow().init_id());
    builder.set_attempt(submission.attempt);
    builder.set_customer(submission.customer.as_str());
    builder.set_priority(submission.priority);
    builder.set_endpoint(&submission.endpoint);
    write_destination(
        &submission.destination,
        builder.reborrow().init_destination(),
    );
    builder.set_once(submission.repeat == Repeat::Once);
    builder.set_remaining_ms(milliseconds(submission.remaining));
    let first_token = submission.first_token;
    builder.set_first_token_ms(first_token.map_or(NO_FIRST_TOKEN_MS, milliseconds));
    builder.set_tokens(submission.tokens);
    builder.set_configuration(submission.configuration);
    builder.set_incarnation(submission.incarnation);
    builder.set_keyed(submission.keyed);
}

fn read_destination(reader: destination::Reader<'_>) -> capnp::Result<Destination> {
    Ok(match reader.which()? {
        destination::Model(group) => {
            let adapter = text(group.get_adapter())?;
            Destination::Model {
                model: text(group.get_model())?.into(),
                adapter: (!adapter.is_empty()).then(|| adapter.into()),
            }
        }
        destination::Service(name) => Destination::Service {
            service: text(name)?.into(),
        },
    })
}

fn write_destination(destination: &Destination, mut builder: destination::Builder<'_>) {
    match destination {
        Destination::Model { model, adapter } => {
            let mut group = builder.init_model();
            group.set_model(model.as_str());
            group.set_adapter(adapter.as_ref().map_or("", |name| name.as_str()));
        }
        Destination::Service { service } => builder.set_service(service.as_str()),
    }
}

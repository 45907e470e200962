//! The outcome of submitting a configuration, as sent between control processes.

use nutmegyoke_core::process::control::Acceptance;

use crate::connection::replica_capnp::acceptance;

/// Reads an outcome.
///
/// # Errors
///
/// The message is malformed.
pub fn read(reader: acceptance::Reader<'_>) -> capnp::Result<Acceptance> {
    Ok(match reader.which()? {
        acceptance::Accepted(group) => Acceptance::Accepted {
            number: group.get_number(),
            digest: group.get_digest(),
        },
        acceptance::Conflict(group) => Acceptance::Conflict {
            number: group.get_number(),
            digest: group.get_digest(),
        },
        acceptance::Stale(number) => Acceptance::Stale { number },
    })
}

/// Writes an outcome.
pub fn write(acceptance: Acceptance, mut builder: acceptance::Builder<'_>) {
    match acceptance {
        Acceptance::Accepted { number, digest } => {
            let mut group = builder.init_accepted();
            group.set_number(number);
            group.set_digest(digest);
        }
        Acceptance::Conflict { number, digest } => {
            let mut group = builder.init_conflict();
            group.set_number(number);
            group.set_digest(digest);
        }
        Acceptance::Stale { number } => builder.set_stale(number),
    }
}

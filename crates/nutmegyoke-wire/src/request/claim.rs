//! Claims on keyed requests, as sent between entries and control.

use nutmegyoke_core::request::Claim;
use nutmegyoke_core::request::claim::{Name, Outcome};

use super::{id, verdict};
use crate::connection::convert::text;
use crate::connection::link_capnp::{claim, claim_name, claim_outcome};

/// Reads the customer and idempotency key that a claim is for.
///
/// # Errors
///
/// The message is malformed.
pub fn read_name(reader: claim_name::Reader<'_>) -> capnp::Result<Name> {
    Ok(Name {
        customer: text(reader.get_customer())?.into(),
        key: text(reader.get_key())?.to_owned(),
    })
}

/// Writes the customer and idempotency key that a claim is for.
pub fn write_name(name: &Name, mut builder: claim_name::Builder<'_>) {
    builder.set_customer(name.customer.as_str());
    builder.set_key(&name.key);
}

/// Reads control's answer to a request for a claim.
///
/// # Errors
///
/// The message is malformed.
pub fn read_outcome(reader: claim_outcome::Reader<'_>) -> capnp::Result<Outcome> {
    Ok(match reader.which()? {
        claim_outcome::Granted(()) => Outcome::Granted,
        claim_outcome::Held(claim) => Outcome::Held {
            claim: read(claim?)?,
        },
        claim_outcome::Mismatch(()) => Outcome::Mismatch,
        claim_outcome::Expired(()) => Outcome::Expired,
        claim_outcome::Full(()) => Outcome::Full,
    })
}

/// Writes control's answer to a request for a claim.
pub fn write_outcome(outcome: &Outcome, mut builder: claim_outcome::Builder<'_>) {
    match outcome {
        Outcome::Granted => builder.set_granted(()),
        Outcome::Held { claim } => write(claim, builder.init_held()),
        Outcome::Mismatch => builder.set_mismatch(()),
        Outcome::Expired => builder.set_expired(()),
        Outcome::Full => builder.set_full(()),
    }
}

fn read(reader: claim::Reader<'_>) -> capnp::Result<Claim> {
    Ok(Claim {
        holder: id::read(reader.get_holder()?),
        digest: reader.get_digest(),
        verdict: if reader.has_verdict() {
            Some(verdict::read(reader.get_verdict()?)?)
        } else {
            None
        },
        vm: text(reader.get_vm())?.to_owned(),
    })
}

fn write(claim: &Claim, mut builder: claim::Builder<'_>) {
    id::write(claim.holder, builder.reborrow().init_holder());
    builder.set_digest(claim.digest);
    if let Some(verdict) = claim.verdict {
        verdict::write(verdict, builder.reborrow().init_verdict());
    }
    builder.set_vm(&claim.vm);
}

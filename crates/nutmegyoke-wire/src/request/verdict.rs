//! Verdicts on requests, as sent between processes.

use nutmegyoke_core::request::Verdict;

use crate::connection::convert::parse;
use crate::connection::link_capnp::verdict;

/// Reads a verdict.
///
/// # Errors
///
/// The message is malformed or has an unknown reason.
pub fn read(reader: verdict::Reader<'_>) -> capnp::Result<Verdict> {
    Ok(match reader.which()? {
        verdict::Ran(()) => Verdict::Ran,
        verdict::NotRun(reason) => Verdict::NotRun {
            reason: parse(reason)?,
        },
        verdict::MayHaveRun(reason) => Verdict::MayHaveRun {
            reason: parse(reason)?,
        },
    })
}

/// Writes a verdict.
pub fn write(verdict: Verdict, mut builder: verdict::Builder<'_>) {
    match verdict {
        Verdict::Ran => builder.set_ran(()),
        Verdict::NotRun { reason } => builder.set_not_run(reason.name()),
        Verdict::MayHaveRun { reason } => builder.set_may_have_run(reason.name()),
    }
}

//! When heartbeats without changes of state are passed on, and to whom.
//!
//! A gateway sends the heartbeats that it received itself. A relay between data centres also passes
//! on those that it heard of: to its own data centre the ones of others, and the other way round.

use std::time::{Duration, Instant};

use strum::{EnumCount, EnumIter};

/// The minimum interval at which unchanged heartbeats and changed adapters of an endpoint
/// are gossiped.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// Who told this gateway of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The endpoint itself.
    Endpoint,
    /// A gateway of the same data centre, or one whose data centre is not known.
    Near,
    /// A gateway of another data centre.
    Far,
}

/// Which heartbeats without changes of state a message holds. Changes are in all messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumCount, EnumIter)]
pub enum Scope {
    /// None.
    Changes,
    /// Those that this gateway received itself.
    Own,
    /// Those and the ones of other data centres: for gateways of this one.
    Inward,
    /// Those and the ones of this data centre: for relays of others.
    Outward,
}

impl Scope {
    /// The sources of the heartbeats.
    #[must_use]
    pub fn sources(self) -> &'static [Source] {
        match self {
            Self::Changes => &[],
            Self::Own => &[Source::Endpoint],
            Self::Inward => &[Source::Endpoint, Source::Far],
            Self::Outward => &[Source::Endpoint, Source::Near],
        }
    }

    /// Whether a message of this scope holds all that one of the `other` scope does.
    #[must_use]
    pub fn includes(self, other: Self) -> bool {
        let sources = self.sources();
        other
            .sources()
            .iter()
            .all(|source| sources.contains(source))
    }
}

/// The heartbeats of one endpoint from one source.
#[derive(Clone, Copy, Debug, Default)]
pub struct Renewal {
    /// The revision of the latest heartbeat that is gossiped.
    pub revision: u64,
    /// The revision of the latest one with other adapters.
    pub adapted_revision: u64,
    /// When `revision` was assigned.
    at: Option<Instant>,
    /// Whether the adapters changed after that time.
    pub adapters_pending: bool,
}

impl Renewal {
    /// Whether the next heartbeat is gossiped. Those of other gateways come at that interval
    /// already; where they come a little early, a whole interval must not be lost.
    #[must_use]
    pub fn is_due(&self, now: Instant, source: Source) -> bool {
        let interval = match source {
            Source::Endpoint => RENEWAL_INTERVAL,
            Source::Near | Source::Far => RENEWAL_INTERVAL / 2,
        };
        self.at.is_none_or(|at| at + interval <= now)
    }

    /// Has a heartbeat gossiped with `revision`.
    pub fn assign(&mut self, now: Instant, revision: u64) {
        self.at = Some(now);
        self.revision = revision;
        if std::mem::take(&mut self.adapters_pending) {
            self.adapted_revision = revision;
        }
    }
}

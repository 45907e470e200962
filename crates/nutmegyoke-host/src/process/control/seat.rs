//! A replica's place among the others.

use std::path::PathBuf;
use std::time::Duration;

use nutmegyoke_core::process::control::replica::Roster;
use nutmegyoke_wire::process::settings;

/// A replica's place among the others.
#[derive(Clone, Debug)]
pub struct Seat {
    /// The data folder; without one the state ends with the process.
    pub data: Option<PathBuf>,
    /// The other control processes.
    pub roster: Roster,
    /// Whether it only ever receives the log.
    pub observer: bool,
    /// How long a leader is missed before another is elected.
    pub election: Duration,
}

impl From<&settings::Control> for Seat {
    fn from(own: &settings::Control) -> Self {
        Self {
            data: own.data.clone(),
            roster: Roster::Listed {
                seeds: own.peers.clone(),
            },
            observer: false,
            election: own.election_timeout,
        }
    }
}

//! The startup options of a replica, from the settings of a control process or a gateway.

use std::path::PathBuf;
use std::time::Duration;

use nutmegyoke_core::process::control::replica::Roster;
use nutmegyoke_wire::process::settings;

/// The startup options of a replica.
#[derive(Clone, Debug)]
pub struct Options {
    /// The data folder; without one the state is lost when the process ends.
    pub data_folder: Option<PathBuf>,
    /// How the replica finds the others.
    pub roster: Roster,
    /// Whether the replica receives the log but never votes.
    pub observer: bool,
    /// How long a replica waits for messages from the leader before it starts an election.
    pub election_timeout: Duration,
    /// How many voters may be lost at the same time; `None` if unknown.
    pub tolerated_losses: Option<usize>,
}

impl From<&settings::Control> for Options {
    fn from(role_settings: &settings::Control) -> Self {
        Self {
            data_folder: role_settings.data.clone(),
            roster: Roster::Listed {
                seeds: role_settings.peers.clone(),
            },
            observer: false,
            election_timeout: role_settings.election_timeout,
            tolerated_losses: None,
        }
    }
}

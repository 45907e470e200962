//! The replicas that hold the log, and which of them vote.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Identifies a replica and its disk.
///
/// A VM that restarts with an empty disk draws a new id, so that no vote or
/// acknowledgement given with the lost disk counts for the new one.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
#[display("{_0:016x}")]
pub struct Id(pub u64);

/// A control VM as named in the settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Seed {
    /// The name of the VM.
    pub name: String,
    /// The address at which other processes reach it.
    pub address: SocketAddr,
    /// Whether it only receives the log and never becomes a voter.
    pub observer: bool,
}

/// A replica in the membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Peer {
    /// Its id, which stands for its disk.
    pub id: Id,
    /// The VM it runs on.
    pub seed: Seed,
    /// Whether it votes. A learner only receives the log until it has caught up.
    pub voter: bool,
}

/// The replicas of a fleet and the names of the VMs that may join it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Membership {
    /// Whether any VM may join; `names` is then empty.
    pub open: bool,
    /// The names of the VMs that may hold a replica.
    pub names: BTreeSet<String>,
    /// The replicas.
    pub peers: Vec<Peer>,
}

/// A change, requested by an operator, of the VMs that may hold a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change<'a> {
    /// Lets the VM of this name join.
    Add(&'a str),
    /// Removes the VM of this name and its replica. In an open membership a voter stays if the
    /// fleet tolerates fewer failures without it.
    Remove(&'a str),
}

/// The control VMs named in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Roster {
    /// All control VMs; others join only after an operator adds them.
    Listed { seeds: Vec<Seed> },
    /// The addresses of a few control VMs; any VM may join through them.
    Open {
        contacts: Vec<SocketAddr>,
        /// Whether this process may bootstrap the fleet.
        bootstrap: bool,
    },
}

impl Default for Roster {
    fn default() -> Self {
        Self::Listed { seeds: Vec::new() }
    }
}

impl Membership {
    /// Whether the VM of this name may hold a replica.
    #[must_use]
    pub fn admits(&self, name: &str) -> bool {
        self.open || self.names.contains(name)
    }

    /// The replicas that vote.
    pub fn voters(&self) -> impl Iterator<Item = &Peer> + Clone {
        self.peers.iter().filter(|peer| peer.voter)
    }

    /// The replica with this id, if it is a member.
    #[must_use]
    pub fn peer(&self, id: Id) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.id == id)
    }

    /// Whether the replica with this id is a voter.
    #[must_use]
    pub fn is_voter(&self, id: Id) -> bool {
        self.peer(id).is_some_and(|peer| peer.voter)
    }
}

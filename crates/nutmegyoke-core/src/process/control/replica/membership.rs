//! Which replicas hold the log and which of them vote.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// One life of a replica's disk.
///
/// A VM that comes back with an empty disk draws a new one, so that no vote
/// and no acknowledgement of its earlier life is counted for it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
#[display("{_0:016x}")]
pub struct Id(pub u64);

/// A control VM as the settings name it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Seed {
    /// The name of the VM.
    pub name: String,
    /// Where other processes reach it.
    pub address: SocketAddr,
    /// Whether it only ever receives the log and never votes.
    pub observer: bool,
}

/// A replica in the membership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Peer {
    /// The life of its disk.
    pub id: Id,
    /// The VM it runs on.
    pub seed: Seed,
    /// Whether it votes; a learner only receives the log.
    pub voter: bool,
}

/// The replicas, with the names of the VMs that may join.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Membership {
    /// Whether any VM may join; `names` is empty then.
    pub open: bool,
    /// The VMs that may hold a replica.
    pub names: BTreeSet<String>,
    /// The replicas.
    pub peers: Vec<Peer>,
}

/// An operator's change of the VMs that may hold a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change<'a> {
    /// The VM may join.
    Add(&'a str),
    /// The VM's replica leaves.
    Remove(&'a str),
}

/// The control VMs that the settings name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Roster {
    /// All of them; others join only when an operator adds them.
    Listed { seeds: Vec<Seed> },
    /// A few of them, by address; whoever asks one may join.
    Open {
        contacts: Vec<SocketAddr>,
        /// Whether this process may found the fleet.
        bootstrap: bool,
    },
}

impl Default for Roster {
    fn default() -> Self {
        Self::Listed { seeds: Vec::new() }
    }
}

impl Membership {
    /// Whether a VM of this name may hold a replica.
    #[must_use]
    pub fn admits(&self, name: &str) -> bool {
        self.open || self.names.contains(name)
    }

    /// The replicas that vote.
    pub fn voters(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter().filter(|peer| peer.voter)
    }

    /// How many voters are a majority.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The replica with this id.
    #[must_use]
    pub fn peer(&self, id: Id) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.id == id)
    }

    /// Whether the replica with this id votes.
    #[must_use]
    pub fn is_voter(&self, id: Id) -> bool {
        self.peer(id).is_some_and(|peer| peer.voter)
    }
}

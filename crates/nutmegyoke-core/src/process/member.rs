//! A process of the fleet as the directory shows it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::{DataCentre, Endpoint, Vm};

/// What a process tells of itself in each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Member {
    /// The VM and the run of the process.
    pub vm: Vm,
    /// What the process does.
    pub role: Role,
    /// Where it is.
    pub data_centre: DataCentre,
    /// Where other processes reach it.
    pub address: SocketAddr,
    /// The endpoints behind it; empty but for agents.
    pub endpoints: Vec<Endpoint>,
    /// The number of the configuration in force in it.
    pub configuration: u64,
}

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Takes callers' requests and routes them.
    Entry,
    /// Runs beside the endpoints of a VM and has authority over them.
    Agent,
    /// Holds a replica of the state that survives.
    Control,
    /// Passes clients' requests through to services.
    Gateway,
    /// Runs beside one engine and is the only one that orders it.
    Steward,
}

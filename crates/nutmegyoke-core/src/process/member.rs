//! A process of the fleet as listed in the directory.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::{DataCentre, Endpoint, Vm};

/// The state that a process reports in each heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Member {
    /// The VM and the run of the process.
    pub vm: Vm,
    /// The role of the process.
    pub role: Role,
    /// The data centre of its VM.
    pub data_centre: DataCentre,
    /// The address that other processes connect to.
    pub address: SocketAddr,
    /// The endpoints that an agent manages; empty for other roles.
    pub endpoints: Vec<Endpoint>,
    /// The number of the configuration that the process uses.
    pub configuration: u64,
}

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Accepts callers' requests and routes them.
    Entry,
    /// Manages the endpoints on its VM.
    Agent,
    /// Holds a replica of the durable state.
    Control,
    /// Passes clients' requests through to services.
    Gateway,
    /// Manages one engine and is the only process that sends orders to it.
    Steward,
}

//! The settings of a gateway.
//!
//! ```ini
//! [gateway]
//! clients = 10.1.0.38:8149
//! health = 10.1.0.38:8141
//! registrar = 10.1.0.38:8144
//! contacts = 10.1.0.38:8144, 10.2.0.40:8144
//! steward-port = 7380
//! voter = true
//! found = true
//! data = /data/gateway
//! heartbeat-ms = 1200
//! ```

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use nutmegyoke_core::process::allotment::Tolerance;
use nutmegyoke_core::process::gateway::{Bound, Options};

use super::{ADDRESS_FORMAT, BOOLEAN_FORMAT, read_addresses, read_election_timeout};
use crate::process::ini::{Fault, Section};

/// The settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Gateway {
    /// The address for clients.
    pub clients: SocketAddr,
    /// The address of the health check, which states whether the gateway accepts clients.
    pub health: SocketAddr,
    /// The address at which endpoints announce themselves and operators publish routing
    /// documents.
    pub registrar: SocketAddr,
    /// The address for gossip between gateways; its port is the same on every gateway. The
    /// default is the port after that of `listen`.
    pub exchange: SocketAddr,
    /// Gateways to contact in order to join the fleet. Only the IP addresses are used, since
    /// `listen` has the same port on every gateway.
    pub contacts: Vec<IpAddr>,
    /// The port at which the stewards listen.
    pub steward_port: u16,
    /// Whether its replica votes; the others only receive the log.
    pub voter: bool,
    /// Whether it may bootstrap a new fleet if none exists.
    pub bootstrap: bool,
    /// The data folder; `None` keeps the replica in memory only.
    pub data: Option<PathBuf>,
    /// How long a replica waits for a message of the leader before it starts an election.
    pub election_timeout: Duration,
    /// How many voters may be lost at the same time; `None` if unknown.
    pub tolerated_losses: Option<usize>,
    /// The period of the endpoints' heartbeats.
    pub heartbeat_period: Duration,
    /// The bound on the retries of all requests together.
    pub retry_bound: Bound,
    /// The parts that the deployment turns on.
    pub options: Options,
}

impl Gateway {
    /// Reads the section `[gateway]`; `listen` is from the section `[process]`.
    ///
    /// # Errors
    ///
    /// The first fault in the section.
    pub fn read(section: Section<'_>, listen: SocketAddr) -> Result<Self, Fault> {
        let contacts = read_addresses(&section, "contacts")?;
        let data: Option<String> = section.optional("data", "the path of a folder")?;
        let heartbeat: u64 = section.required("heartbeat-ms", "milliseconds")?;
        if heartbeat == 0 {
            let problem = "is 0: write the period of endpoints' heartbeats".to_owned();
            return Err(section.fault("heartbeat-ms", problem));
        }
        let gateway = Self {
            clients: section.required("clients", ADDRESS_FORMAT)?,
            health: section.required("health", ADDRESS_FORMAT)?,
            registrar: section.required("registrar", ADDRESS_FORMAT)?,
            exchange: section
                .optional("exchange", ADDRESS_FORMAT)?
                .unwrap_or(next_port(listen)),
            contacts: contacts.iter().map(SocketAddr::ip).collect(),
            steward_port: section.required("steward-port", "a port")?,
            voter: section.optional("voter", BOOLEAN_FORMAT)?.unwrap_or(false),
            bootstrap: section.optional("found", BOOLEAN_FORMAT)?.unwrap_or(false),
            data: data.filter(|path| !path.is_empty()).map(PathBuf::from),
            election_timeout: read_election_timeout(&section)?,
            tolerated_losses: read_tolerated_losses(&section)?,
            heartbeat_period: Duration::from_millis(heartbeat),
            retry_bound: read_retry_bound(&section)?,
            options: Options {
                tolerance: read_tolerance(&section)?,
                admission: section
                    .optional("admission", BOOLEAN_FORMAT)?
                    .unwrap_or(false),
                balance: section
                    .optional("balance", BOOLEAN_FORMAT)?
                    .unwrap_or(false),
                document_lease: read_document_lease(&section)?,
            },
        };
        section.finish()?;
        Ok(gateway)
    }
}

/// Reads the time within which a routing document has to be in force everywhere.
fn read_document_lease(section: &Section<'_>) -> Result<Option<Duration>, Fault> {
    let lease = section.optional("document-lease-ms", "a number of milliseconds")?;
    if lease == Some(0) {
        let problem = "is 0: write the time in which a document has to be in force".to_owned();
        return Err(section.fault("document-lease-ms", problem));
    }
    Ok(lease.map(Duration::from_millis))
}

/// The same IP address with the next port.
fn next_port(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip(), address.port().wrapping_add(1))
}

/// Reads how many voters may be lost at the same time. That is unknown where whole data centres
/// or regions may be lost, since the settings don't say how many voters these have.
fn read_tolerated_losses(section: &Section<'_>) -> Result<Option<usize>, Fault> {
    let read = |key| section.optional::<usize>(key, "a number of losses at the same time");
    let losses = read("tolerated-losses")?;
    let groups = [
        read("tolerated-data-centre-losses")?,
        read("tolerated-region-losses")?,
    ];
    Ok(losses.filter(|_| groups.into_iter().flatten().all(|count| count == 0)))
}

fn read_retry_bound(section: &Section<'_>) -> Result<Bound, Fault> {
    let default = Bound::default();
    Ok(Bound {
        ratio: read_amount(
            section,
            "repeat-ratio",
            "retries per request, such as 0.1",
            default.ratio,
        )?,
        slack: read_amount(
            section,
            "repeat-slack",
            "a number of requests",
            default.slack,
        )?,
        window: section
            .optional("repeat-window-s", "a number of seconds")?
            .map_or(default.window, Duration::from_secs),
    })
}

fn read_tolerance(section: &Section<'_>) -> Result<Tolerance, Fault> {
    let default = Tolerance::default();
    Ok(Tolerance {
        window: section
            .optional("allotment-window-s", "a number of seconds")?
            .map_or(default.window, Duration::from_secs),
        overage: read_amount(
            section,
            "allotment-overage",
            "a part of the allotment, such as 0.1",
            default.overage,
        )?,
        slack: read_amount(
            section,
            "allotment-slack",
            "a number of units",
            default.slack,
        )?,
    })
}

/// Reads a number that must not be negative.
fn read_amount(
    section: &Section<'_>,
    key: &'static str,
    expected: &str,
    default: f64,
) -> Result<f64, Fault> {
    let value = section.optional(key, expected)?.unwrap_or(default);
    if value >= 0.0 {
        Ok(value)
    } else {
        Err(section.fault(key, "is negative: write 0 or more".to_owned()))
    }
}

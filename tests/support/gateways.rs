//! A fleet of gateway processes on this machine, each with an address of its own.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::Command;

use tempfile::TempDir;

use super::Daemon;

/// The ports of every gateway.
const LISTEN_PORT: u16 = 28_000;
const EXCHANGE_PORT: u16 = 28_001;
const OPERATORS_PORT: u16 = 28_002;
const CLIENTS_PORT: u16 = 28_003;
const HEALTH_PORT: u16 = 28_004;
const REGISTRAR_PORT: u16 = 28_005;

/// The number of gateways that vote.
const VOTERS: usize = 3;

/// A fleet of gateways, whose processes may be stopped.
pub struct Gateways {
    folder: TempDir,
    daemons: Vec<Option<Daemon>>,
}

impl Gateways {
    /// Spawns `count` gateways.
    pub fn spawn(count: usize) -> Self {
        let mut gateways = Self {
            folder: TempDir::new().unwrap(),
            daemons: Vec::new(),
        };
        for number in 0..count {
            gateways.daemons.push(None);
            gateways.start(number, true);
        }
        gateways
    }

    /// Starts the process of a gateway. Only at its first start it may found the fleet.
    pub fn start(&mut self, number: usize, first: bool) {
        let ip = ip(number);
        let contacts: Vec<String> = (0..VOTERS)
            .map(|voter| registrar(voter).to_string())
            .collect();
        let folder = self.folder.path();
        let data = folder.join(format!("data-{number}"));
        let voter = number < VOTERS;
        let text = format!(
            "[process]\nrole = gateway\nname = front-{number}\ndata-centre = alp-a\n\
             listen = {ip}:{LISTEN_PORT}\noperators = {ip}:{OPERATORS_PORT}\n[gateway]\n\
             clients = {ip}:{CLIENTS_PORT}\nhealth = {ip}:{HEALTH_PORT}\n\
             registrar = {ip}:{REGISTRAR_PORT}\nexchange = {ip}:{EXCHANGE_PORT}\n\
             contacts = {contacts}\nsteward-port = 1\nvoter = {voter}\nfound = {first}\n\
             data = {data}\nheartbeat-ms = 400\nelection-timeout-ms = 400\n",
            contacts = contacts.join(", "),
            data = data.display(),
        );
        let path = folder.join(format!("front-{number}.ini"));
        std::fs::write(&path, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoked"));
        command.arg("--settings").arg(&path);
        self.daemons[number] = Some(Daemon::spawn(command, "\"gateway\""));
    }

    /// Sends a signal, given without `SIG`, to the process of a gateway, if it runs.
    pub fn signal(&self, number: usize, name: &str) {
        if let Some(daemon) = &self.daemons[number] {
            daemon.signal(name);
        }
    }

    /// Takes the process of a gateway, to kill it or to wait for its end.
    pub fn take(&mut self, number: usize) -> Option<Daemon> {
        self.daemons[number].take()
    }

    /// The lines that the running processes have printed.
    pub fn log(&self) -> Vec<String> {
        self.daemons
            .iter()
            .flatten()
            .flat_map(Daemon::log)
            .collect()
    }
}

/// The address of a gateway for clients.
pub fn clients(number: usize) -> SocketAddr {
    SocketAddr::from((ip(number), CLIENTS_PORT))
}

/// The address of a gateway for heartbeats and documents.
pub fn registrar(number: usize) -> SocketAddr {
    SocketAddr::from((ip(number), REGISTRAR_PORT))
}

/// The address of a gateway for its health check.
pub fn health(number: usize) -> SocketAddr {
    SocketAddr::from((ip(number), HEALTH_PORT))
}

/// The loopback address of a gateway, which no other test process uses.
fn ip(number: usize) -> Ipv4Addr {
    let [.., middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 128 + u8::try_from(number).unwrap(), middle, low)
}

//! A gateway process that is its own fleet, between a plain client and scripted
//! endpoints.

#![allow(dead_code, reason = "each test file uses its own part")]

use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tempfile::TempDir;

use super::upstream::{Act, Answer, Upstream, exchange};
use super::{Daemon, free_address};

/// How long a published document or a heartbeat may take to count.
const SETTLE: Duration = Duration::from_secs(10);

pub const OK: &str = "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\n\
                  X-Nutmegyoke-Server-Stamp: s1\r\nContent-Length: 6\r\n\r\nbooked";

pub const FULL: &str = "HTTP/1.1 503 Service Unavailable\r\nX-Nutmegyoke-Request-Id: {id}\r\n\
                    X-Nutmegyoke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

pub const FAILED: &str = "HTTP/1.1 500 Internal Server Error\r\nX-Nutmegyoke-Request-Id: {id}\r\n\
                      X-Nutmegyoke-Server-Stamp: s1\r\nContent-Length: 4\r\n\r\noops";

/// A gateway that is its own fleet.
pub struct Fleet {
    pub folder: TempDir,
    pub daemon: Daemon,
    pub clients: SocketAddr,
    pub health: SocketAddr,
    pub registrar: SocketAddr,
}

impl Fleet {
    pub fn spawn() -> Self {
        let folder = TempDir::new().unwrap();
        let [listen, exchange, operators, clients, health, registrar] =
            [(); 6].map(|()| free_address());
        let data = folder.path().join("data").display().to_string();
        let text = format!(
            "[process]\nrole = gateway\nname = front-1\ndata-centre = alp-a\nlisten = {listen}\n\
             operators = {operators}\n[gateway]\nclients = {clients}\nhealth = {health}\n\
             registrar = {registrar}\nexchange = {exchange}\ncontacts = {registrar}\n\
             steward-port = 1\nvoter = true\nfound = true\ndata = {data}\nheartbeat-ms = 1200\n\
             election-timeout-ms = 200\n"
        );
        let path = folder.path().join("front.ini");
        std::fs::write(&path, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoked"));
        command.arg("--settings").arg(&path);
        let daemon = Daemon::spawn(command, "\"gateway\"");
        Self {
            folder,
            daemon,
            clients,
            health,
            registrar,
        }
    }

    /// A fleet with its routes, and one endpoint for each of `acts`.
    pub fn serving(acts: &[Act]) -> (Self, Vec<Upstream>) {
        let fleet = Self::spawn();
        fleet.publish(&config(1));
        let spawn = |act: &Act| Upstream::spawn(free_address(), act.clone());
        let upstreams: Vec<Upstream> = acts.iter().map(spawn).collect();
        for (number, upstream) in (1..).zip(&upstreams) {
            assert_eq!(fleet.announce(number, upstream.address, 1).status, 200);
        }
        let answered = |answer: &Answer| answer.status == 200;
        wait_for(|| call(fleet.health, "GET", "/ready", b""), answered);
        (fleet, upstreams)
    }

    /// Publishes a document until it is acknowledged.
    pub fn publish(&self, config: &Value) {
        let body = config.to_string();
        let put = || call(self.registrar, "PUT", "/config", body.as_bytes());
        wait_for(put, |answer| answer.status == 200);
    }

    pub fn announce(&self, number: u64, address: SocketAddr, seq: u64) -> Answer {
        let body = json!({
            "backend": "desk", "address": address.to_string(), "zone": "alp-a", "slots": 6,
            "state": "ready", "seq": seq, "cold-left-ms": 0, "born": 1,
        });
        let path = format!("/instances/i-{number}");
        call(self.registrar, "PUT", &path, body.to_string().as_bytes())
    }

    pub fn request(&self, path: &str, id: &str) -> Answer {
        exchange(self.clients, &request(path, id))
    }
}

pub fn wait_for(play: impl Fn() -> Answer, done: impl Fn(&Answer) -> bool) -> Answer {
    let start = Instant::now();
    loop {
        let answer = play();
        if done(&answer) {
            return answer;
        }
        assert!(start.elapsed() < SETTLE, "{answer:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

pub fn call(address: SocketAddr, method: &str, path: &str, body: &[u8]) -> Answer {
    let length = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n");
    exchange(address, &[head.as_bytes(), body].concat())
}

pub fn request(path: &str, id: &str) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: desk.example\r\nX-Nutmegyoke-Request-Id: {id}\r\n\
         X-Nutmegyoke-Deadline-Ms: 4000\r\nX-Custom: kept\r\nContent-Length: 5\r\n\r\nlot-7"
    );
    head.into_bytes()
}

pub fn config(version: u64) -> Value {
    let route = |prefix: &str, kind: &str, attempts: u64| {
        json!({
            "name": prefix, "hostname": "desk.example", "path-prefix": prefix,
            "route-type": kind, "timeout-ms": 1500, "target-latency-ms": 300,
            "backend": "desk", "max-attempts": attempts,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("/book/", "non_idempotent", 1),
            route("/look/", "idempotent", 2),
            route("/chat/", "stream", 1),
        ],
        "services": [{"name": "desk", "health-path": "/health", "max-conns": 100}],
        "kept-as-it-is": [1, 2],
    })
}

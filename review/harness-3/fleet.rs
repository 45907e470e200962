//! The gateways of a small deployment: processes of `nutmegyoked` on loopback addresses, with
//! settings rendered from the template of the deploy file.

use std::collections::HashMap;
use std::fs;
use std::io::{self, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use super::http;

/// The bounds of the small deployment in `sites/kayal-husk.toml`, as SYSTEM.md states them.
const BOUNDS: &[(&str, &str)] = &[
    ("bounds.grace-s", "8"),
    ("bounds.config-apply-ms", "2000"),
    ("bounds.retry-budget-ratio", "0.2"),
    ("bounds.retry-slack", "60"),
    ("bounds.budget-window-s", "10"),
    ("bounds.require-fencing", "true"),
    ("tolerate.machines", "1"),
    ("tolerate.zones", "0"),
    ("tolerate.regions", "0"),
    ("heartbeat-ms", "1200"),
    ("limits.memory-mb", "260"),
    ("limits.max-fds", "4100"),
];

/// The processes that were started. They end with [`end_all`].
static PROCESSES: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// The gateways of a fleet, of which the first three have a disk and vote, and its stewards.
pub struct Fleet {
    /// The addresses of the gateways.
    gateways: Vec<Ipv4Addr>,
    folder: PathBuf,
    port: u16,
}

const VOTERS: usize = 3;

/// The port of a server, counted from the first port.
const SERVER_PORT: u16 = 8;

/// Starts a process of the deploy file with these settings.
/// Its id is added to the file `processes` beside the settings.
fn spawn(settings: &Path) -> io::Result<()> {
    let log = fs::File::create(settings.with_extension("log"))?;
    let child = Command::new("target/release/nutmegyoked")
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    let ids = settings.with_file_name("processes");
    let mut ids = fs::File::options().create(true).append(true).open(ids)?;
    writeln!(ids, "{}", child.id())?;
    PROCESSES.lock().unwrap().push(child);
    Ok(())
}

/// Ends all processes that were started.
pub fn end_all() {
    for process in PROCESSES.lock().unwrap().iter_mut() {
        let _ = process.kill();
        let _ = process.wait();
    }
}

impl Fleet {
    /// Starts `count` gateways on free loopback addresses.
    pub fn start(folder: &Path, count: usize) -> io::Result<Self> {
        let (port, net) = free_net(count)?;
        let mut fleet = Self {
            gateways: Vec::new(),
            folder: folder.to_owned(),
            port,
        };
        for host in 1..=count {
            let host = u8::try_from(host).map_err(io::Error::other)?;
            fleet.gateways.push(Ipv4Addr::new(127, net.0, net.1, host));
        }
        for number in 0..count {
            spawn(&fleet.write_settings(number)?)?;
        }
        Ok(fleet)
    }

    pub fn front(&self, number: usize) -> SocketAddr {
        self.address(number, 12)
    }

    pub fn ready(&self, number: usize) -> SocketAddr {
        self.address(number, 13)
    }

    pub fn control(&self, number: usize) -> SocketAddr {
        self.address(number, 14)
    }

    fn address(&self, number: usize, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.gateways[number]), self.port + port)
    }

    /// An address of the fleet's network for a server; the number is from 100 on.
    pub fn server(&self, number: u8) -> SocketAddr {
        let [one, two, three, _] = self.gateways[0].octets();
        SocketAddr::new(
            Ipv4Addr::new(one, two, three, number).into(),
            self.port + SERVER_PORT,
        )
    }

    /// Starts the steward beside a model engine.
    pub fn start_steward(&self, number: u8) -> io::Result<()> {
        let engine = self.server(number);
        let mut values: HashMap<&str, String> = HashMap::new();
        for (name, value) in BOUNDS {
            values.insert(name, (*value).to_owned());
        }
        values.insert("node-name", format!("side-{number}"));
        values.insert("zone", "alp-a".to_owned());
        values.insert("ip", engine.ip().to_string());
        values.insert("port-range.0", self.port.to_string());
        values.insert("port-range.1", (self.port + 15).to_string());
        values.insert("app", engine.to_string());
        let settings = self.folder.join(format!("steward-{number}.ini"));
        let template = fs::read_to_string("deploy/steward.ini")?;
        fs::write(&settings, render(&template, &values))?;
        spawn(&settings)
    }

    /// Writes the settings of a gateway and returns their path.
    fn write_settings(&self, number: usize) -> io::Result<PathBuf> {
        let voter = number < VOTERS;
        let seeds: Vec<String> = (0..VOTERS.min(self.gateways.len()))
            .map(|seed| self.control(seed).to_string())
            .collect();
        let mut values: HashMap<&str, String> = HashMap::new();
        for (name, value) in BOUNDS {
            values.insert(name, (*value).to_owned());
        }
        let data = self.folder.join(format!("data-{number}"));
        values.insert("node-name", format!("front-{number}"));
        values.insert("zone", "alp-a".to_owned());
        values.insert("ip", self.gateways[number].to_string());
        values.insert("port-range.0", self.port.to_string());
        values.insert("port-range.1", (self.port + 15).to_string());
        values.insert("listen.front", self.front(number).to_string());
        values.insert("listen.ready", self.ready(number).to_string());
        values.insert("listen.control", self.control(number).to_string());
        values.insert("seeds", seeds.join(","));
        values.insert("loss-counts", voter.to_string());
        values.insert("bootstrap", "true".to_owned());
        let data = if voter {
            data.display().to_string()
        } else {
            String::new()
        };
        values.insert("data-dir", data);
        let template = fs::read_to_string("deploy/gateway.ini")?;
        let settings = self.folder.join(format!("gateway-{number}.ini"));
        fs::write(&settings, render(&template, &values))?;
        Ok(settings)
    }

    /// Sends a config until a gateway acknowledges it, as the operator does.
    pub fn publish(&self, config: &str, patience: Duration) -> Option<Instant> {
        let until = Instant::now() + patience;
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let mut number = 0;
        while Instant::now() < until {
            let address = self.control(number % self.gateways.len());
            let answer = http::call(
                address,
                "PUT /config",
                &headers,
                config.as_bytes(),
                Duration::from_secs(1),
            );
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return Some(Instant::now());
            }
            number += 1;
            thread::sleep(Duration::from_millis(100));
        }
        None
    }

    /// Waits until all gateways say that they are ready.
    pub fn wait_ready(&self, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        (0..self.gateways.len()).all(|number| {
            loop {
                let answer = http::call(
                    self.ready(number),
                    "GET /ready",
                    &[("Host", "ready")],
                    b"",
                    Duration::from_secs(1),
                );
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    return true;
                }
                if Instant::now() > until {
                    return false;
                }
                thread::sleep(Duration::from_millis(50));
            }
        })
    }
}

/// Finds a loopback network and a first port of which all addresses are free.
fn free_net(count: usize) -> io::Result<(u16, (u8, u8))> {
    let seed = std::process::id();
    for attempt in 0..50_u32 {
        let mixed = seed
            .wrapping_mul(2_654_435_761)
            .wrapping_add(attempt * 7_919);
        let net = (
            u8::try_from(20 + mixed % 200).unwrap(),
            u8::try_from((mixed >> 8) % 250).unwrap(),
        );
        let port = u16::try_from(21_000 + (mixed >> 16) % 10_000).unwrap();
        let free = (1..=count).all(|host| {
            let ip = Ipv4Addr::new(127, net.0, net.1, u8::try_from(host).unwrap());
            (0..16).all(|offset| TcpListener::bind((ip, port + offset)).is_ok())
        });
        if free {
            return Ok((port, net));
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Renders a template of the deploy file: values, and sections of values that are present.
fn render(template: &str, values: &HashMap<&str, String>) -> String {
    let mut text = template.to_owned();
    while let Some(begin) = text.find("{{#") {
        let end = begin + text[begin..].find("}}").expect("a section's name ends");
        let name = text[begin + 3..end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let finish = text.find(&close).expect("a section ends");
        let body = text[end + 2..finish].to_owned();
        let body = match values.get(name.as_str()) {
            Some(value) => body.replace("{{.}}", value),
            None => String::new(),
        };
        text.replace_range(begin..finish + close.len(), &body);
    }
    while let Some(begin) = text.find("{{") {
        let end = begin + text[begin..].find("}}").expect("a placeholder ends");
        let value = values
            .get(&text[begin + 2..end])
            .cloned()
            .unwrap_or_default();
        text.replace_range(begin..end + 2, &value);
    }
    text
}

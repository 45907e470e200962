//! The project's own processes: gateways and stewards, started with the command and the templates
//! of the deploy file, each on a loopback address of its own.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::http;

/// The fleets that this process has opened.
static FLEETS: AtomicU16 = AtomicU16::new(0);

/// The ports of a machine, counted from the first one.
const LISTEN: u16 = 0;
const OPERATORS: u16 = 2;
const CLIENTS: u16 = 3;
const READY: u16 = 4;
const CONTROL: u16 = 5;
const APP: u16 = 6;

/// The machines of a run, in a temporary folder.
pub struct Fleet {
    pub folder: PathBuf,
    first_port: u16,
    gateways: usize,
    processes: BTreeMap<String, Child>,
    starts: usize,
}

impl Fleet {
    /// Opens a fleet of `gateways` machines with a disk.
    pub fn open(gateways: usize) -> Self {
        let opened = FLEETS.fetch_add(1, Ordering::Relaxed);
        let folder = format!("review-2-{}-{opened}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        fs::create_dir_all(&folder).expect("cannot create the temporary folder");
        let mut fleet = Self {
            folder,
            first_port: 0,
            gateways,
            processes: BTreeMap::new(),
            starts: 0,
        };
        // The processes of the fleets before may not have bound their ports yet.
        let seed = u16::try_from(std::process::id() % 100).unwrap_or(0) + opened;
        let mut ports = (0..100).map(|step| 12_000 + (seed * 100 + step * 10) % 16_000);
        let free = |&first: &u16| {
            (0..7).all(|port| {
                let ips = (0..gateways).map(gateway_ip).chain([side_ip(0), side_ip(1)]);
                let mut ips = ips.map(|ip| SocketAddr::from((ip, first + port)));
                ips.all(|address| TcpListener::bind(address).is_ok())
            })
        };
        fleet.first_port = ports.find(free).expect("no free ports");
        fleet
    }

    fn of(&self, ip: Ipv4Addr, port: u16) -> SocketAddr {
        SocketAddr::from((ip, self.first_port + port))
    }

    /// Where clients reach a gateway.
    pub fn clients(&self, number: usize) -> SocketAddr {
        self.of(gateway_ip(number), CLIENTS)
    }

    /// Where engines and the operator reach a gateway.
    pub fn control(&self, number: usize) -> SocketAddr {
        self.of(gateway_ip(number), CONTROL)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.gateways).map(|number| self.control(number)).collect()
    }

    /// The readiness of a gateway.
    pub fn ready(&self, number: usize) -> SocketAddr {
        self.of(gateway_ip(number), READY)
    }

    /// Where an engine listens beside its steward.
    pub fn app(&self, number: usize) -> SocketAddr {
        self.of(side_ip(number), APP)
    }

    /// Starts the gateway of a machine; at its first start it may found the system.
    pub fn start_gateway(&mut self, number: usize, bootstrap: bool) {
        let ip = gateway_ip(number);
        let name = format!("front-{number}");
        let data = self.folder.join(format!("data-{number}"));
        fs::create_dir_all(&data).expect("cannot create a data folder");
        let seeds: Vec<String> = (0..self.gateways.min(3))
            .map(|seed| self.control(seed).to_string())
            .collect();
        let values = [
            ("node-name", name.clone()),
            ("zone", ["alp-a", "klm-b", "tvm-c"][number % 3].to_owned()),
            ("ip", ip.to_string()),
            ("port-range.0", (self.first_port + LISTEN).to_string()),
            ("port-range.1", (self.first_port + OPERATORS).to_string()),
            ("limits.memory-mb", "260".to_owned()),
            ("limits.max-fds", "4100".to_owned()),
            ("bounds.grace-s", "8".to_owned()),
            ("listen.front", self.clients(number).to_string()),
            ("listen.ready", self.ready(number).to_string()),
            ("listen.control", self.control(number).to_string()),
            ("seeds", seeds.join(",")),
            ("loss-counts", "true".to_owned()),
            ("bootstrap", bootstrap.to_string()),
            ("data-dir", data.display().to_string()),
            ("heartbeat-ms", "1200".to_owned()),
            ("bounds.retry-budget-ratio", "0.2".to_owned()),
            ("bounds.retry-slack", "60".to_owned()),
            ("bounds.budget-window-s", "10".to_owned()),
        ];
        let values = values.into_iter().map(|(key, value)| (key.to_owned(), value));
        self.start(&name, "deploy/gateway.ini", values.collect());
    }

    /// Starts the steward beside an engine.
    pub fn start_steward(&mut self, number: usize) {
        let name = format!("side-{number}");
        let values = [
            ("node-name", name.clone()),
            ("zone", ["alp-a", "klm-b", "tvm-c"][number % 3].to_owned()),
            ("ip", side_ip(number).to_string()),
            ("port-range.0", (self.first_port + LISTEN).to_string()),
            ("port-range.1", (self.first_port + OPERATORS).to_string()),
            ("limits.memory-mb", "192".to_owned()),
            ("limits.max-fds", "4096".to_owned()),
            ("app", self.app(number).to_string()),
        ];
        let values = values.into_iter().map(|(key, value)| (key.to_owned(), value));
        self.start(&name, "deploy/steward.ini", values.collect());
    }

    fn start(&mut self, name: &str, template: &str, values: BTreeMap<String, String>) {
        let template = fs::read_to_string(template).expect("run this in the repository");
        let path = self.folder.join(format!("{name}.ini"));
        fs::write(&path, render(&template, &values)).expect("cannot write the settings");
        self.starts += 1;
        let log = self.folder.join(format!("{name}.{}.log", self.starts));
        let log = File::create(log).expect("cannot write a log");
        let errors = log.try_clone().expect("cannot write a log");
        let process = Command::new("target/release/nutmegyoked")
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("cannot start nutmegyoked; run the build of the deploy file");
        self.processes.insert(name.to_owned(), process);
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut process) = self.processes.remove(name) {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// The processes that ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let processes = self.processes.iter_mut();
        let ended = processes.filter_map(|(name, process)| {
            let status = process.try_wait().ok().flatten()?;
            Some(format!("{name}: {status}"))
        });
        ended.collect()
    }

    /// Sends a document to any gateway until one acknowledges it, as the operator does. Returns the
    /// number of that gateway.
    pub fn publish(&self, document: &str, patience: Duration) -> Option<usize> {
        let until = Instant::now() + patience;
        for number in (0..self.gateways).cycle() {
            if Instant::now() > until {
                return None;
            }
            if self.publish_to(number, document, Duration::from_secs(1)) {
                return Some(number);
            }
            sleep(Duration::from_millis(100));
        }
        None
    }

    /// Reads the config at a gateway: the version, or the status of the answer.
    pub fn read(&self, number: usize) -> Result<u64, String> {
        let answer = http::call(
            self.control(number),
            "GET /config HTTP/1.1",
            &[("Host", "control")],
            b"",
            Duration::from_secs(2),
        );
        let answer = answer.map_err(|error| error.to_string())?;
        let text = answer.text();
        let version = text.split("\"version\":").nth(1);
        let version = version.and_then(|rest| rest.split([',', '}']).next()?.trim().parse().ok());
        match (answer.status(), version) {
            (200, Some(version)) => Ok(version),
            (status, _) => Err(status.to_string()),
        }
    }

    /// Reads the config at all gateways, again and again for `time` or until all return `wanted`.
    /// Returns whether one did, and the answers of the last round.
    pub fn read_back(&self, wanted: u64, time: Duration) -> (bool, String) {
        let until = Instant::now() + time;
        let mut found = false;
        loop {
            let answers: Vec<_> = (0..self.gateways).map(|number| self.read(number)).collect();
            found |= answers.contains(&Ok(wanted));
            if Instant::now() > until || answers.iter().all(|answer| *answer == Ok(wanted)) {
                return (found, format!("{answers:?}"));
            }
            sleep(Duration::from_millis(500));
        }
    }

    /// Kills the process of a gateway and empties its disk.
    pub fn lose_disk(&mut self, number: usize) {
        self.kill(&format!("front-{number}"));
        let data = self.folder.join(format!("data-{number}"));
        fs::remove_dir_all(&data).expect("cannot empty a data folder");
        fs::create_dir_all(&data).expect("cannot create a data folder");
    }

    /// The last line of a gateway's latest log with this text.
    pub fn logged(&self, number: usize, text: &str) -> Option<String> {
        let prefix = format!("front-{number}.");
        let files = fs::read_dir(&self.folder).ok()?;
        let files = files.filter_map(|file| Some(file.ok()?.path()));
        let logs = files.filter(|path| {
            let name = path.file_name().and_then(|name| name.to_str()).unwrap_or("");
            name.starts_with(&prefix) && name.ends_with(".log")
        });
        let number = |path: &PathBuf| -> Option<usize> {
            path.file_name()?.to_str()?.split('.').nth(1)?.parse().ok()
        };
        let latest = logs.max_by_key(number)?;
        let log = fs::read_to_string(latest).ok()?;
        log.lines().rev().find(|line| line.contains(text)).map(str::to_owned)
    }

    /// Whether the control port of a gateway accepts connections.
    pub fn listens(&self, number: usize) -> bool {
        std::net::TcpStream::connect(self.control(number)).is_ok()
    }

    /// Sends a document once to one gateway, and returns whether it acknowledges it.
    pub fn publish_to(&self, number: usize, document: &str, timeout: Duration) -> bool {
        let answer = http::call(
            self.control(number),
            "PUT /config HTTP/1.1",
            &[("Host", "control"), ("Content-Type", "application/json")],
            document.as_bytes(),
            timeout,
        );
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until all gateways say that they are ready.
    pub fn wait_ready(&self, patience: Duration) -> bool {
        let until = Instant::now() + patience;
        let is_ready = |number| {
            let start = "GET /ready HTTP/1.1";
            let headers = [("Host", "ready")];
            let answer = http::call(self.ready(number), start, &headers, b"", Duration::from_secs(1));
            answer.is_ok_and(|answer| answer.status() == 200)
        };
        while Instant::now() < until {
            if (0..self.gateways).all(is_ready) {
                return true;
            }
            sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            let _ = process.kill();
            let _ = process.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// The loopback address of a gateway, which no other run uses.
fn gateway_ip(number: usize) -> Ipv4Addr {
    let [.., middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 60 + u8::try_from(number).unwrap_or(0), middle, low)
}

/// The loopback address of a machine with an engine.
fn side_ip(number: usize) -> Ipv4Addr {
    let [.., middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 160 + u8::try_from(number).unwrap_or(0), middle, low)
}

/// Fills in a template of the deploy file: values, and sections that stand for one value.
fn render(template: &str, values: &BTreeMap<String, String>) -> String {
    let mut lines = Vec::new();
    let mut section: Option<(String, Option<String>)> = None;
    for line in template.lines() {
        if let Some(name) = line.strip_prefix("{{#").and_then(|rest| rest.strip_suffix("}}")) {
            section = Some((name.to_owned(), values.get(name).cloned()));
            continue;
        }
        if line.starts_with("{{/") {
            section = None;
            continue;
        }
        let mut text = line.to_owned();
        match &section {
            Some((_, None)) => continue,
            Some((_, Some(value))) => text = text.replace("{{.}}", value),
            None => {}
        }
        for (key, value) in values {
            text = text.replace(&format!("{{{{{key}}}}}"), value);
        }
        while let Some(start) = text.find("{{") {
            let end = text[start..].find("}}").map_or(text.len(), |end| start + end + 2);
            text.replace_range(start..end, "");
        }
        lines.push(text);
    }
    lines.join("\n") + "\n"
}

/// Whether the repository is the working folder and was built.
pub fn is_built() -> bool {
    Path::new("target/release/nutmegyoked").exists()
}

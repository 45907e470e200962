//! Gateways as separate processes, started with the command of the deploy file and settings as
//! its template renders them.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::http::{self, Answer};
use crate::record::Record;

/// The program of the deploy file.
const PROGRAM: &str = "target/release/nutmegyoked";

/// Ports, the same on all machines of a run.
const LISTEN: u16 = 0;
const OPERATORS: u16 = 15;
const CLIENTS: u16 = 16;
const HEALTH: u16 = 17;
const CONTROL: u16 = 18;
const PORTS: u16 = 20;

/// The processes that were started and not reaped yet.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Ends the run with exit code 2, and all its processes, after `limit`.
pub fn spawn_watchdog(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        for pid in RUNNING.lock().unwrap().iter() {
            send_signal(*pid, "KILL");
        }
        eprintln!("the case did not end within {limit:?}");
        std::process::exit(2);
    });
}

/// Sends a signal, such as `TERM`, to a process that this run started.
fn send_signal(pid: u32, signal: &str) {
    let command = format!("kill -{signal} {pid}");
    let _ = Command::new("bash").arg("-c").arg(command).status();
}

/// The gateways of a run, by number.
pub struct Fleet {
    folder: PathBuf,
    first_port: u16,
    /// The second and third byte of the loopback addresses.
    network: (u8, u8),
    seeds: Vec<usize>,
    processes: Vec<Option<Child>>,
    /// How often each process was started, for the names of its log files.
    starts: Vec<u32>,
}

/// How a gateway is started.
#[derive(Clone, Copy)]
pub struct Start {
    /// `bootstrap` of the settings.
    pub bootstrap: bool,
    /// `loss-counts` of the settings.
    pub counts: bool,
}

impl Fleet {
    /// Prepares a folder and addresses that no other run uses.
    pub fn open(name: &str, seeds: &[usize]) -> Self {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{name}-{id}"));
        std::fs::create_dir_all(&folder).expect("no temporary folder");
        let [_, _, middle, low] = id.to_be_bytes();
        let network = (64 + middle % 64, low);
        let mut first_port = 21_000;
        while !(0..PORTS).all(|port| {
            let address = SocketAddr::from((Self::ip_in(network, 0), first_port + port));
            std::net::TcpListener::bind(address).is_ok()
        }) {
            first_port += PORTS;
        }
        Self {
            folder,
            first_port,
            network,
            seeds: seeds.to_vec(),
            processes: Vec::new(),
            starts: Vec::new(),
        }
    }

    fn ip_in((second, third): (u8, u8), number: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, second, third, 10 + u8::try_from(number).unwrap())
    }

    /// The address of a machine.
    pub fn ip(&self, number: usize) -> Ipv4Addr {
        Self::ip_in(self.network, number)
    }

    fn address(&self, number: usize, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(number), self.first_port + port))
    }

    pub fn clients(&self, number: usize) -> SocketAddr {
        self.address(number, CLIENTS)
    }

    pub fn health(&self, number: usize) -> SocketAddr {
        self.address(number, HEALTH)
    }

    pub fn control(&self, number: usize) -> SocketAddr {
        self.address(number, CONTROL)
    }

    pub fn steward_port(&self) -> u16 {
        self.first_port + LISTEN
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }

    fn data(&self, number: usize) -> PathBuf {
        self.folder.join(format!("data-{number}"))
    }

    /// Starts a gateway with its present data folder.
    pub fn start(&mut self, number: usize, start: Start) {
        while self.processes.len() <= number {
            self.processes.push(None);
            self.starts.push(0);
        }
        let [listen, operators, clients, health, control] =
            [LISTEN, OPERATORS, CLIENTS, HEALTH, CONTROL].map(|port| self.address(number, port));
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|&seed| self.control(seed).to_string())
            .collect();
        let data = if start.counts {
            self.data(number).display().to_string()
        } else {
            String::new()
        };
        let text = format!(
            "[process]\nrole = gateway\nname = front-{number}\ndata-centre = zone-{zone}\n\
             listen = {listen}\noperators = {operators}\ndrain-limit-s = 8\n\n[gateway]\n\
             clients = {clients}\nhealth = {health}\nregistrar = {control}\ncontacts = {seeds}\n\
             steward-port = {steward}\nvoter = {voter}\nfound = {found}\ndata = {data}\n\
             election-timeout-ms = 700\nheartbeat-ms = 1200\nrepeat-ratio = 0.2\n\
             repeat-slack = 60\nrepeat-window-s = 10\n",
            zone = number % 3,
            seeds = seeds.join(","),
            steward = self.steward_port(),
            voter = start.counts,
            found = start.bootstrap,
        );
        let settings = self.folder.join(format!("front-{number}.ini"));
        std::fs::write(&settings, text).expect("cannot write settings");
        self.starts[number] += 1;
        let log = self
            .folder
            .join(format!("front-{number}.{}.log", self.starts[number]));
        let log = std::fs::File::create(log).expect("cannot create a log");
        let errors = log.try_clone().expect("cannot create a log");
        let child = Command::new(PROGRAM)
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("cannot start the program; build it first");
        RUNNING.lock().unwrap().insert(child.id());
        self.processes[number] = Some(child);
    }

    /// The process id of a gateway that runs.
    pub fn pid(&self, number: usize) -> Option<u32> {
        self.processes.get(number)?.as_ref().map(Child::id)
    }

    /// Sends a signal, such as `TERM`, to a gateway.
    pub fn signal(&self, number: usize, signal: &str) {
        if let Some(pid) = self.pid(number) {
            send_signal(pid, signal);
        }
    }

    /// Kills a gateway with SIGKILL.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.processes[number].take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().remove(&child.id());
        }
    }

    /// Waits for the end of a gateway, `limit` at most; then kills it, as the platform does.
    pub fn wait_or_kill(&mut self, number: usize, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.has_ended(number) {
                if let Some(pid) = self.pid(number) {
                    RUNNING.lock().unwrap().remove(&pid);
                }
                self.processes[number] = None;
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        self.kill(number);
        false
    }

    /// Whether the process of a gateway has ended by itself.
    pub fn has_ended(&mut self, number: usize) -> bool {
        let process = self.processes.get_mut(number).and_then(Option::as_mut);
        process.is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Empties the disk of a machine.
    pub fn wipe(&self, number: usize) {
        let _ = std::fs::remove_dir_all(self.data(number));
    }

    /// Sends a config to the machines in turn, as the operator does, until one acknowledges it.
    pub fn publish(
        &self,
        record: &Record,
        machines: &[usize],
        config: &str,
        limit: Duration,
    ) -> Option<usize> {
        let end = Instant::now() + limit;
        loop {
            for &number in machines {
                let answer = http::call(self.control(number), "PUT", "/config", config);
                if answer.status == 200 {
                    record.line(&format!("operator: PUT /config at front-{number}: 200"));
                    return Some(number);
                }
            }
            if Instant::now() >= end {
                record.line("operator: PUT /config: no acknowledgement");
                return None;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Reads the config at a machine.
    pub fn read(&self, number: usize) -> Answer {
        http::call(self.control(number), "GET", "/config", "")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for number in 0..self.processes.len() {
            self.kill(number);
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

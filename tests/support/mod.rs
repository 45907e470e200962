//! Helpers shared by the tests of real processes.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod fleet;
pub mod front;
pub mod pair;
pub mod replicas;
pub mod upstream;

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::Duration;

/// How long a process may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A running daemon, killed when dropped.
pub struct Daemon {
    child: Child,
    ready: String,
    log: Arc<Mutex<Vec<String>>>,
}

/// A running demo of the whole fleet.
pub struct Demo {
    /// The process.
    pub daemon: Daemon,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where operators reach it.
    pub operators: SocketAddr,
}

/// A loopback address that no other test uses.
///
/// Each test process has an IP address of its own in 127.0.0.0/8 and counts its
/// ports, below those that the system picks; a port that was merely free a
/// moment ago may be taken by a test that runs at the same time.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 64 + high % 64, middle, low);
    SocketAddr::from((ip, NEXT.fetch_add(1, Ordering::Relaxed)))
}

/// The first port given out.
const FIRST_PORT: u16 = 20_000;

impl Demo {
    /// Spawns the demo and waits until it is ready.
    pub fn spawn() -> Self {
        let (callers, operators) = (free_address(), free_address());
        let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoked"));
        command.arg("--demo");
        command.arg("--callers").arg(callers.to_string());
        command.arg("--operators").arg(operators.to_string());
        let daemon = Daemon::spawn(command, "curl -X POST");
        Self {
            daemon,
            callers,
            operators,
        }
    }
}

impl Daemon {
    /// Spawns a daemon and waits until it prints a line that contains `ready`.
    pub fn spawn(mut command: Command, ready: &str) -> Self {
        let mut child = command
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let output = child.stdout.take().unwrap();
        let (sender, lines) = mpsc::channel();
        let log = Arc::new(Mutex::new(Vec::new()));
        let kept = Arc::clone(&log);
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                kept.lock().unwrap().push(line.clone());
                let _ = sender.send(line);
            }
        });
        let mut daemon = Self {
            child,
            ready: String::new(),
            log,
        };
        loop {
            let line = lines
                .recv_timeout(READY_TIMEOUT)
                .expect("the daemon is ready");
            if line.contains(ready) {
                daemon.ready = line;
                return daemon;
            }
        }
    }

    /// What it has printed so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    /// The incarnation that the line of its start names.
    pub fn incarnation(&self) -> u64 {
        let line: serde_json::Value = serde_json::from_str(&self.ready).unwrap();
        line["vm"]["incarnation"].as_u64().unwrap()
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends the signal called `name`, without `SIG`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let mut command = Command::new("kill");
        let status = command.arg(format!("-{name}")).arg(id).status().unwrap();
        assert!(status.success());
    }

    /// Kills the process with no time to finish anything.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits for the process to end and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }

    /// Processor time used so far, in clock ticks.
    pub fn ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let (_, fields) = stat.rsplit_once(')').unwrap();
        let fields: Vec<&str> = fields.split_whitespace().collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

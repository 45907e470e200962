//! Helpers for the tests that run real processes.

#![allow(dead_code, reason = "each test file uses its own part")]

pub mod engines;
pub mod fleet;
pub mod fragile;
pub mod gateway;
pub mod gateways;
pub mod raw;
pub mod relay;
pub mod replicas;
pub mod scripted;
pub mod upstream;

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The time within which a process must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The time within which a line about a past event must be printed.
const LINE_TIMEOUT: Duration = Duration::from_secs(10);

/// A running `nutmegyoked` process, killed when dropped.
pub struct Daemon {
    child: Child,
    ready_line: String,
    log: Arc<Mutex<Vec<String>>>,
    reader: Option<JoinHandle<()>>,
}

/// A running `nutmegyoked --demo`: a whole fleet in one process.
pub struct Demo {
    /// The process.
    pub daemon: Daemon,
    /// The address that serves callers.
    pub callers: SocketAddr,
    /// The address that serves operators.
    pub operators: SocketAddr,
}

/// Returns a loopback address that no other test uses.
///
/// Each test process derives its own IP address in 127.0.0.0/8 from its process id and
/// numbers its ports below the range that the system assigns. Probing for a free port
/// would be racy: a concurrent test could bind it first.
pub fn free_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 64 + high % 64, middle, low);
    SocketAddr::from((ip, NEXT_PORT.fetch_add(1, Ordering::Relaxed)))
}

/// The first port that [`free_address`] returns.
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
    /// Spawns a process and waits until it prints a line that contains `ready_marker`.
    pub fn spawn(mut command: Command, ready_marker: &str) -> Self {
        let mut child = command
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let output = child.stdout.take().unwrap();
        let (sender, lines) = mpsc::channel();
        let log = Arc::new(Mutex::new(Vec::new()));
        let log_writer = Arc::clone(&log);
        let reader = std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                log_writer.lock().unwrap().push(line.clone());
                let _ = sender.send(line);
            }
        });
        let mut daemon = Self {
            child,
            ready_line: String::new(),
            log,
            reader: Some(reader),
        };
        loop {
            let line = lines
                .recv_timeout(READY_TIMEOUT)
                .expect("the process did not become ready");
            if line.contains(ready_marker) {
                daemon.ready_line = line;
                return daemon;
            }
        }
    }

    /// Returns the lines that the process has printed so far. It writes its lines in batches, so
    /// those of the last events may still be missing.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    /// Waits until the process has printed a line that contains `text`, and returns the line.
    pub fn wait_for_line(&self, text: &str) -> String {
        let start = Instant::now();
        loop {
            let lines = self.log();
            if let Some(line) = lines.into_iter().find(|line| line.contains(text)) {
                return line;
            }
            assert!(start.elapsed() < LINE_TIMEOUT, "no line contains {text}");
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Stops the process and returns all lines that it printed.
    pub fn stop(&mut self) -> Vec<String> {
        self.terminate();
        self.wait();
        if let Some(reader) = self.reader.take() {
            reader.join().unwrap();
        }
        self.log()
    }

    /// Returns the incarnation that the log line of its start names.
    pub fn incarnation(&self) -> u64 {
        let line: serde_json::Value = serde_json::from_str(&self.ready_line).unwrap();
        line["vm"]["incarnation"].as_u64().unwrap()
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends the signal `name`, given without `SIG`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let mut command = Command::new("kill");
        let status = command.arg(format!("-{name}")).arg(id).status().unwrap();
        assert!(status.success());
    }

    /// Kills the process with SIGKILL and waits for it to end.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits for the process to end and returns its exit code, `None` if a signal ended it.
    pub fn wait(&mut self) -> Option<i32> {
        self.child.wait().unwrap().code()
    }

    /// Returns the largest resident memory so far, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap();
        let mut lines = status.lines();
        let peak = lines.find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        peak.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the number of open file descriptors.
    pub fn descriptors(&self) -> usize {
        let folder = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(folder).unwrap().count()
    }

    /// Returns the user and system processor time used so far, in clock ticks.
    pub fn cpu_ticks(&self) -> u64 {
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

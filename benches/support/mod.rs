//! Helpers shared by the benches: processes, their CPU time and memory, and a fleet.

#![allow(dead_code, reason = "each bench uses its own part")]

pub mod client;
pub mod engine;
pub mod fit;
pub mod fleet;
pub mod target;

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// A child process, stopped when dropped.
pub struct Process {
    child: Child,
    _output: BufReader<std::process::ChildStdout>,
}

impl Process {
    /// Spawns a process and waits until it prints a line that contains `marker`. Returns the
    /// process and that line.
    pub fn spawn(mut command: Command, marker: &str) -> (Self, String) {
        let command = command.stdout(Stdio::piped()).stderr(Stdio::inherit());
        let mut child = command.spawn().expect("the process can be started");
        let mut output = BufReader::new(child.stdout.take().expect("the standard output is piped"));
        let mut line = String::new();
        while !line.contains(marker) {
            line.clear();
            let bytes_read = output
                .read_line(&mut line)
                .expect("the standard output is readable");
            assert!(
                bytes_read > 0,
                "the process exited before it printed {marker:?}"
            );
        }
        let process = Self {
            child,
            _output: output,
        };
        (process, line.trim().to_owned())
    }

    /// The CPU time used so far.
    pub fn cpu_time(&self) -> Duration {
        cpu_time(&self.child.id().to_string())
    }

    /// The resident memory in bytes.
    pub fn resident_bytes(&self) -> u64 {
        resident_bytes(&self.child.id().to_string())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A graceful stop lets callgrind write its output.
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args(["-TERM", &pid]).status();
        let _ = self.child.wait();
    }
}

/// The CPU time that process `pid` has used so far. `pid` may be `self`.
pub fn cpu_time(pid: &str) -> Duration {
    let text =
        std::fs::read_to_string(format!("/proc/{pid}/schedstat")).expect("schedstat is readable");
    let nanoseconds = text
        .split_whitespace()
        .next()
        .expect("schedstat has fields");
    Duration::from_nanos(nanoseconds.parse().expect("the CPU time is a number"))
}

/// The resident memory of process `pid` in bytes. `pid` may be `self`.
pub fn resident_bytes(pid: &str) -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).expect("statm is readable");
    let pages = text
        .split_whitespace()
        .nth(1)
        .expect("statm has two fields");
    pages.parse::<u64>().expect("the size in pages is a number") * PAGE_BYTES
}

/// The load average of the machine, printed because CPU times and latencies vary with it.
pub fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let average = text.split_whitespace().next().unwrap_or("?");
    format!("load average {average} on {cores} cores")
}

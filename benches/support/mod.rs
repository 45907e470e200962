//! Helpers shared by the benches: processes, processor time, lists.

#![allow(dead_code, reason = "each bench uses its own part")]

pub mod client;
pub mod engine;
pub mod fit;
pub mod fleet;
pub mod target;

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// A process of the bench, stopped when dropped.
pub struct Process {
    child: Child,
    _output: BufReader<std::process::ChildStdout>,
}

impl Process {
    /// Spawns a process and returns it with its first line that contains `ready`.
    pub fn spawn(mut command: Command, marker: &str) -> (Self, String) {
        let command = command.stdout(Stdio::piped()).stderr(Stdio::inherit());
        let mut child = command.spawn().expect("the process starts");
        let mut output = BufReader::new(child.stdout.take().expect("a pipe"));
        let mut line = String::new();
        while !line.contains(marker) {
            line.clear();
            let bytes_read = output.read_line(&mut line).expect("a line");
            assert!(
                bytes_read > 0,
                "the process ended before it printed {marker}"
            );
        }
        let process = Self {
            child,
            _output: output,
        };
        (process, line.trim().to_owned())
    }

    /// Processor time used so far.
    pub fn cpu_time(&self) -> Duration {
        cpu_time(&self.child.id().to_string())
    }

    /// Memory in use, in bytes.
    pub fn resident_bytes(&self) -> u64 {
        resident_bytes(&self.child.id().to_string())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Gracefully, so that a profiler around it writes its result.
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args(["-TERM", &pid]).status();
        let _ = self.child.wait();
    }
}

/// Processor time of process `id`, which may be `self`.
pub fn cpu_time(pid: &str) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).expect("schedstat");
    let nanoseconds = text.split_whitespace().next().expect("a field");
    Duration::from_nanos(nanoseconds.parse().expect("a number"))
}

/// Resident memory of process `id`, which may be `self`, in bytes.
pub fn resident_bytes(pid: &str) -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).expect("statm");
    let pages = text.split_whitespace().nth(1).expect("a field");
    pages.parse::<u64>().expect("a number") * PAGE_BYTES
}

/// How loaded the machine is, for the reader of the figures.
pub fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let average = text.split_whitespace().next().unwrap_or("?");
    format!("load average {average} on {cores} cores")
}

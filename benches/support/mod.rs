//! Helpers shared by the benches: processes, processor time, lists.

#![allow(dead_code, reason = "each bench uses its own part")]

pub mod caller;
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
    pub fn spawn(mut command: Command, ready: &str) -> (Self, String) {
        let command = command.stdout(Stdio::piped()).stderr(Stdio::inherit());
        let mut child = command.spawn().expect("the process starts");
        let mut output = BufReader::new(child.stdout.take().expect("a pipe"));
        let mut line = String::new();
        while !line.contains(ready) {
            line.clear();
            let read = output.read_line(&mut line).expect("a line");
            assert!(read > 0, "the process ended before it printed {ready}");
        }
        let process = Self {
            child,
            _output: output,
        };
        (process, line.trim().to_owned())
    }

    /// Processor time used so far.
    pub fn processor_time(&self) -> Duration {
        processor_time(&self.child.id().to_string())
    }

    /// Memory in use, in bytes.
    pub fn memory(&self) -> u64 {
        memory(&self.child.id().to_string())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Gracefully, so that a profiler around it writes its result.
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args(["-TERM", &id]).status();
        let _ = self.child.wait();
    }
}

/// Processor time of process `id`, which may be `self`.
pub fn processor_time(id: &str) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{id}/schedstat")).expect("schedstat");
    let nanoseconds = text.split_whitespace().next().expect("a field");
    Duration::from_nanos(nanoseconds.parse().expect("a number"))
}

/// Resident memory of process `id`, which may be `self`, in bytes.
pub fn memory(id: &str) -> u64 {
    const PAGE: u64 = 4096;
    let text = std::fs::read_to_string(format!("/proc/{id}/statm")).expect("statm");
    let pages = text.split_whitespace().nth(1).expect("a field");
    pages.parse::<u64>().expect("a number") * PAGE
}

/// How loaded the machine is, for the reader of the figures.
pub fn load() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let average = text.split_whitespace().next().unwrap_or("?");
    format!("load average {average} on {cores} cores")
}

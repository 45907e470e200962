//! The record of a run: a line for each thing that was sent, answered or run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the time since it was opened.
#[derive(Clone)]
pub struct Record {
    opened: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn open(path: &Path) -> Self {
        let file = File::create(path).expect("cannot write the record");
        Self {
            opened: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.opened.elapsed().as_secs_f64();
        let line = format!("{at:9.3} s  {text}\n");
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

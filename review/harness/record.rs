//! The record of a run: what was sent, answered and run, with the time.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn open(path: &Path) -> Self {
        Self {
            file: Mutex::new(File::create(path).expect("cannot write the record")),
            start: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} s  {text}");
    }
}

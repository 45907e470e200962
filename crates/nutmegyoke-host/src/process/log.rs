//! Writes log lines to standard output, one JSON object each.
//!
//! Lines are gathered in a bounded buffer and written together. A reader that
//! stops reading stalls nothing: what doesn't fit is dropped, and the number of
//! dropped lines is told once there is room again.

use std::cell::RefCell;
use std::io::{self, ErrorKind, IsTerminal, Write};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures_channel::mpsc;
use futures_util::StreamExt;
use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use serde::Serialize;
use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::WriteSink;
use spdlog::{Level, LevelFilter, Logger};

use super::Event;

/// The most bytes that wait for the reader.
const BUFFER_BYTES: usize = 256 * 1024;

/// How long lines are gathered before they are written.
const GATHER: Duration = Duration::from_millis(50);

/// How long to wait for a reader that takes nothing.
const FULL_PAUSE: Duration = Duration::from_millis(200);

thread_local! {
    static OUTLET: RefCell<Outlet> = RefCell::default();
}

/// The lines that wait to be written.
#[derive(Debug, Default)]
struct Outlet {
    /// The name of the process in each line.
    origin: String,
    buffer: Vec<u8>,
    dropped: u64,
    wake: Option<mpsc::Sender<()>>,
}

/// A line as it is written.
#[derive(Serialize)]
struct Line<'a> {
    /// Milliseconds since the Unix epoch, by the clock of the VM.
    at: u128,
    process: &'a str,
    level: &'static str,
    /// The number of the event in the catalogue.
    code: String,
    #[serde(flatten)]
    event: &'a Event<'a>,
}

/// Where the logging library writes to.
struct Tap;

impl Write for Tap {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        OUTLET.with_borrow_mut(|outlet| outlet.push(line));
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Outlet {
    fn push(&mut self, line: &[u8]) {
        if self.buffer.len() + line.len() > BUFFER_BYTES {
            self.dropped += 1;
        } else {
            self.buffer.extend_from_slice(line);
        }
        if let Some(wake) = &mut self.wake {
            // A full channel means that the writer is about to look anyway.
            let _ = wake.try_send(());
        }
    }

    /// Writes what the reader takes. Returns whether anything is left.
    fn write(&mut self) -> io::Result<bool> {
        let written = match io::stdout().write(&self.buffer) {
            Ok(written) => written,
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(true),
            Err(error) => return Err(error),
        };
        io::stdout().flush()?;
        self.buffer.drain(..written);
        Ok(!self.buffer.is_empty())
    }
}

/// Opens the log of the process called `origin`, on the current loop.
pub fn open(origin: &str) {
    let (wake, woken) = mpsc::channel(0);
    OUTLET.with_borrow_mut(|outlet| {
        origin.clone_into(&mut outlet.origin);
        outlet.wake = Some(wake);
    });
    let sink = WriteSink::builder()
        .formatter(PatternFormatter::new(pattern!("{payload}{eol}")))
        .target(Tap)
        .build_arc();
    let logger = sink.and_then(|sink| {
        let mut builder = Logger::builder();
        let builder = builder.level_filter(LevelFilter::MoreSevereEqual(Level::Info));
        builder.sink(sink).build_arc()
    });
    match logger {
        Ok(logger) => {
            spdlog::set_default_logger(logger);
        }
        Err(error) => eprintln!("nutmegyoked: the log can't be opened: {error}"),
    }
    unblock();
    compio::runtime::spawn(run(woken)).detach();
}

/// Lets a write to a pipe that is full fail in place of waiting.
fn unblock() {
    let stdout = io::stdout();
    if stdout.is_terminal() {
        return;
    }
    let set = fcntl_getfl(&stdout).and_then(|flags| fcntl_setfl(&stdout, flags | OFlags::NONBLOCK));
    if let Err(error) = set {
        eprintln!("nutmegyoked: standard output may block: {error}");
    }
}

/// Writes what is gathered until the process ends.
async fn run(mut woken: mpsc::Receiver<()>) {
    while woken.next().await.is_some() {
        compio::time::sleep(GATHER).await;
        while OUTLET.with_borrow_mut(Outlet::write).unwrap_or(false) {
            compio::time::sleep(FULL_PAUSE).await;
        }
        let dropped = OUTLET.with_borrow_mut(|outlet| std::mem::take(&mut outlet.dropped));
        if dropped > 0 {
            Event::LinesDropped { dropped }.log();
        }
    }
}

/// Writes what is left before the process ends, as far as the reader takes it.
pub fn close() {
    // Whoever closed standard output does not want the rest.
    let _ = OUTLET.with_borrow_mut(Outlet::write);
}

/// The line of an event.
#[must_use]
pub fn line(event: &Event<'_>) -> String {
    let at = SystemTime::now().duration_since(UNIX_EPOCH);
    OUTLET.with_borrow(|outlet| {
        let line = Line {
            at: at.unwrap_or_default().as_millis(),
            process: &outlet.origin,
            level: event.level().as_str(),
            code: format!("NY{:04}", event.number()),
            event,
        };
        serde_json::to_string(&line).unwrap_or_else(|error| error.to_string())
    })
}

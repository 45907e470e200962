//! Writes the log to standard output, one JSON object per line.
//!
//! Lines are collected in a bounded buffer and written in batches. A reader that
//! stops reading blocks nothing: lines that don't fit into the buffer are dropped, and
//! their number is logged once there is room again.

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

/// The capacity of the buffer, in bytes.
const BUFFER_BYTES: usize = 256 * 1024;

/// How long lines are collected before they are written together.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// The delay before another write while the reader is too slow.
const RETRY_DELAY: Duration = Duration::from_millis(200);

thread_local! {
    static BUFFER: RefCell<Buffer> = RefCell::default();
}

/// The lines to be written.
#[derive(Debug, Default)]
struct Buffer {
    /// The name of the process, for the field `process` of every line.
    process: String,
    lines: Vec<u8>,
    /// Lines dropped since the last report of dropped lines.
    dropped: u64,
    /// Wakes the task that writes.
    wake: Option<mpsc::Sender<()>>,
}

/// A line of the log.
#[derive(Serialize)]
struct Line<'a> {
    /// Milliseconds since the Unix epoch, by the clock of the VM.
    at: u128,
    process: &'a str,
    level: &'static str,
    /// The event's number in the catalogue, such as `NY0100`.
    code: String,
    #[serde(flatten)]
    event: &'a Event<'a>,
}

/// Passes the lines of the logging library to the buffer.
struct Writer;

impl Write for Writer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        BUFFER.with_borrow_mut(|buffer| buffer.push(line));
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Buffer {
    fn push(&mut self, line: &[u8]) {
        if self.lines.len() + line.len() > BUFFER_BYTES {
            self.dropped += 1;
        } else {
            self.lines.extend_from_slice(line);
        }
        if let Some(wake) = &mut self.wake {
            // If the channel is full, the writing task is already due to be woken.
            let _ = wake.try_send(());
        }
    }

    /// Writes as much as the reader accepts. Returns whether anything is left.
    fn write(&mut self) -> io::Result<bool> {
        let written = match io::stdout().write(&self.lines) {
            Ok(written) => written,
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(true),
            Err(error) => return Err(error),
        };
        io::stdout().flush()?;
        self.lines.drain(..written);
        Ok(!self.lines.is_empty())
    }
}

/// Opens the log of the process called `process`, on the current event loop.
pub fn open(process: &str) {
    let (wake, woken) = mpsc::channel(0);
    BUFFER.with_borrow_mut(|buffer| {
        process.clone_into(&mut buffer.process);
        buffer.wake = Some(wake);
    });
    let sink = WriteSink::builder()
        .formatter(PatternFormatter::new(pattern!("{payload}{eol}")))
        .target(Writer)
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
        Err(error) => eprintln!("nutmegyoked: cannot open the log: {error}"),
    }
    set_nonblocking();
    compio::runtime::spawn(run(woken)).detach();
}

/// Makes a write to a full pipe fail instead of blocking.
fn set_nonblocking() {
    let stdout = io::stdout();
    if stdout.is_terminal() {
        return;
    }
    let set = fcntl_getfl(&stdout).and_then(|flags| fcntl_setfl(&stdout, flags | OFlags::NONBLOCK));
    if let Err(error) = set {
        eprintln!(
            "nutmegyoked: cannot make standard output nonblocking: {error}; a slow reader may block the process"
        );
    }
}

/// Writes the collected lines until the process ends.
async fn run(mut woken: mpsc::Receiver<()>) {
    while woken.next().await.is_some() {
        compio::time::sleep(BATCH_DELAY).await;
        while BUFFER.with_borrow_mut(Buffer::write).unwrap_or(false) {
            compio::time::sleep(RETRY_DELAY).await;
        }
        let dropped = BUFFER.with_borrow_mut(|buffer| std::mem::take(&mut buffer.dropped));
        if dropped > 0 {
            Event::LinesDropped { dropped }.log();
        }
    }
}

/// Writes the remaining lines before the process ends, as far as the reader accepts
/// them.
pub fn close() {
    // If standard output is closed, nobody reads the rest.
    let _ = BUFFER.with_borrow_mut(Buffer::write);
}

/// Encodes an event as a line of the log.
#[must_use]
pub fn line(event: &Event<'_>) -> String {
    let at = SystemTime::now().duration_since(UNIX_EPOCH);
    BUFFER.with_borrow(|buffer| {
        let line = Line {
            at: at.unwrap_or_default().as_millis(),
            process: &buffer.process,
            level: event.level().as_str(),
            code: format!("NY{:04}", event.number()),
            event,
        };
        serde_json::to_string(&line).unwrap_or_else(|error| error.to_string())
    })
}

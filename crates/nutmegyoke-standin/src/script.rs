//! An endpoint that fails on purpose, as a script tells it.
//!
//! It speaks just enough HTTP/1.1 over a plain socket to close, stall or break
//! off wherever a row of a fault table wants it to.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use nutmegyoke_core::process::Endpoint;
use nutmegyoke_core::process::endpoint::{Holding, Phase};
use nutmegyoke_host::connection::Listener;
use nutmegyoke_host::connection::listener::Serve;
use nutmegyoke_host::process::Failure;
use nutmegyoke_wire::process::Announcement;

use crate::{ANY, Announcer};

/// Requests that the endpoint runs at once.
const SLOTS: u32 = 256;

/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;

/// What the endpoint does with one request, once it has counted it as run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// Answers in whole after a while.
    Answer { after: Duration },
    /// Closes the connection without an answer.
    Close,
    /// Closes the connection within the body of the answer.
    BreakBody,
    /// Sends nothing and keeps the connection open.
    Stall,
    /// Streams `events`, then closes the connection.
    BreakStream { events: u32 },
    /// Streams `events`, then sends nothing more.
    StallStream { events: u32 },
}

/// A running endpoint with its script.
#[derive(Debug)]
pub struct Script {
    listener: OnceCell<Listener>,
    holding: Holding,
    acts: RefCell<VecDeque<Act>>,
    runs: Cell<u64>,
    bodies: RefCell<HashMap<String, u64>>,
    left: Cell<u64>,
    pace: Cell<Duration>,
}

impl Script {
    /// Binds an endpoint that serves `holding` to a free port on the current loop.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn bind(holding: Holding) -> Result<Rc<Self>, Failure> {
        let script = Rc::new(Self {
            listener: OnceCell::new(),
            holding,
            acts: RefCell::default(),
            runs: Cell::new(0),
            bodies: RefCell::default(),
            left: Cell::new(0),
            pace: Cell::default(),
        });
        let listener = Listener::bind(ANY, "script", Rc::clone(&script)).await?;
        let _ = script.listener.set(listener);
        Ok(script)
    }

    /// Sets the acts for the next requests; later ones are answered at once.
    pub fn play(&self, acts: &[Act]) {
        self.acts.replace(acts.iter().copied().collect());
        self.runs.set(0);
        self.left.set(0);
    }

    /// Sets the time to an answer that no act is set for.
    pub fn set_pace(&self, pace: Duration) {
        self.pace.set(pace);
    }

    /// Requests begun since the script was set.
    #[must_use]
    pub fn runs(&self) -> u64 {
        self.runs.get()
    }

    /// Requests begun with this body since the endpoint was bound.
    #[must_use]
    pub fn runs_of(&self, body: &str) -> u64 {
        self.bodies.borrow().get(body).copied().unwrap_or(0)
    }

    /// Stalled requests whose connection the agent closed.
    #[must_use]
    pub fn left(&self) -> u64 {
        self.left.get()
    }

    async fn converse(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        while let Some(body) = take_request(&mut stream, &mut buffer).await? {
            *self.bodies.borrow_mut().entry(body).or_default() += 1;
            self.runs.set(self.runs.get() + 1);
            let act = self.acts.borrow_mut().pop_front();
            let act = act.unwrap_or(Act::Answer {
                after: self.pace.get(),
            });
            if !self.perform(&mut stream, act).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Performs one act; returns whether the connection serves on.
    async fn perform(&self, stream: &mut TcpStream, act: Act) -> io::Result<bool> {
        match act {
            Act::Answer { after } => {
                compio::time::sleep(after).await;
                let body = format!("{{\"run\":{}}}", self.runs.get());
                let length = body.len();
                let head = format!("{JSON_HEAD}content-length: {length}\r\n\r\n");
                write(stream, head + &body).await?;
                return Ok(true);
            }
            Act::Close => {}
            Act::BreakBody => {
                let head = format!("{JSON_HEAD}content-length: 100\r\n\r\n{{\"run\"");
                write(stream, head).await?;
            }
            Act::Stall => self.stall(stream).await?,
            Act::BreakStream { events } => send_events(stream, events).await?,
            Act::StallStream { events } => {
                send_events(stream, events).await?;
                self.stall(stream).await?;
            }
        }
        Ok(false)
    }

    /// Waits until the agent closes the connection.
    async fn stall(&self, stream: &mut TcpStream) -> io::Result<()> {
        let read = stream.read(Vec::with_capacity(READ_BYTES)).await;
        if !matches!(read.0, Ok(bytes) if bytes > 0) {
            self.left.set(self.left.get() + 1);
        }
        Ok(())
    }
}

const JSON_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n";

const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

async fn send_events(stream: &mut TcpStream, events: u32) -> io::Result<()> {
    write(stream, STREAM_HEAD.to_owned()).await?;
    for number in 0..events {
        let event = format!("data: {{\"event\":{number}}}\n\n");
        write(stream, format!("{:x}\r\n{event}\r\n", event.len())).await?;
    }
    Ok(())
}

async fn write(stream: &mut TcpStream, text: String) -> io::Result<()> {
    stream.write_all(text.into_bytes()).await.0
}

/// Reads one request off the connection and returns its body; `None` when it was closed.
async fn take_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<String>> {
    loop {
        if let Some(bounds) = request_bounds(buffer) {
            let body = String::from_utf8_lossy(&buffer[bounds.clone()]).into_owned();
            buffer.drain(..bounds.end);
            return Ok(Some(body));
        }
        let (read, bytes) = stream.read(Vec::with_capacity(READ_BYTES)).await.into();
        if read? == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&bytes);
    }
}

/// Where the body of the first request in `buffer` is, if it is there in whole.
fn request_bounds(buffer: &[u8]) -> Option<Range<usize>> {
    let begin = buffer.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = std::str::from_utf8(&buffer[..begin]).ok()?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let named = name.eq_ignore_ascii_case("content-length");
        named.then(|| value.trim().parse().ok()).flatten()
    });
    let end = begin + length.unwrap_or(0);
    (buffer.len() >= end).then_some(begin..end)
}

impl Announcer for Script {
    fn announcement(&self) -> Announcement {
        Announcement {
            capacity: None,
            address: self.listener.get().map_or(ANY, Listener::address),
            endpoint: Endpoint {
                name: "script".to_owned(),
                holding: self.holding.clone(),
                slots: SLOTS,
                phase: Phase::Ready,
            },
        }
    }
}

impl Serve for Script {
    async fn serve(self: Rc<Self>, stream: TcpStream, _: SocketAddr) {
        // The agent may close the connection at any time.
        let _ = self.converse(stream).await;
    }
}

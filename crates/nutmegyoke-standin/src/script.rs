//! A stand-in endpoint that fails in scripted ways.
//!
//! It implements only as much of HTTP/1.1 on a plain socket as it takes to close the
//! connection, stall or truncate an answer at the point that a fault test asks for.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use nutmegyoke_core::process::Endpoint;
use nutmegyoke_core::process::endpoint::{Holding, Phase};
use nutmegyoke_host::connection::Listener;
use nutmegyoke_host::connection::listener::{Accepted, Serve};
use nutmegyoke_host::process::Failure;
use nutmegyoke_wire::process::Announcement;

use crate::{Announcer, EPHEMERAL_LOOPBACK};

/// The number of requests that the endpoint announces to run concurrently.
const SLOTS: u32 = 256;

/// The most bytes that are read from the socket at once.
const READ_BYTES: usize = 16 * 1024;

/// How the endpoint handles one request, after counting it as run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Sends a complete answer after a delay.
    Answer { after: Duration },
    /// Closes the connection without an answer.
    Close,
    /// Closes the connection in the middle of the answer's body.
    TruncateBody,
    /// Sends nothing and keeps the connection open.
    Stall,
    /// Streams `events` events, then closes the connection.
    TruncateStream { events: u32 },
    /// Streams `events` events, then sends nothing and keeps the connection open.
    StallStream { events: u32 },
}

/// A running endpoint with the actions for its next requests.
#[derive(Debug)]
pub struct Script {
    listener: OnceCell<Listener>,
    holding: Holding,
    actions: RefCell<VecDeque<Action>>,
    runs: Cell<u64>,
    runs_by_body: RefCell<HashMap<String, u64>>,
    abandoned: Cell<u64>,
    response_delay: Cell<Duration>,
}

impl Script {
    /// Binds an endpoint that serves `holding` to a free port, on the current event loop.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub async fn bind(holding: Holding) -> Result<Rc<Self>, Failure> {
        let script = Rc::new(Self {
            listener: OnceCell::new(),
            holding,
            actions: RefCell::default(),
            runs: Cell::new(0),
            runs_by_body: RefCell::default(),
            abandoned: Cell::new(0),
            response_delay: Cell::default(),
        });
        let listener = Listener::bind(EPHEMERAL_LOOPBACK, "script", Rc::clone(&script)).await?;
        let _ = script.listener.set(listener);
        Ok(script)
    }

    /// Sets the actions for the next requests and resets the counts of [`Self::runs`] and
    /// [`Self::abandoned`]. Later requests are answered after the response delay.
    pub fn set_actions(&self, actions: &[Action]) {
        self.actions.replace(actions.iter().copied().collect());
        self.runs.set(0);
        self.abandoned.set(0);
    }

    /// Sets the delay of the answers to requests without an action, initially zero.
    pub fn set_response_delay(&self, delay: Duration) {
        self.response_delay.set(delay);
    }

    /// The number of requests received since the actions were last set.
    #[must_use]
    pub fn runs(&self) -> u64 {
        self.runs.get()
    }

    /// The number of requests received with this body since the endpoint was bound.
    #[must_use]
    pub fn runs_with_body(&self, body: &str) -> u64 {
        self.runs_by_body.borrow().get(body).copied().unwrap_or(0)
    }

    /// The number of stalled requests whose connection the agent closed, since the actions
    /// were last set.
    #[must_use]
    pub fn abandoned(&self) -> u64 {
        self.abandoned.get()
    }

    async fn serve_connection(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        while let Some(body) = read_request(&mut stream, &mut buffer).await? {
            *self.runs_by_body.borrow_mut().entry(body).or_default() += 1;
            self.runs.set(self.runs.get() + 1);
            let action = self.actions.borrow_mut().pop_front();
            let action = action.unwrap_or(Action::Answer {
                after: self.response_delay.get(),
            });
            if !self.perform(&mut stream, action).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Performs one action. Returns whether the connection can be used for more requests.
    async fn perform(&self, stream: &mut TcpStream, action: Action) -> io::Result<bool> {
        match action {
            Action::Answer { after } => {
                compio::time::sleep(after).await;
                let body = format!("{{\"run\":{}}}", self.runs.get());
                let length = body.len();
                let head = format!("{JSON_HEAD}content-length: {length}\r\n\r\n");
                write(stream, head + &body).await?;
                return Ok(true);
            }
            Action::Close => {}
            Action::TruncateBody => {
                let head = format!("{JSON_HEAD}content-length: 100\r\n\r\n{{\"run\"");
                write(stream, head).await?;
            }
            Action::Stall => self.stall(stream).await?,
            Action::TruncateStream { events } => send_events(stream, events).await?,
            Action::StallStream { events } => {
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
            self.abandoned.set(self.abandoned.get() + 1);
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

/// Reads one request and returns its body, or `None` if the connection was closed. Bytes
/// of a following request stay in `buffer`.
async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<String>> {
    loop {
        if let Some(range) = body_range(buffer) {
            let body = String::from_utf8_lossy(&buffer[range.clone()]).into_owned();
            buffer.drain(..range.end);
            return Ok(Some(body));
        }
        let (read, bytes) = stream.read(Vec::with_capacity(READ_BYTES)).await.into();
        if read? == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&bytes);
    }
}

/// The range of the first request's body in `buffer`; `None` if the request is not
/// complete yet.
fn body_range(buffer: &[u8]) -> Option<Range<usize>> {
    let begin = buffer.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
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
            address: self
                .listener
                .get()
                .map_or(EPHEMERAL_LOOPBACK, Listener::address),
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
    async fn serve(self: Rc<Self>, Accepted { stream, .. }: Accepted) {
        // The agent may close the connection at any time.
        let _ = self.serve_connection(stream).await;
    }
}

//! Endpoints for soaks: they crash on some requests and start again, name limits, leave, ask for
//! pauses, send heartbeats to the gateways, and record what reaches them.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;

use super::free_address;
use super::upstream::{Received, header, read_request};

/// The prompt part that crashes engines.
pub const DEADLY_PART: &str = "dead";

/// The requests a second that an engine takes while it is limited.
pub const LIMIT: u32 = 12;

/// An engine leaves after this many answers, if it does, and starts again a while later.
const ANSWERS_TO_LEAVE: u64 = 60;

/// How long an engine that leaves goes on answering.
const LEAVING_TIME: Duration = Duration::from_secs(4);

/// Every so many requests an engine asks for a pause, if it does.
const REQUESTS_TO_PAUSE: u64 = 30;

/// The pause that an engine asks for, in whole seconds.
const PAUSE: Duration = Duration::from_secs(2);

/// Which engines leave, by their numbers, and which ask for pauses: one in four each.
const LEAVES: usize = 1;
const PAUSES: usize = 2;
const KINDS: usize = 4;

/// How long an engine is down after a crash.
const DOWN_TIME: Duration = Duration::from_secs(1);

/// The time that an engine takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(20);

/// The period of the heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(400);

const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// A request that reached an engine.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub engine: usize,
    pub id: String,
    /// The gateway that sent it, as its client named it.
    pub gateway: usize,
    pub deadly: bool,
    /// Whether the engine ran it.
    pub ran: bool,
}

/// A time in which a gateway must send an engine nothing.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    pub engine: usize,
    pub gateway: usize,
    /// When the engine asked for it.
    pub since: Instant,
    /// When it ends, if no other start of the engine ends it before; `None` if only that does.
    pub until: Option<Instant>,
}

/// One start of an engine.
#[derive(Debug)]
struct Start {
    /// Whether it has crashed or left.
    ended: AtomicBool,
    requests: AtomicU64,
    left_at: Mutex<Option<Instant>>,
}

/// Engines of the service `desk`, and the service's bookings.
#[derive(Default)]
pub struct Engines {
    pub arrivals: Mutex<Vec<Arrival>>,
    pub crashes: Mutex<Vec<Instant>>,
    /// What engines asked of gateways by leaving.
    pub departures: Mutex<Vec<Silence>>,
    /// What engines asked of gateways by a pause.
    pub pauses: Mutex<Vec<Silence>>,
    /// When engines started, with their numbers.
    pub starts: Mutex<Vec<(usize, Instant)>>,
    /// When engines began to name their limit.
    pub limited_since: Mutex<Option<Instant>>,
    pub stopped: AtomicBool,
    registrars: Mutex<Vec<SocketAddr>>,
}

impl Engines {
    /// Spawns `count` engines that announce themselves at the registrars, and name a limit
    /// once [`Engines::limited_since`] is set.
    pub fn spawn(count: usize, registrars: Vec<SocketAddr>) -> Arc<Self> {
        let engines = Arc::new(Self {
            registrars: Mutex::new(registrars),
            ..Self::default()
        });
        for number in 0..count {
            let engines = Arc::clone(&engines);
            let address = free_address();
            std::thread::spawn(move || engines.run(number, address));
        }
        engines
    }

    /// Runs one engine through its starts.
    fn run(self: Arc<Self>, number: usize, address: SocketAddr) {
        let mut born = 1;
        while !self.stopped.load(Ordering::SeqCst) {
            let listener = TcpListener::bind(address).unwrap();
            listener.set_nonblocking(true).unwrap();
            self.starts.lock().unwrap().push((number, Instant::now()));
            let start = Arc::new(Start {
                ended: AtomicBool::new(false),
                requests: AtomicU64::new(0),
                left_at: Mutex::new(None),
            });
            let mut streams: Vec<TcpStream> = Vec::new();
            let (engines, heard) = (Arc::clone(&self), Arc::clone(&start));
            std::thread::spawn(move || {
                engines.send_heartbeats(number, address, born, &heard);
            });
            while !start.has_ended() && !self.stopped.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        streams.push(stream.try_clone().unwrap());
                        let (engines, start) = (Arc::clone(&self), Arc::clone(&start));
                        std::thread::spawn(move || {
                            engines.serve(stream, number, &start);
                        });
                    }
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        std::thread::sleep(POLL_INTERVAL);
                    }
                    Err(error) => panic!("cannot accept: {error}"),
                }
            }
            drop(listener);
            for stream in streams {
                let _ = stream.shutdown(Shutdown::Both);
            }
            born += 1;
            std::thread::sleep(DOWN_TIME);
        }
    }

    /// Sends the heartbeats of one start of an engine.
    fn send_heartbeats(&self, number: usize, address: SocketAddr, born: u64, start: &Start) {
        for seq in 1.. {
            if start.has_ended() || self.stopped.load(Ordering::SeqCst) {
                return;
            }
            self.send_heartbeat(number, address, born, seq);
            std::thread::sleep(HEARTBEAT_PERIOD);
        }
    }

    /// Sends a heartbeat to the gateways in turn, until one acknowledges it.
    fn send_heartbeat(&self, number: usize, address: SocketAddr, born: u64, seq: u64) {
        let body = json!({
            "backend": "desk", "address": address.to_string(), "zone": "alp-a",
            "version": "v1", "slots": 64,
            "state": "ready", "seq": seq, "cold-left-ms": 0, "born": born,
        });
        let body = body.to_string();
        let length = body.len();
        let request = format!(
            "PUT /instances/i-{number} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        let registrars = self.registrars.lock().unwrap().clone();
        let turn = number + usize::try_from(seq).unwrap();
        for offset in 0..registrars.len() {
            let registrar = registrars[(turn + offset) % registrars.len()];
            if let Ok(mut stream) = TcpStream::connect(registrar)
                && stream.set_read_timeout(Some(HEARTBEAT_PERIOD)).is_ok()
                && stream.write_all(request.as_bytes()).is_ok()
                && stream.read(&mut [0; 64]).is_ok_and(|count| count > 0)
            {
                return;
            }
        }
    }

    /// Refuses a request and asks its gateway for a pause, if it is time for one. Returns whether
    /// it did.
    fn pause(&self, stream: &mut TcpStream, arrival: &Arrival) -> bool {
        if arrival.ran {
            return false;
        }
        let (id, seconds) = (&arrival.id, PAUSE.as_secs());
        let answer = format!(
            "HTTP/1.1 503 Service Unavailable\r\nX-Nutmegyoke-Request-Id: {id}\r\n\
             X-Nutmegyoke-Not-Executed: 1\r\nRetry-After: {seconds}\r\n\
             Content-Length: 0\r\n\r\n"
        );
        let _ = stream.write_all(answer.as_bytes());
        let since = Instant::now();
        self.pauses.lock().unwrap().push(Silence {
            engine: arrival.engine,
            gateway: arrival.gateway,
            since,
            until: Some(since + PAUSE),
        });
        true
    }

    fn serve(&self, mut stream: TcpStream, engine: usize, start: &Start) {
        while let Some(received) = read_request(&mut stream) {
            if start.has_ended() {
                return;
            }
            let arrival = self.record(engine, &received, start);
            if self.pause(&mut stream, &arrival) {
                continue;
            }
            std::thread::sleep(ANSWER_TIME);
            let leaves = start.leaves(engine);
            let limited = self.limited_since.lock().unwrap().is_some();
            let limit = if limited {
                format!("Server-Limit: {LIMIT}\r\n")
            } else {
                String::new()
            };
            let events = received.head.starts_with("POST /chat/");
            let kind = if events {
                "text/event-stream"
            } else {
                "text/plain"
            };
            let body = if events {
                "data: 1\n\ndata: 2\n\n"
            } else {
                "booked"
            };
            let (id, length) = (&arrival.id, body.len());
            let answer = format!(
                "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\n\
                 X-Nutmegyoke-Server-Stamp: s1\r\n{limit}{leaving}Content-Type: {kind}\r\n\
                 Content-Length: {length}\r\n\r\n{body}",
                leaving = if leaves { "Server-Leaving: 1\r\n" } else { "" },
            );
            // A deadly request ends the engine after the first event.
            let cut = if arrival.deadly {
                answer.len() - 9
            } else {
                answer.len()
            };
            if stream.write_all(&answer.as_bytes()[..cut]).is_err() {
                return;
            }
            if arrival.deadly && !start.ended.swap(true, Ordering::SeqCst) {
                self.crashes.lock().unwrap().push(Instant::now());
            }
            if leaves && !arrival.deadly {
                self.departures.lock().unwrap().push(Silence {
                    engine,
                    gateway: arrival.gateway,
                    since: Instant::now(),
                    until: None,
                });
            }
        }
    }

    fn record(&self, engine: usize, received: &Received, start: &Start) -> Arrival {
        let count = start.requests.fetch_add(1, Ordering::SeqCst) + 1;
        let pauses = engine % KINDS == PAUSES && count.is_multiple_of(REQUESTS_TO_PAUSE);
        let prompt = header(&received.head, "x-nutmegyoke-prompt-prefix");
        let arrival = Arrival {
            at: Instant::now(),
            engine,
            id: header(&received.head, "x-nutmegyoke-request-id"),
            gateway: header(&received.head, "x-gateway").parse().unwrap_or(0),
            deadly: prompt.split(',').any(|part| part.starts_with(DEADLY_PART)),
            ran: !pauses,
        };
        self.arrivals.lock().unwrap().push(arrival.clone());
        arrival
    }
}

impl Start {
    fn has_ended(&self) -> bool {
        let left_at = *self.left_at.lock().unwrap();
        self.ended.load(Ordering::SeqCst)
            || left_at.is_some_and(|left_at| left_at.elapsed() > LEAVING_TIME)
    }

    /// Whether the engine says from now on that it leaves.
    fn leaves(&self, engine: usize) -> bool {
        if engine % KINDS != LEAVES || self.requests.load(Ordering::SeqCst) < ANSWERS_TO_LEAVE {
            return false;
        }
        self.left_at
            .lock()
            .unwrap()
            .get_or_insert_with(Instant::now);
        true
    }
}

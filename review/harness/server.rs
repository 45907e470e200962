//! Servers behind the gateways: engines of a plain service, and a server of another system.

use std::collections::HashSet;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::record::Record;

/// `heartbeat-ms`.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// How long a server keeps an idle connection.
const IDLE: Duration = Duration::from_secs(30);

/// An engine of a plain service. It answers each request with 200 after `work`.
pub struct Engine {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    born: u128,
    sequence: AtomicU64,
    work: Duration,
    /// The ids of the requests that it ran.
    ran: Mutex<Vec<String>>,
    stopped: AtomicBool,
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u128 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.unwrap_or_default().as_millis()
}

impl Engine {
    /// Starts an engine on a free port.
    pub fn spawn(
        record: &Arc<Record>,
        id: &str,
        service: &str,
        ip: Ipv4Addr,
        work: Duration,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("cannot bind an engine");
        let engine = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("an engine has no address"),
            born: unix_ms(),
            sequence: AtomicU64::new(0),
            work,
            ran: Mutex::default(),
            stopped: AtomicBool::new(false),
        });
        let (accepting, record) = (Arc::clone(&engine), Arc::clone(record));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (engine, record) = (Arc::clone(&accepting), Arc::clone(&record));
                std::thread::spawn(move || engine.serve(&record, stream));
            }
        });
        engine
    }

    /// The ids of the requests that it ran, each run once.
    pub fn ran(&self) -> Vec<String> {
        self.ran.lock().unwrap().clone()
    }

    /// The body of a status report.
    pub fn report(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        format!(
            "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-0\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"{state}\",\"cold-left-ms\":0,\"seq\":{sequence},\
             \"born\":{}}}",
            self.service, self.address, self.born
        )
    }

    /// Sends status reports, at the next node if one does not acknowledge.
    pub fn spawn_heartbeats(self: &Arc<Self>, nodes: &[SocketAddr]) {
        let (engine, nodes) = (Arc::clone(self), nodes.to_vec());
        std::thread::spawn(move || {
            let path = format!("/instances/{}", engine.id);
            while !engine.stopped.load(Ordering::Relaxed) {
                let start = Instant::now();
                let report = engine.report("ready");
                let _ = nodes
                    .iter()
                    .find(|&&node| http::call(node, "PUT", &path, &report).status == 200);
                std::thread::sleep(HEARTBEAT.saturating_sub(start.elapsed()));
            }
        });
    }

    pub fn stop_heartbeats(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    fn serve(&self, record: &Record, mut stream: TcpStream) {
        while let Some((head, _body)) = read_request(&mut stream) {
            let id = header(&head, "x-nutmegyoke-request-id").unwrap_or_default();
            let expected = header(&head, "x-nutmegyoke-expect-instance");
            let answer = if expected.is_some_and(|expected| expected != self.id) {
                format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Nutmegyoke-Request-Id: {id}\r\n\
                     X-Nutmegyoke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                )
            } else {
                self.ran.lock().unwrap().push(id.clone());
                record.line(&format!("engine {} runs {id}", self.id));
                std::thread::sleep(self.work);
                format!(
                    "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\n\
                     X-Nutmegyoke-Server-Stamp: {}.{id}\r\nContent-Length: 6\r\n\r\nbooked",
                    self.id
                )
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// A server that belongs to no service of the config. It answers every request with 200.
pub struct Stranger {
    pub address: SocketAddr,
    /// The request lines and ids that it received.
    pub received: Arc<Mutex<Vec<String>>>,
}

impl Stranger {
    pub fn spawn(record: &Arc<Record>, ip: Ipv4Addr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("cannot bind a server");
        let address = listener.local_addr().expect("a server has no address");
        let received = Arc::new(Mutex::new(Vec::new()));
        let (requests, record) = (Arc::clone(&received), Arc::clone(record));
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (requests, record) = (Arc::clone(&requests), Arc::clone(&record));
                std::thread::spawn(move || {
                    while let Some((head, body)) = read_request(&mut stream) {
                        let line = head.lines().next().unwrap_or_default().to_owned();
                        let id = header(&head, "x-nutmegyoke-request-id").unwrap_or_default();
                        record.line(&format!(
                            "the server of another system gets {line}, id {id}, body {}",
                            String::from_utf8_lossy(&body)
                        ));
                        requests.lock().unwrap().push(id);
                        let answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
                        if stream.write_all(answer.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Self { address, received }
    }
}

/// Reads a request with its body; `None` at the end of the connection.
pub fn read_request(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let deadline = Instant::now() + IDLE;
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = http::find(&bytes, b"\r\n\r\n") {
            break end;
        }
        if !http::fill(stream, &mut bytes, deadline) {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let length = header(&head, "content-length").and_then(|text| text.parse().ok());
    let length: usize = length.unwrap_or(0);
    while bytes.len() < end + 4 + length {
        if !http::fill(stream, &mut bytes, deadline) {
            return None;
        }
    }
    Some((head, bytes[end + 4..end + 4 + length].to_vec()))
}

pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}

/// The ids that occur more than once.
pub fn repeated(ids: &[String]) -> Vec<String> {
    let mut seen = HashSet::new();
    let repeated = ids.iter().filter(|id| !seen.insert(*id));
    repeated.cloned().collect()
}

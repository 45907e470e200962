//! Servers of the stand-in deployment, which register themselves as PROTOCOL.md says.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::http;

/// The period of status reports.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// A server's registration.
pub struct Server {
    pub id: String,
    backend: String,
    address: SocketAddr,
    /// More fields of the status reports, each with a comma before it.
    fields: &'static str,
    /// The version of its software.
    version: &'static str,
    born: u128,
    seq: AtomicU64,
    nodes: Vec<SocketAddr>,
    left: AtomicBool,
}

impl Server {
    /// Starts the status reports of a server. Each goes to the next node, and if that does not
    /// acknowledge it, to the one after it.
    pub fn register(
        id: &str,
        backend: &str,
        address: SocketAddr,
        nodes: &[SocketAddr],
    ) -> Arc<Self> {
        Self::register_with(id, backend, address, nodes, "")
    }

    /// Starts the status reports of a server with this version of its software.
    pub fn register_version(
        id: &str,
        backend: &str,
        address: SocketAddr,
        nodes: &[SocketAddr],
        version: &'static str,
    ) -> Arc<Self> {
        Self::spawn(id, backend, address, nodes, "", version)
    }

    /// Starts the status reports of a server, with more fields in them.
    pub fn register_with(
        id: &str,
        backend: &str,
        address: SocketAddr,
        nodes: &[SocketAddr],
        fields: &'static str,
    ) -> Arc<Self> {
        Self::spawn(id, backend, address, nodes, fields, "v1")
    }

    fn spawn(
        id: &str,
        backend: &str,
        address: SocketAddr,
        nodes: &[SocketAddr],
        fields: &'static str,
        version: &'static str,
    ) -> Arc<Self> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let server = Arc::new(Self {
            id: id.to_owned(),
            backend: backend.to_owned(),
            address,
            fields,
            version,
            born: now.map_or(0, |now| now.as_millis()),
            seq: AtomicU64::new(0),
            nodes: nodes.to_vec(),
            left: AtomicBool::new(false),
        });
        let reporter = Arc::clone(&server);
        thread::spawn(move || {
            let mut node = 0;
            while !reporter.left.load(Ordering::SeqCst) {
                for _ in 0..reporter.nodes.len() {
                    node = (node + 1) % reporter.nodes.len();
                    if reporter.report(reporter.nodes[node]) {
                        break;
                    }
                }
                thread::sleep(HEARTBEAT);
            }
        });
        server
    }

    fn report(&self, node: SocketAddr) -> bool {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            r#"{{"backend":"{}","address":"{}","zone":"alp-a","version":"{}","slots":6,"state":"ready","cold-left-ms":0,"seq":{seq},"born":{}{}}}"#,
            self.backend, self.address, self.version, self.born, self.fields
        );
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let line = format!("PUT /instances/{}", self.id);
        let answer = http::call(
            node,
            &line,
            &headers,
            body.as_bytes(),
            Duration::from_secs(1),
        );
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Ends the status reports, as the end of the process does.
    pub fn stop_reports(&self) {
        self.left.store(true, Ordering::SeqCst);
    }

    /// Signs off, at one node after the other until one acknowledges it. Returns when that was.
    pub fn leave(&self) -> Option<(SocketAddr, Instant)> {
        self.stop_reports();
        let line = format!("DELETE /instances/{}", self.id);
        for &node in self.nodes.iter().cycle().take(self.nodes.len() * 3) {
            let answer = http::call(
                node,
                &line,
                &[("Host", "control")],
                b"",
                Duration::from_secs(1),
            );
            if answer.is_ok_and(|answer| (200..300).contains(&answer.status())) {
                return Some((node, Instant::now()));
            }
        }
        None
    }
}

/// A response of a server to a request.
pub fn answer(
    request: &http::Message,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut all = vec![
        (
            "X-Nutmegyoke-Request-Id",
            request.header("x-nutmegyoke-request-id"),
        ),
        ("X-Nutmegyoke-Server-Stamp", "s1.07.5a2"),
    ];
    all.extend_from_slice(headers);
    http::encode(&format!("HTTP/1.1 {status}"), &all, body)
}

/// A response of a server whose body is one chunk.
pub fn answer_in_chunks(request: &http::Message, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!(
        "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {}\r\nX-Nutmegyoke-Server-Stamp: s1.07.5a2\r\n",
        request.header("x-nutmegyoke-request-id")
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("Transfer-Encoding: chunked\r\n\r\n");
    text.push_str(&format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()));
    text.into_bytes()
}

/// A response of a server, a stream of events with neither a length nor chunks. If it is `last`, the
/// connection closes after it.
pub fn answer_unframed(request: &http::Message, body: &str, last: bool) -> Vec<u8> {
    let close = if last { "Connection: close\r\n" } else { "" };
    let id = request.header("x-nutmegyoke-request-id");
    let text = format!(
        "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\nX-Nutmegyoke-Server-Stamp: s1.07.5a2\r\n{close}Content-Type: text/event-stream\r\n\r\n{body}"
    );
    text.into_bytes()
}

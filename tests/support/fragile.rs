//! An endpoint that crashes on some requests, and for good: its connections and its listener
//! close.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use super::free_address;
use super::upstream::{Received, header, read_request};

/// The beginning of a stream, and its end.
const STREAM_START: &str = "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\n\
                            X-Nutmegyoke-Server-Stamp: s1\r\nContent-Type: text/event-stream\r\n\
                            Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n\
                            9\r\ndata: 1\n\n\r\n";
const STREAM_END: &str = "9\r\ndata: 2\n\n\r\n0\r\n\r\n";

/// A running endpoint, which serves one connection at a time.
pub struct Fragile {
    pub address: SocketAddr,
    crashed: Arc<AtomicBool>,
}

impl Fragile {
    /// Spawns an endpoint that begins to answer a request that is `deadly`, and crashes.
    pub fn spawn(deadly: fn(&Received) -> bool) -> Self {
        let address = free_address();
        let listener = TcpListener::bind(address).unwrap();
        let crashed = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&crashed);
        std::thread::spawn(move || {
            while let Ok((mut stream, _)) = listener.accept() {
                let Some(received) = read_request(&mut stream) else {
                    continue;
                };
                let id = header(&received.head, "x-nutmegyoke-request-id");
                let start = STREAM_START.replace("{id}", &id);
                stream.write_all(start.as_bytes()).unwrap();
                if deadly(&received) {
                    flag.store(true, Ordering::SeqCst);
                    return;
                }
                stream.write_all(STREAM_END.as_bytes()).unwrap();
            }
        });
        Self { address, crashed }
    }

    /// Whether the endpoint has crashed.
    pub fn crashed(&self) -> bool {
        self.crashed.load(Ordering::SeqCst)
    }
}

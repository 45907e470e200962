//! Forwards connections to a process, and may let them go silent, when they stay open, without a
//! reset, and carry nothing more, or slow.

use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// How often a connection without bytes checks whether it went silent.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The longest time that the process may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Relays all connections to a port of one IP address to another one. Stops when dropped.
pub struct Relay {
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    /// How often connections went silent. A connection carries bytes only while this is what
    /// it was when it was opened.
    silences: AtomicU64,
    cut: AtomicBool,
    /// The rate of a connection, in bytes a second; 0: unlimited.
    rate: AtomicU32,
    /// The bytes carried on all connections.
    carried: AtomicU64,
    stopped: AtomicBool,
}

impl Relay {
    /// Listens at `port` of `ip` and relays to the same port of `to`.
    pub fn spawn(ip: Ipv4Addr, port: u16, to: Ipv4Addr) -> Self {
        let state = Arc::new(State::default());
        let listener = TcpListener::bind((ip, port)).unwrap();
        listener.set_nonblocking(true).unwrap();
        let accepting = Arc::clone(&state);
        std::thread::spawn(move || accepting.accept(&listener, SocketAddr::from((to, port))));
        Self { state }
    }

    /// Lets all open connections go silent for good. New ones work.
    pub fn silence(&self) {
        self.state.silences.fetch_add(1, Ordering::SeqCst);
    }

    /// Lets all open connections go silent for good, and accepts none until [`Relay::heal`].
    pub fn cut(&self) {
        self.state.cut.store(true, Ordering::SeqCst);
        self.silence();
    }

    /// Limits each direction of a connection to `rate` bytes a second.
    pub fn limit(&self, rate: u32) {
        self.state.rate.store(rate, Ordering::SeqCst);
    }

    /// The bytes carried so far, both ways.
    pub fn carried(&self) -> u64 {
        self.state.carried.load(Ordering::SeqCst)
    }

    /// Accepts connections again.
    pub fn heal(&self) {
        self.state.cut.store(false, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.state.stopped.store(true, Ordering::SeqCst);
    }
}

impl State {
    fn accept(self: Arc<Self>, listener: &TcpListener, to: SocketAddr) {
        while !self.stopped.load(Ordering::SeqCst) {
            if self.cut.load(Ordering::SeqCst) {
                std::thread::sleep(POLL_INTERVAL);
                continue;
            }
            match listener.accept() {
                Ok((client, _)) => self.connect(client, to),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    std::thread::sleep(Duration::from_millis(2));
                }
                Err(error) => panic!("cannot accept: {error}"),
            }
        }
    }

    /// Copies both ways between `client` and a new connection to `to`.
    fn connect(self: &Arc<Self>, client: TcpStream, to: SocketAddr) {
        let silences = self.silences.load(Ordering::SeqCst);
        let Ok(server) = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT) else {
            return;
        };
        for stream in [&client, &server] {
            stream.set_nonblocking(false).unwrap();
            stream.set_nodelay(true).unwrap();
            stream.set_read_timeout(Some(POLL_INTERVAL)).unwrap();
        }
        let pairs = [
            (client.try_clone().unwrap(), server.try_clone().unwrap()),
            (server, client),
        ];
        for (from, to) in pairs {
            let state = Arc::clone(self);
            std::thread::spawn(move || state.copy(from, to, silences));
        }
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, silences: u64) {
        let mut buffer = [0; 16 * 1024];
        loop {
            let read = from.read(&mut buffer);
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            if self.silences.load(Ordering::SeqCst) != silences {
                std::thread::sleep(POLL_INTERVAL);
                continue;
            }
            match read {
                Ok(count @ 1..) if to.write_all(&buffer[..count]).is_ok() => {
                    let bytes = u64::try_from(count).unwrap();
                    self.carried.fetch_add(bytes, Ordering::SeqCst);
                    let rate = self.rate.load(Ordering::SeqCst);
                    if rate > 0 {
                        let count = u32::try_from(count).unwrap();
                        std::thread::sleep(Duration::from_secs(1) * count / rate);
                    }
                }
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                _ => {
                    let _ = to.shutdown(std::net::Shutdown::Both);
                    return;
                }
            }
        }
    }
}

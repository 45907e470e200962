//! A scripted endpoint and a plain client, both over bare sockets, so that the
//! bytes on the wire are the test's own.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

/// How long the client waits for an answer.
const PATIENCE: Duration = Duration::from_secs(20);

/// A request as an endpoint received it, with the time of its arrival.
#[derive(Clone, Debug)]
pub struct Received {
    pub head: String,
    pub body: Vec<u8>,
}

/// What an endpoint does with a request.
#[derive(Clone, Debug)]
pub enum Act {
    /// Sends these bytes, with `{id}` replaced by the id of the request.
    Send(&'static str),
    /// Sends these bytes and closes the connection.
    SendAndClose(&'static str),
    /// Sends the parts with a pause before each.
    Trickle(&'static [&'static str], Duration),
    /// Closes the connection.
    Close,
    /// Says nothing until the caller closes the connection.
    Hang,
}

/// A running endpoint.
pub struct Upstream {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
    left: mpsc::Receiver<Instant>,
}

impl Upstream {
    /// Spawns an endpoint that does `act` with every request.
    pub fn spawn(address: SocketAddr, act: Act) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let (sender, left) = mpsc::channel();
        let log = Arc::clone(&received);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (log, act, sender) = (Arc::clone(&log), act.clone(), sender.clone());
                std::thread::spawn(move || serve(stream, &log, &act, &sender));
            }
        });
        Self {
            address,
            received,
            left,
        }
    }

    /// The requests so far.
    pub fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }

    /// When a caller closed a connection on which it waited.
    pub fn left(&self) -> Instant {
        self.left.recv_timeout(PATIENCE).expect("the caller closes")
    }
}

fn serve(
    mut stream: TcpStream,
    log: &Mutex<Vec<Received>>,
    act: &Act,
    left: &mpsc::Sender<Instant>,
) {
    while let Some(received) = read(&mut stream) {
        let id = header(&received.head, "x-nutmegyoke-request-id");
        log.lock().unwrap().push(received);
        let fill = |text: &str| text.replace("{id}", &id);
        match act {
            Act::Send(text) => stream.write_all(fill(text).as_bytes()).unwrap(),
            Act::SendAndClose(text) => {
                stream.write_all(fill(text).as_bytes()).unwrap();
                return;
            }
            Act::Trickle(parts, pause) => {
                for part in *parts {
                    std::thread::sleep(*pause);
                    if stream.write_all(fill(part).as_bytes()).is_err() {
                        return;
                    }
                }
            }
            Act::Close => return,
            Act::Hang => {
                let mut byte = [0];
                while matches!(stream.read(&mut byte), Ok(1..)) {}
                let _ = left.send(Instant::now());
                return;
            }
        }
    }
}

/// Reads a message with a length, or one without a body.
fn read(stream: &mut TcpStream) -> Option<Received> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(at) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            break at + 4;
        }
        let mut more = [0; 4096];
        match stream.read(&mut more) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&more[..count]),
        }
    };
    let head = String::from_utf8(bytes[..end].to_vec()).unwrap();
    let length: usize = header(&head, "content-length").parse().unwrap_or(0);
    let mut body = bytes[end..].to_vec();
    while body.len() < length {
        let mut more = [0; 4096];
        match stream.read(&mut more) {
            Ok(0) | Err(_) => return None,
            Ok(count) => body.extend_from_slice(&more[..count]),
        }
    }
    Some(Received { head, body })
}

/// The value of a header, empty if it is not there.
pub fn header(head: &str, name: &str) -> String {
    let rows = head.lines().filter_map(|line| line.split_once(':'));
    let mut found = rows.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    let value = found.next().map(|(_, value)| value.trim().to_owned());
    value.unwrap_or_default()
}

/// What a client got.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    /// All that came after the head, with the framing of chunks taken away.
    pub body: Vec<u8>,
    /// Whether the answer ended as its framing says.
    pub whole: bool,
}

/// Sends the bytes on a new connection and reads the answer to its end.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> Answer {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(bytes).unwrap();
    let mut raw = Vec::new();
    let mut more = [0; 4096];
    loop {
        if let Some(answer) = parse(&raw, false) {
            return answer;
        }
        match stream.read(&mut more) {
            Ok(0) => break,
            Ok(count) => raw.extend_from_slice(&more[..count]),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => break,
            Err(error) => panic!("no whole answer: {error}"),
        }
    }
    parse(&raw, true).expect("at least a head")
}

/// Opens a connection, sends the bytes and closes it after `wait`.
pub fn leave(address: SocketAddr, bytes: &[u8], wait: Duration) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(bytes).unwrap();
    std::thread::sleep(wait);
    stream.shutdown(Shutdown::Both).unwrap();
}

/// The answer in `raw`, if it is whole or the connection is closed.
fn parse(raw: &[u8], closed: bool) -> Option<Answer> {
    let end = raw.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    let head = String::from_utf8(raw[..end].to_vec()).unwrap();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    let rest = &raw[end..];
    let (body, whole) = if header(&head, "transfer-encoding").is_empty() {
        let length = header(&head, "content-length").parse().unwrap_or(0);
        (rest.to_vec(), rest.len() >= length)
    } else {
        unchunk(rest)
    };
    (whole || closed).then_some(Answer {
        status,
        head,
        body,
        whole,
    })
}

fn unchunk(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(end) = rest.windows(2).position(|part| part == b"\r\n") {
        let size = std::str::from_utf8(&rest[..end]).unwrap();
        let size = usize::from_str_radix(size, 16).unwrap();
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = rest.get(end + 2..end + 2 + size) else {
            break;
        };
        body.extend_from_slice(chunk);
        rest = rest.get(end + 4 + size..).unwrap_or_default();
    }
    (body, false)
}

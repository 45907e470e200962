//! A scripted endpoint beside a gateway, and a plain client, both on raw sockets, so that
//! the test determines every byte on the wire.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, mpsc};
use std::time::{Duration, Instant};

/// The time that the client waits for more of an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// A request as an endpoint received it.
#[derive(Clone, Debug)]
pub struct Received {
    pub head: String,
    pub body: Vec<u8>,
}

/// How an endpoint handles a request.
#[derive(Clone, Debug)]
pub enum Action {
    /// Sends these bytes, with `{id}` replaced by the request's id.
    Send(&'static str),
    /// Sends these bytes and closes the connection.
    SendAndClose(&'static str),
    /// Sends `first` for the first request on a connection, and `repeated` for the others, with the
    /// id of the first request in both.
    Repeat {
        first: &'static str,
        repeated: &'static str,
    },
    /// Sends the parts one by one, each after a delay.
    Trickle(&'static [&'static str], Duration),
    /// Sends these bytes, and then repeats others, with a delay, until the caller closes the
    /// connection.
    Endless {
        start: &'static str,
        filler: &'static str,
        delay: Duration,
    },
    /// Sends these bytes as soon as it has read the head of the request, and after a delay resets the
    /// connection, with the rest of the body unread.
    ResetDuringUpload(&'static str, Duration),
    /// Sends these bytes as soon as it has read the head of the request, ends its side of the
    /// connection, and then reads the body.
    AnswerBeforeBody(&'static str),
    /// Closes the connection.
    Close,
    /// Sends nothing until the caller closes the connection.
    Stall,
}

/// A running endpoint.
pub struct Upstream {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
    disconnects: mpsc::Receiver<Instant>,
}

impl Upstream {
    /// Spawns an endpoint that handles every request in the same way.
    pub fn spawn(address: SocketAddr, action: Action) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let (sender, disconnects) = mpsc::channel();
        let log = Arc::clone(&received);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (log, action, sender) = (Arc::clone(&log), action.clone(), sender.clone());
                std::thread::spawn(move || serve(stream, &log, &action, &sender));
            }
        });
        Self {
            address,
            received,
            disconnects,
        }
    }

    /// The requests received so far.
    pub fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }

    /// Waits until a caller closes the connection of a stalled request or an endless answer, and
    /// returns the time at which it did.
    pub fn wait_for_disconnect(&self) -> Instant {
        self.disconnects
            .recv_timeout(ANSWER_TIMEOUT)
            .expect("the caller did not close the connection")
    }
}

/// Handles the requests of one connection and records them in `log`.
fn serve(
    mut stream: TcpStream,
    log: &Mutex<Vec<Received>>,
    action: &Action,
    disconnects: &mpsc::Sender<Instant>,
) {
    match action {
        Action::ResetDuringUpload(text, delay) => {
            answer_before_body(&mut stream, log, text);
            // Closing with unread bytes resets the connection.
            return std::thread::sleep(*delay);
        }
        Action::AnswerBeforeBody(text) => {
            answer_before_body(&mut stream, log, text);
            stream.shutdown(Shutdown::Write).unwrap();
            let mut buffer = [0; 4096];
            while matches!(stream.read(&mut buffer), Ok(1..)) {}
            return;
        }
        _ => {}
    }
    let mut first_id: Option<String> = None;
    while let Some(received) = read_request(&mut stream) {
        let id = header(&received.head, "x-nutmegyoke-request-id");
        log.lock().unwrap().push(received);
        let fill_in_id = |text: &str| text.replace("{id}", &id);
        match action {
            Action::Repeat { first, repeated } => {
                let text = match &first_id {
                    None => fill_in_id(first),
                    Some(first_id) => repeated.replace("{id}", first_id),
                };
                // The caller may have closed the connection already.
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                first_id.get_or_insert(id);
            }
            Action::Send(text) => stream.write_all(fill_in_id(text).as_bytes()).unwrap(),
            Action::SendAndClose(text) => {
                stream.write_all(fill_in_id(text).as_bytes()).unwrap();
                return;
            }
            Action::Trickle(parts, delay) => {
                for part in *parts {
                    std::thread::sleep(*delay);
                    if stream.write_all(fill_in_id(part).as_bytes()).is_err() {
                        return;
                    }
                }
            }
            Action::Endless {
                start,
                filler,
                delay,
            } => {
                stream.write_all(fill_in_id(start).as_bytes()).unwrap();
                while stream.write_all(filler.as_bytes()).is_ok() {
                    std::thread::sleep(*delay);
                }
                let _ = disconnects.send(Instant::now());
                return;
            }
            Action::ResetDuringUpload(..) | Action::AnswerBeforeBody(_) | Action::Close => return,
            Action::Stall => {
                let mut byte = [0];
                while matches!(stream.read(&mut byte), Ok(1..)) {}
                let _ = disconnects.send(Instant::now());
                return;
            }
        }
    }
}

/// Answers a request before its body has come.
fn answer_before_body(stream: &mut TcpStream, log: &Mutex<Vec<Received>>, text: &str) {
    if let Some((head, body)) = read_head(stream) {
        let id = header(&head, "x-nutmegyoke-request-id");
        log.lock().unwrap().push(Received { head, body });
        let _ = stream.write_all(text.replace("{id}", &id).as_bytes());
    }
}

/// Reads the head of a request, and the part of the body that comes with it. `None` if the
/// connection closes first.
fn read_head(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    loop {
        if let Some(at) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            let body = bytes.split_off(at + 4);
            return Some((String::from_utf8(bytes).unwrap(), body));
        }
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Reads a request with a `Content-Length`, or one without a body. `None` if the
/// connection closes first.
pub fn read_request(stream: &mut TcpStream) -> Option<Received> {
    let (head, mut body) = read_head(stream)?;
    let length: usize = header(&head, "content-length").parse().unwrap_or(0);
    while body.len() < length {
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => body.extend_from_slice(&buffer[..count]),
        }
    }
    Some(Received { head, body })
}

/// Returns the value of a header, empty if it is missing.
pub fn header(head: &str, name: &str) -> String {
    let headers = head.lines().filter_map(|line| line.split_once(':'));
    let mut matching = headers.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    let value = matching.next().map(|(_, value)| value.trim().to_owned());
    value.unwrap_or_default()
}

/// The answer that a client received.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    /// The bytes received after the head, decoded if the transfer encoding is chunked.
    pub body: Vec<u8>,
    /// Whether the body has the length that its framing declares.
    pub complete: bool,
}

/// Sends the bytes on a new connection and reads the answer until it is complete or the
/// connection closes.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> Answer {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(bytes).unwrap();
    read_answer(&mut stream).expect("the connection closed before the end of the answer's head")
}

/// Reads an answer until it is complete or the connection closes; `None` if the connection
/// closes before the end of its head.
pub fn read_answer(stream: &mut TcpStream) -> Option<Answer> {
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    let mut raw = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        if let Some(answer) = parse_answer(&raw, false) {
            return Some(answer);
        }
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => raw.extend_from_slice(&buffer[..count]),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => break,
            Err(error) => panic!("cannot read the answer: {error}"),
        }
    }
    parse_answer(&raw, true)
}

/// Sends the bytes on a new connection and closes it after `delay`.
pub fn send_and_disconnect(address: SocketAddr, bytes: &[u8], delay: Duration) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(bytes).unwrap();
    std::thread::sleep(delay);
    stream.shutdown(Shutdown::Both).unwrap();
}

/// Parses the answer in `raw`, `None` if it is incomplete and the connection is open.
pub fn parse_answer(raw: &[u8], closed: bool) -> Option<Answer> {
    let end = raw.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    let head = String::from_utf8(raw[..end].to_vec()).unwrap();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    let rest = &raw[end..];
    let (body, complete) = if header(&head, "transfer-encoding").is_empty() {
        let length = header(&head, "content-length").parse().unwrap_or(0);
        (rest.to_vec(), rest.len() >= length)
    } else {
        decode_chunks(rest)
    };
    (complete || closed).then_some(Answer {
        status,
        head,
        body,
        complete,
    })
}

/// Decodes the chunked transfer encoding. Returns the body and whether it is complete.
fn decode_chunks(mut rest: &[u8]) -> (Vec<u8>, bool) {
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

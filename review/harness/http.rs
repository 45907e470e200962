//! A small HTTP/1.1 client for one exchange on a connection.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// An answer as far as it was received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The status; 0 if there was no complete head.
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body came to its stated end.
    pub complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then_some(value.trim())
        })
    }
}

/// Connects with a limit.
pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Reads one answer, until `deadline` at most.
pub fn read_answer(stream: &mut TcpStream, deadline: Instant) -> Answer {
    let mut bytes = Vec::new();
    let mut answer = Answer::default();
    loop {
        if let Some(end) = find(&bytes, b"\r\n\r\n") {
            answer.head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let status = answer.head.split(' ').nth(1);
            answer.status = status.and_then(|text| text.parse().ok()).unwrap_or(0);
            bytes.drain(..end + 4);
            break;
        }
        if !fill(stream, &mut bytes, deadline) {
            return answer;
        }
    }
    let length: Option<usize> = answer
        .header("content-length")
        .and_then(|text| text.parse().ok());
    let chunked = answer.header("transfer-encoding") == Some("chunked");
    loop {
        if let Some(length) = length {
            if bytes.len() >= length {
                bytes.truncate(length);
                answer.complete = true;
                break;
            }
        } else if chunked {
            if let Some(body) = decode_chunks(&bytes) {
                answer.body = body;
                answer.complete = true;
                return answer;
            }
        }
        if !fill(stream, &mut bytes, deadline) {
            break;
        }
    }
    answer.body = bytes;
    answer
}

/// Sends `request` on a new connection and reads the answer.
pub fn exchange(address: SocketAddr, request: &[u8], timeout: Duration) -> Answer {
    let deadline = Instant::now() + timeout;
    let sent = connect(address, timeout.min(Duration::from_secs(1))).and_then(|mut stream| {
        stream.write_all(request)?;
        Ok(stream)
    });
    match sent {
        Ok(mut stream) => read_answer(&mut stream, deadline),
        Err(_) => Answer::default(),
    }
}

/// Makes a call to a registrar.
pub fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> Answer {
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    exchange(address, request.as_bytes(), Duration::from_millis(2500))
}

/// Reads more bytes; false at the end, on a failure and after `deadline`.
pub fn fill(stream: &mut TcpStream, bytes: &mut Vec<u8>, deadline: Instant) -> bool {
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
        return false;
    }
    let mut buffer = [0; 16 * 1024];
    match stream.read(&mut buffer) {
        Ok(0) | Err(_) => false,
        Ok(length) => {
            bytes.extend_from_slice(&buffer[..length]);
            true
        }
    }
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// The body of a chunked answer; `None` if its last chunk is missing.
fn decode_chunks(mut bytes: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = find(bytes, b"\r\n")?;
        let size = std::str::from_utf8(&bytes[..line]).ok()?;
        let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
        bytes = bytes.get(line + 2..)?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(bytes.get(..size)?);
        bytes = bytes.get(size + 2..)?;
    }
}

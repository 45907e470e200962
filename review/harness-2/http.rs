//! HTTP/1.1 messages over blocking sockets.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        let mut words = self.start.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// The method and the path of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn open(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> Result<usize> {
        let mut part = [0; 16 * 1024];
        let bytes = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..bytes]);
        Ok(bytes)
    }

    fn more(&mut self) -> Result<()> {
        match self.fill()? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    fn take(&mut self, bytes: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < bytes {
            self.more()?;
        }
        Ok(self.buffer.drain(..bytes).collect())
    }

    fn line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.more()?;
        }
    }

    /// Reads the head of the next message; `None` if the connection ended before it.
    pub fn head(&mut self) -> Result<Option<Message>> {
        if self.buffer.is_empty() && self.fill()? == 0 {
            return Ok(None);
        }
        let mut message = Message {
            start: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            let (name, value) = line.split_once(':').ok_or(ErrorKind::InvalidData)?;
            let header = (name.trim().to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
    }

    /// Reads the next part of a body; `None` at its end.
    pub fn part(&mut self, message: &Message, read: &mut usize) -> Result<Option<Vec<u8>>> {
        let chunked = message.header("transfer-encoding").is_some();
        if chunked {
            let size = self.line()?;
            let size = usize::from_str_radix(size.trim(), 16);
            let size = size.map_err(|_| Error::from(ErrorKind::InvalidData))?;
            let part = self.take(size)?;
            self.line()?;
            return Ok((size > 0).then_some(part));
        }
        let length = message.header("content-length");
        let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        if *read >= length {
            return Ok(None);
        }
        while self.buffer.is_empty() {
            self.more()?;
        }
        let part = self.take(self.buffer.len().min(length - *read))?;
        *read += part.len();
        Ok(Some(part))
    }

    /// Reads the next message; `None` if the connection ended before it.
    pub fn message(&mut self) -> Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        let mut read = 0;
        while let Some(part) = self.part(&message, &mut read)? {
            message.body.extend_from_slice(&part);
        }
        Ok(Some(message))
    }
}

/// A message with a body of known length.
pub fn encode(start: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{start}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a new connection and reads the answer.
pub fn call(
    address: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    stream.write_all(&encode(start, headers, body))?;
    let answer = Reader::open(stream).message()?;
    answer.ok_or_else(|| ErrorKind::UnexpectedEof.into())
}

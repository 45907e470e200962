//! A small HTTP/1.1 client and server, enough for the stand-ins of the cases.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The head and the body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The first header of this name; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// The second word of the first line: the path of a request, the status of a response.
    pub fn word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word().parse().unwrap_or(0)
    }
}

/// Reads one message with a length or in chunks; `None` at the end of the connection.
pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        message
            .headers
            .push((name.to_owned(), value.trim().to_owned()));
    }
    if message
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        loop {
            line.clear();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else {
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Sends one request on a new connection and reads the response.
pub fn call(
    address: SocketAddr,
    line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(timeout))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(&encode(&format!("{line} HTTP/1.1"), headers, body))?;
    let response = read(&mut BufReader::new(stream))?;
    response.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Encodes a message with its length.
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

/// What a server does with one request: the bytes of its response. No bytes, and a response with
/// `Connection: close`, close the connection.
pub type Handler = Arc<dyn Fn(&Message) -> Vec<u8> + Send + Sync>;

/// A server whose process can end.
pub struct Listening {
    address: SocketAddr,
    ended: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Listening {
    /// Ends the server as the end of its process does: nothing listens any more, and all
    /// connections close.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which then closes the listening socket.
        let _ = TcpStream::connect(self.address);
        for stream in self.open.lock().unwrap().iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves requests at `address`, each connection on a thread of its own.
pub fn serve(address: SocketAddr, handler: Handler) -> io::Result<Listening> {
    let listener = TcpListener::bind(address)?;
    let ended = Arc::new(AtomicBool::new(false));
    let open = Arc::new(Mutex::new(Vec::new()));
    let listening = Listening {
        address,
        ended: Arc::clone(&ended),
        open: Arc::clone(&open),
    };
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if ended.load(Ordering::SeqCst) {
                return;
            }
            if let Ok(stream) = stream.try_clone() {
                open.lock().unwrap().push(stream);
            }
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = serve_connection(stream, &handler);
            });
        }
    });
    Ok(listening)
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read(&mut reader)? {
        let response = handler(&request);
        if response.is_empty() {
            return Ok(());
        }
        stream.write_all(&response)?;
        let closes = b"\r\nConnection: close\r\n";
        if response.windows(closes.len()).any(|part| part == closes) {
            return stream.shutdown(Shutdown::Both);
        }
    }
    Ok(())
}

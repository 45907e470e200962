//! Replies of engines to calls of nutmegyoke itself.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;

use nutmegyoke_cases::cases;
use nutmegyoke_host::connection::reply::{self, Failure, MAX_REPLY_BYTES};

/// Sends a reply without end to one request: `start`, and then `filler` again and again. Afterwards it
/// sends the number of bytes that it could send.
fn spawn_endless(start: &'static str, filler: &str) -> (SocketAddr, mpsc::Receiver<usize>) {
    let chunk = filler.repeat(16 * 1024 / filler.len()).into_bytes();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, sent) = mpsc::channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]);
        stream.write_all(start.as_bytes()).unwrap();
        let mut count = 0;
        while stream.write_all(&chunk).is_ok() {
            count += chunk.len();
        }
        let _ = sender.send(count);
    });
    (address, sent)
}

/// A steward would read until its timeout, and keep hundreds of megabytes.
fn endless_reply_is_not_read_to_its_end(start: &'static str, filler: &str) {
    let (address, sent) = spawn_endless(start, filler);
    let runtime = compio::runtime::Runtime::new().unwrap();
    let result = runtime.block_on(async {
        let client = cyper::Client::new().unwrap();
        let request = client.get(format!("http://{address}/report")).unwrap();
        reply::read(request.send().await?).await
    });
    let is_whole_head = start.ends_with("\r\n\r\n");
    assert_eq!(matches!(result, Err(Failure::TooLong)), is_whole_head);
    assert!(result.is_err());
    drop(runtime);
    let sent = sent.recv().unwrap();
    // What is not read yet fills the buffers of the sockets.
    assert!(sent < MAX_REPLY_BYTES + 16 * 1024 * 1024, "{sent} bytes");
}

cases!(endless_reply_is_not_read_to_its_end {
    body: ("HTTP/1.1 200 OK\r\n\r\n", "a"),
    line_in_a_head: ("HTTP/1.1 200 OK\r\nX-Fill: ", "a"),
    lines_in_a_head: ("HTTP/1.1 200 OK\r\n", "X-A: b\r\n"),
    bytes_that_are_no_head: ("", "a"),
});

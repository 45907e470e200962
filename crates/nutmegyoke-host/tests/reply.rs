//! Replies of engines to calls of nutmegyoke itself.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;

use nutmegyoke_host::connection::reply::{self, Failure, MAX_REPLY_BYTES};

/// Sends a reply without end to one request, and then the number of bytes that it could send.
fn spawn_endless() -> (SocketAddr, mpsc::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, sent) = mpsc::channel();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]);
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").unwrap();
        let chunk = [b'a'; 16 * 1024];
        let mut count = 0;
        while stream.write_all(&chunk).is_ok() {
            count += chunk.len();
        }
        let _ = sender.send(count);
    });
    (address, sent)
}

/// A steward would read until its timeout, and keep hundreds of megabytes.
#[test]
fn endless_reply_is_not_read_to_its_end() {
    let (address, sent) = spawn_endless();
    let runtime = compio::runtime::Runtime::new().unwrap();
    let result = runtime.block_on(async {
        let client = cyper::Client::new().unwrap();
        let request = client.get(format!("http://{address}/report")).unwrap();
        reply::read(request.send().await.unwrap()).await
    });
    assert!(matches!(result, Err(Failure::TooLong)), "{result:?}");
    drop(runtime);
    let sent = sent.recv().unwrap();
    // What is not read yet fills the buffers of the sockets.
    assert!(sent < MAX_REPLY_BYTES + 16 * 1024 * 1024, "{sent} bytes");
}

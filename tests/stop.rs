//! The planned stop of a gateway process: what becomes of requests that it has read.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use nutmegyoke_cases::cases;
use support::gateway::{Gateway, OK_RESPONSE, config};
use support::upstream::{Action, Answer, Upstream, header, read_answer};

/// The drain limit of the gateways, after which they end.
const DRAIN_LIMIT: Duration = Duration::from_secs(6);

/// A moment of the stop at which the gateway no longer accepts connections.
const LATE: Duration = Duration::from_millis(3500);

const SLOW_RESPONSE: [&str; 2] = [
    "",
    "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\n\
     X-Nutmegyoke-Server-Stamp: s1\r\nContent-Length: 6\r\n\r\nbooked",
];

/// A gateway whose routes let requests run longer than its drain limit, and its only endpoint.
fn spawn(action: Action) -> (Gateway, Upstream) {
    let gateway = Gateway::spawn_with(&format!("drain-limit-s = {}", DRAIN_LIMIT.as_secs()));
    let mut document = config(1);
    for route in document["routes"].as_array_mut().unwrap() {
        route["timeout-ms"] = 30_000.into();
    }
    let upstream = gateway.serve(&document, &[action]).remove(0);
    (gateway, upstream)
}

/// A client's request with a body of five bytes.
fn request(path: &str, id: &str, deadline: Duration) -> Vec<u8> {
    let deadline = deadline.as_millis();
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: desk.example\r\nX-Nutmegyoke-Request-Id: {id}\r\n\
         X-Nutmegyoke-Deadline-Ms: {deadline}\r\nContent-Length: 5\r\n\r\nlot-7"
    );
    head.into_bytes()
}

/// A connection on which the first `sent` bytes of a request were sent.
fn begin(gateway: &Gateway, request: &[u8], sent: usize) -> TcpStream {
    let mut stream = TcpStream::connect(gateway.clients).unwrap();
    stream.write_all(&request[..sent]).unwrap();
    stream
}

/// The code of a refusal.
fn code(answer: &Answer) -> String {
    let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    body["error"]["code"].as_str().unwrap().to_owned()
}

/// Waits until `after` the `start`.
fn wait_until(start: Instant, after: Duration) {
    std::thread::sleep(after.saturating_sub(start.elapsed()));
}

/// Requests that were read late in a stop were passed on, and cut off at its end.
fn late_request_that_may_outlast_the_stop_is_refused(path: &str) {
    let (gateway, upstream) = spawn(Action::Stall);
    let running = request("/book/1", "running", 5 * DRAIN_LIMIT);
    let _running = begin(&gateway, &running, running.len());
    let late = request(path, "late", 5 * DRAIN_LIMIT);
    let mut stream = begin(&gateway, &late, 20);
    std::thread::sleep(Duration::from_millis(200));
    gateway.daemon.terminate();
    let start = Instant::now();
    wait_until(start, LATE);
    stream.write_all(&late[20..]).unwrap();
    let answer = read_answer(&mut stream).expect("no answer");
    assert!(start.elapsed() < LATE + Duration::from_millis(500));
    assert_eq!((answer.status, answer.complete), (503, true));
    assert_eq!(code(&answer), "draining");
    assert_eq!(header(&answer.head, "connection"), "close");
    assert_eq!(upstream.received().len(), 1);
}

cases!(late_request_that_may_outlast_the_stop_is_refused {
    booking: ("/book/1"),
    look_up: ("/look/1"),
    stream: ("/chat/1"),
});

/// A late request that ends before the stop does is served.
#[test]
fn late_request_with_a_short_deadline_is_served() {
    let (mut gateway, upstream) = spawn(Action::Send(OK_RESPONSE));
    let late = request("/book/1", "late", Duration::from_secs(1));
    let mut stream = begin(&gateway, &late, late.len() - 2);
    std::thread::sleep(Duration::from_millis(200));
    gateway.daemon.terminate();
    wait_until(Instant::now(), LATE);
    stream.write_all(b"-7").unwrap();
    let answer = read_answer(&mut stream).expect("no answer");
    assert_eq!((answer.status, answer.complete), (200, true));
    assert_eq!(upstream.received().len(), 1);
    assert_eq!(gateway.daemon.wait(), Some(0));
}

/// Requests that still ran at the end of a stop were cut off without an answer.
#[test]
fn request_that_outlasts_the_stop_is_answered_as_possibly_run() {
    let (mut gateway, _upstream) = spawn(Action::Stall);
    let running = request("/book/1", "running", 5 * DRAIN_LIMIT);
    let mut stream = begin(&gateway, &running, running.len());
    std::thread::sleep(Duration::from_millis(200));
    gateway.daemon.terminate();
    let start = Instant::now();
    let answer = read_answer(&mut stream).expect("no answer");
    assert!(start.elapsed() < DRAIN_LIMIT);
    assert_eq!((answer.status, answer.complete), (502, true));
    assert_eq!(code(&answer), "draining");
    assert_eq!(gateway.daemon.wait(), Some(0));
}

/// The process ended while a request that it had begun to read was not answered yet.
#[test]
fn request_that_is_being_read_is_answered_before_the_process_ends() {
    let (mut gateway, _upstream) =
        spawn(Action::Trickle(&SLOW_RESPONSE, Duration::from_millis(300)));
    let request = request("/book/1", "slow", Duration::from_secs(1));
    let mut stream = begin(&gateway, &request, request.len() - 2);
    std::thread::sleep(Duration::from_millis(200));
    gateway.daemon.terminate();
    wait_until(Instant::now(), LATE);
    stream.write_all(b"-7").unwrap();
    let answer = read_answer(&mut stream).expect("no answer");
    assert_eq!(
        (answer.status, answer.body.as_slice()),
        (200, &b"booked"[..])
    );
    let mut rest = Vec::new();
    assert_eq!(stream.read_to_end(&mut rest).unwrap_or(0), 0);
    assert_eq!(gateway.daemon.wait(), Some(0));
}

//! A gateway process between a plain client and scripted endpoints, with the formats of the
//! users' platform.

mod support;

use std::process::Command;
use std::time::{Duration, Instant};

use nutmegyoke_cases::cases;
use serde_json::json;
use support::gateway::{
    ERROR_RESPONSE, Gateway, NOT_EXECUTED_RESPONSE, OK_RESPONSE, call, config, poll_until,
    request_bytes,
};
use support::upstream::{Action, Upstream, exchange, header, send_and_disconnect};
use support::{Daemon, free_address};

#[test]
fn request_and_answer_pass_through_unchanged() {
    let (gateway, upstreams) = Gateway::spawn_with_endpoints(&[Action::Send(OK_RESPONSE)]);
    let answer = gateway.request("/book/1?when=now", "r1");
    assert_eq!(
        (answer.status, answer.body.as_slice()),
        (200, b"booked".as_slice())
    );
    assert_eq!(header(&answer.head, "x-nutmegyoke-server-stamp"), "s1");
    let received = &upstreams[0].received()[0];
    assert!(
        received
            .head
            .starts_with("POST /book/1?when=now HTTP/1.1\r\n")
    );
    assert_eq!(received.body, b"lot-7");
    assert_eq!(header(&received.head, "x-nutmegyoke-request-id"), "r1");
    assert_eq!(header(&received.head, "x-custom"), "kept");
    assert_eq!(
        header(&received.head, "x-nutmegyoke-expect-instance"),
        "i-1"
    );
    let remaining_ms: u64 = header(&received.head, "x-nutmegyoke-deadline-ms")
        .parse()
        .unwrap();
    assert!((1000..=1500).contains(&remaining_ms), "{remaining_ms}");
}

/// Sends requests to two endpoints, one that handles them with `action` and one that
/// succeeds. Checks that each answer is a success or has `status`, and whether requests were
/// retried at the other endpoint: `attempts` is 1 or 2.
fn retries_only_when_safe(path: &str, action: &Action, status: u16, attempts: usize) {
    let (gateway, mut upstreams) = Gateway::spawn_with_endpoints(std::slice::from_ref(action));
    let first = gateway.request(path, "r1");
    if first.status == status && attempts == 1 {
        assert_eq!(upstreams[0].received().len(), 1);
    }
    upstreams.push(Upstream::spawn(free_address(), Action::Send(OK_RESPONSE)));
    gateway.announce(2, upstreams[1].address, 1);
    // Either endpoint may be chosen first.
    for number in 0..40 {
        let answer = gateway.request(path, &format!("again-{number}"));
        let succeeded = answer.status == 200 && answer.body == b"booked";
        assert!(succeeded || answer.status == status, "{answer:?}");
        assert!(answer.complete);
    }
    let received_ids = |upstream: &Upstream| -> Vec<String> {
        let received = upstream.received();
        let ids = received.iter();
        ids.map(|received| header(&received.head, "x-nutmegyoke-request-id"))
            .filter(|id| id.starts_with("again"))
            .collect()
    };
    let [first_ids, second_ids] = [received_ids(&upstreams[0]), received_ids(&upstreams[1])];
    let retried = first_ids
        .iter()
        .filter(|id| second_ids.contains(id))
        .count();
    assert_eq!(retried > 0, attempts > 1, "{first_ids:?} {second_ids:?}");
}

cases!(retries_only_when_safe {
    refused_booking_is_retried: ("/book/1", &Action::Send(NOT_EXECUTED_RESPONSE), 503, 2),
    unanswered_booking_is_not_retried: ("/book/1", &Action::Close, 502, 1),
    failed_booking_is_passed_through: ("/book/1", &Action::Send(ERROR_RESPONSE), 500, 1),
    unanswered_lookup_is_retried: ("/look/1", &Action::Close, 502, 2),
    failed_lookup_is_retried: ("/look/1", &Action::Send(ERROR_RESPONSE), 500, 2),
    booking_with_truncated_answer_is_not_retried: (
        "/book/1",
        &Action::SendAndClose(
            "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\nX-Nutmegyoke-Server-Stamp: s1\r\n\
             Content-Length: 9\r\n\r\nbook"
        ),
        502,
        1
    ),
    booking_with_answer_to_another_request_is_not_retried: (
        "/book/1",
        &Action::Send(
            "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: other\r\nX-Nutmegyoke-Server-Stamp: s1\r\n\
             Content-Length: 6\r\n\r\nbooked"
        ),
        502,
        1
    ),
    malformed_answer_is_not_passed_through: (
        "/book/1",
        &Action::SendAndClose("lorry\r\n\r\n"),
        502,
        1
    ),
    unavailable_without_not_executed_header_is_not_passed_through: (
        "/book/1",
        &Action::Send(
            "HTTP/1.1 503 Service Unavailable\r\nX-Nutmegyoke-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        ),
        502,
        1
    ),
});

#[test]
fn stalled_request_fails_at_the_timeout_of_its_route() {
    let (gateway, upstreams) = Gateway::spawn_with_endpoints(&[Action::Stall]);
    let start = Instant::now();
    let answer = gateway.request("/book/1", "r1");
    assert_eq!(answer.status, 504);
    let took = start.elapsed();
    assert!((1400..1900).contains(&took.as_millis()), "{took:?}");
    upstreams[0].wait_for_disconnect();
}

#[test]
fn client_disconnect_cancels_the_request_at_the_endpoint() {
    let (gateway, upstreams) = Gateway::spawn_with_endpoints(&[Action::Stall]);
    send_and_disconnect(
        gateway.clients,
        &request_bytes("/book/1", "r1"),
        Duration::from_millis(300),
    );
    let disconnected = Instant::now();
    let cancelled = upstreams[0].wait_for_disconnect();
    assert!(cancelled.saturating_duration_since(disconnected) < Duration::from_millis(400));
}

/// A stream of two events.
const STREAM_PARTS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\nX-Nutmegyoke-Server-Stamp: s1\r\nContent-Type: text/event-stream\r\n\
     Transfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n",
    "9\r\ndata: 2\n\n\r\n",
    "0\r\n\r\n",
];

#[test]
fn streamed_events_are_passed_through() {
    let delay = Duration::from_millis(300);
    let (gateway, _upstreams) =
        Gateway::spawn_with_endpoints(&[Action::Trickle(&STREAM_PARTS, delay)]);
    let answer = gateway.request("/chat/1", "r1");
    assert!(answer.complete);
    assert_eq!(answer.body, b"data: 1\n\ndata: 2\n\n");
}

#[test]
fn truncated_stream_is_incomplete_for_the_client() {
    let parts = Action::SendAndClose(STREAM_PARTS[0]);
    let (gateway, _upstreams) = Gateway::spawn_with_endpoints(&[parts]);
    let answer = gateway.request("/chat/1", "r1");
    assert_eq!(answer.status, 200);
    assert!(!answer.complete, "{answer:?}");
}

/// The head of an answer without a length, which ends with its connection.
macro_rules! unframed {
    ($content_type:literal, $body:literal) => {
        concat!(
            "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\nX-Nutmegyoke-Server-Stamp: s1\r\n",
            "Content-Type: ",
            $content_type,
            "\r\n\r\n",
            $body
        )
    };
}

/// An answer without a length is complete if its connection ends in an orderly way, unless
/// that cuts an event off.
fn unframed_answer_is_passed_through(path: &str, answer: &'static str, body: &str, complete: bool) {
    let (gateway, _upstreams) = Gateway::spawn_with_endpoints(&[Action::SendAndClose(answer)]);
    for number in 0..2 {
        let answer = gateway.request(path, &format!("r{number}"));
        assert_eq!(answer.status, 200);
        assert_eq!(String::from_utf8(answer.body).unwrap(), body);
        assert_eq!(answer.complete, complete);
    }
}

cases!(unframed_answer_is_passed_through {
    booking: ("/book/1", unframed!("text/plain", "booked"), "booked", true),
    empty_booking: ("/book/1", unframed!("text/plain", ""), "", true),
    stream: (
        "/chat/1",
        unframed!("text/event-stream", "data: 1\n\ndata: 2\n\n"),
        "data: 1\n\ndata: 2\n\n",
        true
    ),
    stream_that_ends_inside_an_event: (
        "/chat/1",
        unframed!("text/event-stream", "data: 1\n\ndata: "),
        "data: 1\n\ndata: ",
        false
    ),
    stream_that_ends_after_a_line_of_an_event: (
        "/chat/1",
        unframed!("text/event-stream", "data: 1\n\nid: 2\n"),
        "data: 1\n\nid: 2\n",
        false
    ),
});

#[test]
fn gateway_without_a_document_refuses_requests_and_is_not_ready() {
    let gateway = Gateway::spawn();
    assert_eq!(call(gateway.health, "GET", "/ready", b"").status, 503);
    let answer = gateway.request("/book/1", "r1");
    assert_eq!(answer.status, 503);
    assert_eq!(header(&answer.head, "retry-after"), "0.250");
}

#[test]
fn unknown_path_is_refused_without_retry_after() {
    let (gateway, _upstreams) = Gateway::spawn_with_endpoints(&[Action::Send(OK_RESPONSE)]);
    let answer = gateway.request("/pay/1", "r1");
    assert_eq!(answer.status, 404);
    assert_eq!(header(&answer.head, "retry-after"), "");
}

#[test]
fn newest_document_is_returned_verbatim() {
    let gateway = Gateway::spawn();
    gateway.publish(&config(7));
    // A document with an older or the same version is acknowledged and has no effect.
    gateway.publish(&config(3));
    let mut other = config(7);
    other["kept-as-it-is"] = json!("changed");
    gateway.publish(&other);
    let read = call(gateway.registrar, "GET", "/config", b"");
    assert_eq!(read.status, 200);
    assert_eq!(read.body, config(7).to_string().into_bytes());
}

fn refuses(method: &str, path: &str, body: &[u8], status: u16) {
    let gateway = Gateway::spawn();
    gateway.publish(&config(1));
    assert_eq!(call(gateway.registrar, method, path, body).status, status);
    let read = call(gateway.registrar, "GET", "/config", b"");
    assert_eq!(
        read.body,
        config(1).to_string().into_bytes(),
        "the document must not change"
    );
}

cases!(refuses {
    truncated_document: ("PUT", "/config", b"{\"version\":9,\"routes\":[", 400),
    heartbeat_that_is_not_json: ("PUT", "/instances/i-9", b"\xff\x00", 400),
    heartbeat_without_fields: ("PUT", "/instances/i-9", b"{}", 400),
    deregistration_of_an_unknown_endpoint: ("DELETE", "/instances/i-9", b"", 503),
    unsupported_method: ("POST", "/config", b"", 404),
});

#[test]
fn deregistered_endpoint_receives_no_requests() {
    let (gateway, upstreams) = Gateway::spawn_with_endpoints(&[Action::Send(OK_RESPONSE)]);
    assert_eq!(
        call(gateway.registrar, "DELETE", "/instances/i-1", b"").status,
        200
    );
    assert_eq!(gateway.request("/book/1", "r1").status, 503);
    // A late heartbeat has no effect.
    gateway.announce(1, upstreams[0].address, 2);
    assert_eq!(gateway.request("/book/1", "r2").status, 503);
}

#[test]
fn sighup_does_not_interrupt_requests_in_flight() {
    let delay = Duration::from_millis(400);
    let (gateway, _upstreams) =
        Gateway::spawn_with_endpoints(&[Action::Trickle(&STREAM_PARTS, delay)]);
    let clients = gateway.clients;
    let stream = std::thread::spawn(move || exchange(clients, &request_bytes("/chat/1", "r1")));
    std::thread::sleep(delay * 2);
    for _ in 0..5 {
        gateway.daemon.signal("HUP");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(stream.join().unwrap().complete);
    assert_eq!(call(gateway.health, "GET", "/ready", b"").status, 200);
}

#[test]
fn sigterm_completes_requests_in_flight() {
    let delay = Duration::from_millis(400);
    let (mut gateway, _upstreams) =
        Gateway::spawn_with_endpoints(&[Action::Trickle(&STREAM_PARTS, delay)]);
    let clients = gateway.clients;
    let stream = std::thread::spawn(move || exchange(clients, &request_bytes("/chat/1", "r1")));
    std::thread::sleep(delay * 2);
    gateway.daemon.terminate();
    poll_until(
        || call(gateway.health, "GET", "/ready", b""),
        |answer| answer.status == 503,
    );
    assert!(stream.join().unwrap().complete);
    assert_eq!(gateway.daemon.wait(), Some(0));
}

#[test]
fn document_survives_a_restart_after_a_kill() {
    let mut gateway = Gateway::spawn();
    gateway.publish(&config(5));
    gateway.daemon.kill();
    let path = gateway.folder.path().join("front.ini");
    let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoked"));
    command.arg("--settings").arg(path);
    gateway.daemon = Daemon::spawn(command, "\"gateway\"");
    let get = || call(gateway.registrar, "GET", "/config", b"");
    let read = poll_until(get, |answer| answer.status == 200);
    assert_eq!(read.body, config(5).to_string().into_bytes());
}

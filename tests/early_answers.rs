//! A gateway process in front of endpoints that answer before they have read the request's body.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use nutmegyoke_cases::cases;
use support::gateway::Gateway;
use support::raw::{RawFleet, request_bytes};
use support::upstream::{Action, Answer, parse_answer};

/// A body that the sockets' buffers between the gateway and the endpoint can't hold.
const BODY_BYTES: usize = 4 * 1024 * 1024;

/// The same for an agent's endpoint.
const AGENT_BODY_BYTES: usize = 7 * 1024 * 1024;

/// How often each case is played, since which side notices the reset first is a race.
const PLAYS: usize = 16;

/// An answer without a length, which would end with its connection.
macro_rules! unframed {
    ($headers:literal, $body:literal) => {
        concat!(
            "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\n\
             X-Nutmegyoke-Server-Stamp: s1\r\n",
            $headers,
            "\r\n",
            $body
        )
    };
}

/// Sends a request and reads its answer until the connection closes.
fn exchange_until_closed(address: SocketAddr, request: &[u8]) -> Option<Answer> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(request).unwrap();
    let mut raw = Vec::new();
    let ended = stream.read_to_end(&mut raw);
    let mut answer = parse_answer(&raw, true)?;
    // An answer without a length or chunks is complete if its connection ends without a reset.
    answer.complete &= ended.is_ok();
    Some(answer)
}

/// Sends a request with a long body to a gateway.
fn upload(gateway: &Gateway, path: &str, id: &str) -> Option<Answer> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: desk.example\r\nX-Nutmegyoke-Request-Id: {id}\r\n\
         X-Nutmegyoke-Deadline-Ms: 4000\r\nContent-Length: {BODY_BYTES}\r\n\
         Connection: close\r\n\r\n"
    );
    let request = [head.as_bytes(), &vec![b'x'; BODY_BYTES]].concat();
    exchange_until_closed(gateway.clients, &request)
}

/// The client got the part of the answer that came before the reset as a complete answer: once the
/// write of the upload has reported the reset, a read reports the end of the connection.
fn answer_reset_during_the_upload_is_not_complete(
    path: &str,
    text: &'static str,
    delay_ms: u64,
    statuses: &[u16],
) {
    let action = Action::ResetDuringUpload(text, Duration::from_millis(delay_ms));
    let (gateway, upstreams) = Gateway::spawn_with_endpoints(&[action]);
    for number in 0..PLAYS {
        let received = upstreams[0].received().len();
        let answer = upload(&gateway, path, &format!("r{number}"));
        // While the endpoint is avoided for its failures, requests are refused as not run.
        if upstreams[0].received().len() == received {
            std::thread::sleep(Duration::from_millis(500));
            continue;
        }
        let answer = answer.expect("no answer");
        assert!(statuses.contains(&answer.status), "{answer:?}");
        let is_success = answer.status == 200;
        assert!(!(is_success && answer.complete), "{answer:?}");
    }
    assert!(!upstreams[0].received().is_empty());
}

/// The endpoint may have run the request, so no other status is true.
const UNKNOWN: &[u16] = &[502];

cases!(answer_reset_during_the_upload_is_not_complete {
    at_once: ("/book/1", unframed!("", "book"), 0, UNKNOWN),
    after_some_time: ("/book/1", unframed!("", "book"), 100, UNKNOWN),
    without_a_body: ("/book/1", unframed!("", ""), 100, UNKNOWN),
    repeatable: ("/look/1", unframed!("", "book"), 100, UNKNOWN),
    of_a_stated_length: (
        "/book/1",
        unframed!("Content-Length: 6\r\n", "book"),
        100,
        UNKNOWN
    ),
    of_chunks: (
        "/book/1",
        unframed!("Transfer-Encoding: chunked\r\n", "4\r\nbook\r\n"),
        100,
        UNKNOWN
    ),
    events_at_once: (
        "/chat/1",
        unframed!(
            "Content-Type: text/event-stream\r\n",
            "data: 1\n\ndata: 2\n\n"
        ),
        0,
        &[200, 502]
    ),
    events_after_some_time: (
        "/chat/1",
        unframed!(
            "Content-Type: text/event-stream\r\n",
            "data: 1\n\ndata: 2\n\n"
        ),
        100,
        &[200, 502]
    ),
});

/// An endpoint may answer early and read on. That the body is still being written then must not make
/// the answer a failure.
fn early_answer_is_complete_once_the_body_is_read(path: &str, text: &'static str) {
    let (gateway, _upstreams) = Gateway::spawn_with_endpoints(&[Action::AnswerBeforeBody(text)]);
    let answer = upload(&gateway, path, "r1").expect("no answer");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.complete);
}

cases!(early_answer_is_complete_once_the_body_is_read {
    buffered: ("/book/1", unframed!("", "booked")),
    events: (
        "/chat/1",
        unframed!(
            "Content-Type: text/event-stream\r\n",
            "data: 1\n\ndata: 2\n\n"
        )
    ),
});

/// An answer of an endpoint beside an agent, which needs no headers of the platform.
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\n\r\nbook";

const UNFRAMED_EVENTS: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: 1\n\ndata: 2\n\n";

/// Sends a request with a long body to an entry.
fn upload_to_entry(fleet: &RawFleet) -> Option<Answer> {
    let body = "x".repeat(AGENT_BODY_BYTES);
    let request = request_bytes("POST", "Nutmegyoke-Repeatable: no\r\n", &body);
    exchange_until_closed(fleet.entry.callers, request.as_bytes())
}

/// The same as at gateways, in an agent's connection to its endpoint.
fn answer_reset_during_the_upload_to_an_agent_is_not_complete(
    text: &'static str,
    delay_ms: u64,
    statuses: &[u16],
) {
    let action = Action::ResetDuringUpload(text, Duration::from_millis(delay_ms));
    let fleet = RawFleet::spawn(action);
    let before = fleet.upstream.received().len();
    for _ in 0..PLAYS {
        let received = fleet.upstream.received().len();
        let answer = upload_to_entry(&fleet);
        if fleet.upstream.received().len() == received {
            std::thread::sleep(Duration::from_millis(500));
            continue;
        }
        let answer = answer.expect("no answer");
        assert!(statuses.contains(&answer.status), "{answer:?}");
        let is_success = answer.status == 200;
        assert!(!(is_success && answer.complete), "{answer:?}");
    }
    assert!(fleet.upstream.received().len() > before);
}

cases!(answer_reset_during_the_upload_to_an_agent_is_not_complete {
    at_once: (UNFRAMED, 0, UNKNOWN),
    after_some_time: (UNFRAMED, 100, UNKNOWN),
    events_at_once: (UNFRAMED_EVENTS, 0, &[200, 502]),
    events_after_some_time: (UNFRAMED_EVENTS, 100, &[200, 502]),
});

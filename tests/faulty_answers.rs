//! A gateway process in front of endpoints whose answers are not what they seem.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;

use nutmegyoke_cases::cases;
use support::gateway::{
    ERROR_RESPONSE, Gateway, NOT_EXECUTED_RESPONSE, OK_RESPONSE, call, config, poll_until,
    request_bytes,
};
use support::upstream::{Action, Answer, Upstream, exchange, header};

/// A refusal that does not say to which request it belongs.
const REFUSAL_WITHOUT_ID: &str = "HTTP/1.1 503 Service Unavailable\r\n\
                                  X-Nutmegyoke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// An answer that does not say to which request it belongs.
const ANSWER_WITHOUT_ID: &str = "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Server-Stamp: s1\r\n\
                                 Content-Length: 6\r\n\r\nbooked";

/// A stream of one event.
const STREAM: &str = "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\n\
                      X-Nutmegyoke-Server-Stamp: s1\r\nContent-Type: text/event-stream\r\n\
                      Transfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n0\r\n\r\n";

/// The answer to an earlier request on a kept connection came once more, in place of that to the
/// next one, which the endpoint runs.
fn repeated_answer_is_not_taken_for_the_next(
    path: &str,
    first: &'static str,
    repeated: &'static str,
) {
    let (gateway, upstreams) = Gateway::spawn_with_endpoints(&[Action::Repeat { first, repeated }]);
    let expected = gateway.request(path, "r0").status;
    assert!(expected == 200 || expected == 503, "{expected}");
    let answer = gateway.request(path, "r1");
    assert_eq!(upstreams[0].received().len(), 2);
    assert_eq!(answer.status, 502, "it may have run: {answer:?}");
    let again = gateway.request(path, "r2");
    assert_eq!(again.status, expected, "on a new connection");
}

cases!(repeated_answer_is_not_taken_for_the_next {
    refusal: ("/book/1", NOT_EXECUTED_RESPONSE, NOT_EXECUTED_RESPONSE),
    refusal_without_id: ("/book/1", NOT_EXECUTED_RESPONSE, REFUSAL_WITHOUT_ID),
    refusal_without_id_of_a_stream: ("/chat/1", NOT_EXECUTED_RESPONSE, REFUSAL_WITHOUT_ID),
    success: ("/book/1", OK_RESPONSE, OK_RESPONSE),
    success_without_id: ("/book/1", OK_RESPONSE, ANSWER_WITHOUT_ID),
    success_without_id_of_a_stream: ("/chat/1", STREAM, ANSWER_WITHOUT_ID),
});

fn ids(upstream: &Upstream) -> Vec<String> {
    let received = upstream.received();
    let ids = received.iter();
    ids.map(|received| header(&received.head, "x-nutmegyoke-request-id"))
        .collect()
}

/// A booking that an endpoint was running was sent to another one as well.
fn booking_runs_once_beside_a_repeated_refusal(repeated: &'static str) {
    let first = OK_RESPONSE;
    let faulty = Action::Repeat { first, repeated };
    let sound = Action::Send(OK_RESPONSE);
    let (gateway, upstreams) = Gateway::spawn_with_endpoints(&[faulty, sound]);
    for number in 0..60 {
        gateway.request("/book/1", &format!("r{number}"));
    }
    let [faulty, sound] = [ids(&upstreams[0]), ids(&upstreams[1])];
    assert!(faulty.len() > 2, "{faulty:?}");
    assert!(
        faulty.iter().all(|id| !sound.contains(id)),
        "{faulty:?} {sound:?}"
    );
}

cases!(booking_runs_once_beside_a_repeated_refusal {
    with_its_id: (NOT_EXECUTED_RESPONSE),
    without_an_id: (REFUSAL_WITHOUT_ID),
});

/// Requests without an id can't be told apart, so their answers can't either.
#[test]
fn requests_without_an_id_share_no_connection() {
    let repeat = Action::Repeat {
        first: ANSWER_WITHOUT_ID,
        repeated: REFUSAL_WITHOUT_ID,
    };
    let (gateway, _upstreams) = Gateway::spawn_with_endpoints(&[repeat]);
    let request = String::from_utf8(request_bytes("/book/1", "r1")).unwrap();
    let request = request.replace("X-Nutmegyoke-Request-Id: r1\r\n", "");
    for _ in 0..3 {
        let answer = exchange(gateway.clients, request.as_bytes());
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

/// The start of a stream whose connection then closes.
const BROKEN_STREAM: &str = "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\n\
                             X-Nutmegyoke-Server-Stamp: s1\r\nContent-Type: text/event-stream\r\n\
                             Transfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n";

/// The routing document of [`config`], in which streams may go on at another endpoint.
fn resumable_config() -> serde_json::Value {
    let mut config = config(2);
    for route in config["routes"].as_array_mut().unwrap() {
        if route["route-type"] == "stream" {
            route["resumable"] = true.into();
            route["max-attempts"] = 3.into();
        }
    }
    config
}

/// The error of the next endpoint followed in the middle of the client's stream, or ended it as
/// if it were complete.
fn broken_stream_is_not_continued_with(next: &Action) {
    let broken = Action::SendAndClose(BROKEN_STREAM);
    let (gateway, upstreams) = Gateway::spawn_with_endpoints(&[broken, next.clone()]);
    gateway.publish(&resumable_config());
    let is_broken = |answer: &Answer| header(&answer.head, "content-type") == "text/event-stream";
    for number in 0..10 {
        let broken_before = upstreams[0].received().len();
        let answer = gateway.request("/chat/1", &format!("r{number}"));
        if upstreams[0].received().len() == broken_before {
            continue;
        }
        assert!(is_broken(&answer), "{answer:?}");
        assert_eq!(String::from_utf8_lossy(&answer.body), "data: 1\n\n");
        assert!(!answer.complete, "{answer:?}");
    }
    assert!(!upstreams[0].received().is_empty());
}

cases!(broken_stream_is_not_continued_with {
    error: (&Action::Send(ERROR_RESPONSE)),
    refusal: (&Action::Send(NOT_EXECUTED_RESPONSE)),
    another_answer: (&Action::Send(OK_RESPONSE)),
    half_a_head: (&Action::SendAndClose("HTTP/1.1 200 OK\r\nX-Nutmegyoke-Req")),
    a_closed_connection: (&Action::Close),
});

/// An answer whose connection closes within its head became a success with an empty or a short
/// body.
fn answer_that_ends_in_its_head_is_a_failure(path: &str, head: &'static str) {
    let (gateway, upstreams) = Gateway::spawn_with_endpoints(&[Action::SendAndClose(head)]);
    for number in 0..2 {
        let answer = gateway.request(path, &format!("r{number}"));
        assert_eq!(answer.status, 502, "{answer:?}");
        assert!(answer.complete);
        assert_eq!(header(&answer.head, "x-nutmegyoke-server-stamp"), "");
        let error: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
        assert_eq!(error["error"]["ran"], "unknown", "{error}");
    }
    assert!(upstreams[0].received().len() >= 2);
}

cases!(answer_that_ends_in_its_head_is_a_failure {
    in_the_status_line: ("/book/1", "HTTP/1.1 200"),
    after_the_status_line: ("/book/1", "HTTP/1.1 200 OK\r\n"),
    in_a_name: (
        "/book/1",
        "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\nContent-Le"
    ),
    in_a_value: (
        "/book/1",
        "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\nX-Nutmegyoke-Server-Stamp: s1\r\n\
         Content-Length: 1"
    ),
    before_the_empty_line: (
        "/book/1",
        "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\nX-Nutmegyoke-Server-Stamp: s1\r\n\
         Content-Length: 6\r\n"
    ),
    of_a_stream: (
        "/chat/1",
        "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\nX-Nutmegyoke-Server-Stamp: s1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
    ),
    of_a_refusal: (
        "/book/1",
        "HTTP/1.1 503 Service Unavailable\r\nX-Nutmegyoke-Request-Id: {id}\r\n\
         X-Nutmegyoke-Not-Executed: 1\r\n"
    ),
    of_a_repeatable_request: (
        "/look/1",
        "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\n"
    ),
});

/// An answer whose connection closes within its body, or whose framing is malformed.
fn answer_cut_in_its_body_is_not_complete(path: &str, answer: &'static str, status: u16) {
    let (gateway, _upstreams) = Gateway::spawn_with_endpoints(&[Action::SendAndClose(answer)]);
    let is_ready = |answer: &Answer| answer.status == 200;
    poll_until(|| call(gateway.health, "GET", "/ready", b""), is_ready);
    let answer = gateway.request(path, "r1");
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(answer.complete, status != 200, "{answer:?}");
}

cases!(answer_cut_in_its_body_is_not_complete {
    of_a_stated_length: (
        "/book/1",
        "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\nX-Nutmegyoke-Server-Stamp: s1\r\n\
         Content-Length: 9\r\n\r\nbook",
        502
    ),
    of_no_byte: (
        "/book/1",
        "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\nX-Nutmegyoke-Server-Stamp: s1\r\n\
         Content-Length: 9\r\n\r\n",
        502
    ),
    of_chunks: (
        "/book/1",
        "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\nX-Nutmegyoke-Server-Stamp: s1\r\n\
         Transfer-Encoding: chunked\r\n\r\n4\r\nbook\r\n",
        502
    ),
    in_the_size_of_a_chunk: (
        "/book/1",
        "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\nX-Nutmegyoke-Server-Stamp: s1\r\n\
         Transfer-Encoding: chunked\r\n\r\n4\r\nbook\r\n0",
        502
    ),
    of_a_stream_of_chunks: ("/chat/1", BROKEN_STREAM, 200),
    of_a_stream_of_a_stated_length: (
        "/chat/1",
        "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\nX-Nutmegyoke-Server-Stamp: s1\r\n\
         Content-Type: text/event-stream\r\nContent-Length: 18\r\n\r\ndata: 1\n\n",
        200
    ),
});

/// HTTP/1.0 has no chunks, so the end of the connection is the end of the answer.
#[test]
fn cut_stream_does_not_look_complete_to_a_client_of_http_1_0() {
    let (gateway, _upstreams) =
        Gateway::spawn_with_endpoints(&[Action::SendAndClose(BROKEN_STREAM)]);
    let request = String::from_utf8(request_bytes("/chat/1", "r1")).unwrap();
    let request = request.replace("HTTP/1.1", "HTTP/1.0");
    let mut stream = TcpStream::connect(gateway.clients).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = Vec::new();
    let ended = stream.read_to_end(&mut answer);
    let answer = String::from_utf8(answer).unwrap();
    let failed = !answer.contains(" 200 OK");
    assert!(ended.is_err() || failed, "{answer}");
}

//! A gateway process in front of an endpoint that sends bytes without end.

mod support;

use std::time::{Duration, Instant};

use nutmegyoke_cases::cases;
use support::gateway::Gateway;
use support::upstream::Action;

/// The memory that reading from one endpoint may take, in KiB.
const MAX_GROWTH_KIB: u64 = 16 * 1024;

/// The time after the answer by which the connection to the endpoint must be closed.
const CLOSE_TIME: Duration = Duration::from_millis(500);

/// A KiB without the end of a line.
const FILLER: &str = include_str!("support/filler.txt");

/// Bytes that come as fast as the gateway reads.
const fn flood(start: &'static str) -> Action {
    Action::Endless {
        start,
        filler: FILLER,
        delay: Duration::ZERO,
    }
}

/// Few bytes at a time.
const fn trickle(start: &'static str) -> Action {
    Action::Endless {
        start,
        filler: "a",
        delay: Duration::from_millis(20),
    }
}

/// An answer of an endpoint; without a length it ends with the connection.
macro_rules! answer {
    ($status:literal, $headers:literal, $body:literal) => {
        concat!(
            "HTTP/1.1 ",
            $status,
            "\r\nX-Nutmegyoke-Request-Id: {id}\r\n",
            $headers,
            "\r\n",
            $body
        )
    };
}

/// A request whose endpoint sends bytes without end gets an answer with `status` within
/// `time`, a complete one unless it is a stream. The connection to the endpoint is closed,
/// and memory does not grow.
fn endless_bytes_end(path: &str, action: &Action, status: u16, time: Duration) {
    let (gateway, upstreams) = Gateway::spawn_with_endpoints(std::slice::from_ref(action));
    let before = gateway.daemon.peak_memory_kib();
    let start = Instant::now();
    let answer = gateway.request(path, "r1");
    let elapsed = start.elapsed();
    assert_eq!(answer.status, status);
    assert_eq!(answer.complete, status != 200 || path == "/book/1");
    assert!(elapsed <= time, "{elapsed:?}");
    let closed = upstreams[0].wait_for_disconnect();
    let late = closed.saturating_duration_since(start + elapsed);
    assert!(late <= CLOSE_TIME, "{late:?} after the answer");
    let growth = gateway.daemon.peak_memory_kib() - before;
    assert!(growth <= MAX_GROWTH_KIB, "{growth} KiB");
}

/// Long before the timeout of the routes, which is 1.5 s.
const SOON: Duration = Duration::from_millis(700);

/// The timeout of the routes, and some time to notice.
const AT_TIMEOUT: Duration = Duration::from_millis(1900);

cases!(endless_bytes_end {
    line_in_a_head: ("/book/1", &flood("HTTP/1.1 200 OK\r\nX-Fill: "), 502, SOON),
    lines_in_a_head: (
        "/book/1",
        &Action::Endless {
            start: "HTTP/1.1 200 OK\r\n",
            filler: "X-A: b\r\n",
            delay: Duration::ZERO,
        },
        502,
        SOON
    ),
    bytes_that_are_no_head: ("/book/1", &flood(""), 502, SOON),
    trickled_head: (
        "/book/1",
        &trickle("HTTP/1.1 200 OK\r\nX-Fill: "),
        504,
        AT_TIMEOUT
    ),
    body: (
        "/book/1",
        &flood(answer!("200 OK", "X-Nutmegyoke-Server-Stamp: s1\r\n", "")),
        502,
        SOON
    ),
    body_without_a_stamp: ("/book/1", &flood(answer!("200 OK", "", "")), 502, SOON),
    trickled_body_without_a_stamp: ("/book/1", &trickle(answer!("200 OK", "", "")), 502, SOON),
    body_of_a_refusal: (
        "/book/1",
        &flood(answer!("503 Full", "X-Nutmegyoke-Not-Executed: 1\r\n", "")),
        503,
        SOON
    ),
    trickled_body_of_a_refusal: (
        "/book/1",
        &trickle(answer!("503 Full", "X-Nutmegyoke-Not-Executed: 1\r\n", "")),
        503,
        SOON
    ),
    body_of_an_error: (
        "/book/1",
        &flood(answer!("500 Oops", "X-Nutmegyoke-Server-Stamp: s1\r\n", "")),
        502,
        SOON
    ),
    event: (
        "/chat/1",
        &Action::Endless {
            start: answer!(
                "200 OK",
                "X-Nutmegyoke-Server-Stamp: s1\r\nContent-Type: text/event-stream\r\n",
                "data: 1\n\ndata: "
            ),
            filler: FILLER,
            delay: Duration::from_micros(50),
        },
        200,
        SOON
    ),
    events: (
        "/chat/1",
        &Action::Endless {
            start: answer!(
                "200 OK",
                "X-Nutmegyoke-Server-Stamp: s1\r\nContent-Type: text/event-stream\r\n",
                ""
            ),
            filler: "data: 1\n\n",
            delay: Duration::from_millis(1),
        },
        200,
        AT_TIMEOUT
    ),
    bytes_after_an_answer: (
        "/book/1",
        &flood(answer!(
            "200 OK",
            "X-Nutmegyoke-Server-Stamp: s1\r\nContent-Length: 6\r\n",
            "booked"
        )),
        200,
        SOON
    ),
});

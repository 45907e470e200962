//! Endpoints whose answers have a status that HTTP doesn't know.

mod support;

use nutmegyoke_cases::cases;
use support::gateway::Gateway;
use support::raw::RawFleet;
use support::upstream::{Action, Answer, header};

/// An answer with this status, as of a sound endpoint otherwise.
macro_rules! answer {
    ($status:literal) => {
        answer!($status, "", "6", "booked")
    };
    ($status:literal, $headers:literal, $length:literal, $body:literal) => {
        concat!(
            "HTTP/1.1 ",
            $status,
            "\r\nX-Nutmegyoke-Request-Id: {id}\r\nX-Nutmegyoke-Server-Stamp: s1\r\n",
            $headers,
            "Content-Length: ",
            $length,
            "\r\n\r\n",
            $body
        )
    };
}

/// The endpoint may have run the request, and its answer is none.
fn check(answer: &Answer) {
    assert_eq!(answer.status, 502, "{answer:?}");
    assert!(answer.complete);
    assert_eq!(header(&answer.head, "x-nutmegyoke-server-stamp"), "");
    let error: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(error["error"]["ran"], "unknown", "{error}");
}

/// The client got an answer with status 000, or another one that is none, as an endpoint's.
fn odd_status_is_no_answer_of_a_gateway(path: &str, text: &'static str) {
    let (gateway, upstreams) = Gateway::spawn_with_endpoints(&[Action::Send(text)]);
    check(&gateway.request(path, "r1"));
    assert!(!upstreams[0].received().is_empty());
}

cases!(odd_status_is_no_answer_of_a_gateway {
    zero: ("/book/1", answer!("000")),
    zero_with_a_reason: ("/book/1", answer!("000 OK")),
    zero_of_a_repeatable_request: ("/look/1", answer!("000")),
    zero_of_a_stream: (
        "/chat/1",
        answer!(
            "000 OK",
            "Content-Type: text/event-stream\r\n",
            "9",
            "data: 1\n\n"
        )
    ),
    zero_of_a_refusal: (
        "/book/1",
        answer!("000", "X-Nutmegyoke-Not-Executed: 1\r\n", "0", "")
    ),
    below_the_first_class: ("/book/1", answer!("099 OK")),
    after_the_last_class: ("/book/1", answer!("600 OK")),
    after_the_last_class_of_a_stream: (
        "/chat/1",
        answer!(
            "600 OK",
            "Content-Type: text/event-stream\r\n",
            "9",
            "data: 1\n\n"
        )
    ),
    highest: ("/book/1", answer!("999 OK")),
    two_digits: ("/book/1", answer!("20 OK")),
    four_digits: ("/book/1", answer!("2000 OK")),
    letters: ("/book/1", answer!("2OO OK")),
    switch_of_protocols: (
        "/book/1",
        answer!(
            "101 Switching Protocols",
            "Connection: upgrade\r\nUpgrade: x\r\n",
            "0",
            ""
        )
    ),
});

/// The same in an answer to an agent.
fn odd_status_is_no_answer_of_an_entry(text: &'static str) {
    let fleet = RawFleet::spawn(Action::SendAndClose(text));
    check(&fleet.request("POST", "", "lot-7"));
}

cases!(odd_status_is_no_answer_of_an_entry {
    zero: (answer!("000")),
    zero_of_a_stream: (answer!(
        "000 OK",
        "Content-Type: text/event-stream\r\n",
        "9",
        "data: 1\n\n"
    )),
    after_the_last_class: (answer!("600 OK")),
    after_the_last_class_of_a_stream: (answer!(
        "600 OK",
        "Content-Type: text/event-stream\r\n",
        "9",
        "data: 1\n\n"
    )),
    highest: (answer!("999 OK")),
    switch_of_protocols: (answer!(
        "101 Switching Protocols",
        "Connection: upgrade\r\nUpgrade: x\r\n",
        "0",
        ""
    )),
});

//! A gateway as a process of its own, between a plain client and scripted endpoints
//! that speak the users' platform.

mod support;

use std::process::Command;
use std::time::{Duration, Instant};

use nutmegyoke_cases::cases;
use serde_json::json;
use support::front::{FAILED, FULL, Fleet, OK, call, config, request, wait_for};
use support::upstream::{Act, Upstream, exchange, header, leave};
use support::{Daemon, free_address};

#[test]
fn request_and_answer_go_through_unchanged() {
    let (fleet, upstreams) = Fleet::serving(&[Act::Send(OK)]);
    let answer = fleet.request("/book/1?when=now", "r1");
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
    let left: u64 = header(&received.head, "x-nutmegyoke-deadline-ms")
        .parse()
        .unwrap();
    assert!((1000..=1500).contains(&left), "{left}");
}

/// What a client gets when the endpoint that it reaches first does `act`, and how
/// many endpoints are reached. The other one works.
fn answers(path: &str, act: &Act, status: u16, reached: usize) {
    let (fleet, mut upstreams) = Fleet::serving(std::slice::from_ref(act));
    let first = fleet.request(path, "r1");
    if first.status == status && reached == 1 {
        assert_eq!(upstreams[0].received().len(), 1);
    }
    upstreams.push(Upstream::spawn(free_address(), Act::Send(OK)));
    fleet.announce(2, upstreams[1].address, 1);
    // Whichever is asked first, the answer is one of the two that are allowed.
    for number in 0..40 {
        let answer = fleet.request(path, &format!("again-{number}"));
        let good = answer.status == 200 && answer.body == b"booked";
        assert!(good || answer.status == status, "{answer:?}");
        assert!(answer.whole);
    }
    let id = |upstream: &Upstream| -> Vec<String> {
        let received = upstream.received();
        let ids = received.iter();
        ids.map(|received| header(&received.head, "x-nutmegyoke-request-id"))
            .filter(|id| id.starts_with("again"))
            .collect()
    };
    let [one, other] = [id(&upstreams[0]), id(&upstreams[1])];
    let both = one.iter().filter(|id| other.contains(id)).count();
    assert_eq!(both > 0, reached > 1, "{one:?} {other:?}");
}

cases!(answers {
    booking_that_was_refused_goes_elsewhere: ("/book/1", &Act::Send(FULL), 503, 2),
    booking_without_an_answer_is_given_up: ("/book/1", &Act::Close, 502, 1),
    booking_that_failed_is_told_as_it_is: ("/book/1", &Act::Send(FAILED), 500, 1),
    look_up_without_an_answer_goes_elsewhere: ("/look/1", &Act::Close, 502, 2),
    look_up_that_failed_goes_elsewhere: ("/look/1", &Act::Send(FAILED), 500, 2),
    booking_with_half_an_answer_is_given_up: (
        "/book/1",
        &Act::SendAndClose(
            "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\nX-Nutmegyoke-Server-Stamp: s1\r\n\
             Content-Length: 9\r\n\r\nbook"
        ),
        502,
        1
    ),
    booking_with_the_answer_to_another_is_given_up: (
        "/book/1",
        &Act::Send(
            "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: other\r\nX-Nutmegyoke-Server-Stamp: s1\r\n\
             Content-Length: 6\r\n\r\nbooked"
        ),
        502,
        1
    ),
    bytes_that_are_no_answer_are_not_passed_on: (
        "/book/1",
        &Act::SendAndClose("lorry\r\n\r\n"),
        502,
        1
    ),
    doubtful_promise_is_not_passed_on: (
        "/book/1",
        &Act::Send(
            "HTTP/1.1 503 Service Unavailable\r\nX-Nutmegyoke-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        ),
        502,
        1
    ),
});

#[test]
fn silent_endpoint_is_given_up_at_the_timeout_of_the_route() {
    let (fleet, upstreams) = Fleet::serving(&[Act::Hang]);
    let start = Instant::now();
    let answer = fleet.request("/book/1", "r1");
    assert_eq!(answer.status, 504);
    let took = start.elapsed();
    assert!((1400..1900).contains(&took.as_millis()), "{took:?}");
    upstreams[0].left();
}

#[test]
fn work_ends_when_its_client_leaves() {
    let (fleet, upstreams) = Fleet::serving(&[Act::Hang]);
    leave(
        fleet.clients,
        &request("/book/1", "r1"),
        Duration::from_millis(300),
    );
    let closed = Instant::now();
    let stopped = upstreams[0].left();
    assert!(stopped.saturating_duration_since(closed) < Duration::from_millis(400));
}

const EVENTS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\nX-Nutmegyoke-Server-Stamp: s1\r\nContent-Type: text/event-stream\r\n\
     Transfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n",
    "9\r\ndata: 2\n\n\r\n",
    "0\r\n\r\n",
];

#[test]
fn events_are_passed_on_as_they_come() {
    let pause = Duration::from_millis(300);
    let (fleet, _upstreams) = Fleet::serving(&[Act::Trickle(&EVENTS, pause)]);
    let answer = fleet.request("/chat/1", "r1");
    assert!(answer.whole);
    assert_eq!(answer.body, b"data: 1\n\ndata: 2\n\n");
}

#[test]
fn stream_that_breaks_off_does_not_look_whole() {
    let parts = Act::SendAndClose(EVENTS[0]);
    let (fleet, _upstreams) = Fleet::serving(&[parts]);
    let answer = fleet.request("/chat/1", "r1");
    assert_eq!(answer.status, 200);
    assert!(!answer.whole, "{answer:?}");
}

#[test]
fn gateway_without_a_document_refuses_and_is_not_ready() {
    let fleet = Fleet::spawn();
    assert_eq!(call(fleet.health, "GET", "/ready", b"").status, 503);
    let answer = fleet.request("/book/1", "r1");
    assert_eq!(answer.status, 503);
    assert_eq!(header(&answer.head, "retry-after"), "0.250");
}

#[test]
fn unknown_path_is_refused_without_a_pause() {
    let (fleet, _upstreams) = Fleet::serving(&[Act::Send(OK)]);
    let answer = fleet.request("/pay/1", "r1");
    assert_eq!(answer.status, 404);
    assert_eq!(header(&answer.head, "retry-after"), "");
}

#[test]
fn newest_document_is_read_back_as_it_was_sent() {
    let fleet = Fleet::spawn();
    fleet.publish(&config(7));
    // An older one is acknowledged and changes nothing, and so is the same number.
    fleet.publish(&config(3));
    let mut other = config(7);
    other["kept-as-it-is"] = json!("changed");
    fleet.publish(&other);
    let read = call(fleet.registrar, "GET", "/config", b"");
    assert_eq!(read.status, 200);
    assert_eq!(read.body, config(7).to_string().into_bytes());
}

fn refuses(method: &str, path: &str, body: &[u8], status: u16) {
    let fleet = Fleet::spawn();
    fleet.publish(&config(1));
    assert_eq!(call(fleet.registrar, method, path, body).status, status);
    let read = call(fleet.registrar, "GET", "/config", b"");
    assert_eq!(
        read.body,
        config(1).to_string().into_bytes(),
        "nothing is adopted"
    );
}

cases!(refuses {
    document_that_is_cut_short: ("PUT", "/config", b"{\"version\":9,\"routes\":[", 400),
    heartbeat_of_another_writer: ("PUT", "/instances/i-9", b"\xff\x00", 400),
    heartbeat_without_fields: ("PUT", "/instances/i-9", b"{}", 400),
    departure_of_an_unknown_endpoint: ("DELETE", "/instances/i-9", b"", 503),
    call_that_does_not_exist: ("POST", "/config", b"", 404),
});

#[test]
fn endpoint_that_signed_off_gets_no_work() {
    let (fleet, upstreams) = Fleet::serving(&[Act::Send(OK)]);
    assert_eq!(
        call(fleet.registrar, "DELETE", "/instances/i-1", b"").status,
        200
    );
    assert_eq!(fleet.request("/book/1", "r1").status, 503);
    // A heartbeat that was held up changes nothing.
    fleet.announce(1, upstreams[0].address, 2);
    assert_eq!(fleet.request("/book/1", "r2").status, 503);
}

#[test]
fn hangup_reads_the_settings_again_and_cuts_nothing_off() {
    let pause = Duration::from_millis(400);
    let (fleet, _upstreams) = Fleet::serving(&[Act::Trickle(&EVENTS, pause)]);
    let clients = fleet.clients;
    let running = std::thread::spawn(move || exchange(clients, &request("/chat/1", "r1")));
    std::thread::sleep(pause * 2);
    for _ in 0..5 {
        fleet.daemon.signal("HUP");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(running.join().unwrap().whole);
    assert_eq!(call(fleet.health, "GET", "/ready", b"").status, 200);
}

#[test]
fn stop_finishes_what_is_in_flight() {
    let pause = Duration::from_millis(400);
    let (mut fleet, _upstreams) = Fleet::serving(&[Act::Trickle(&EVENTS, pause)]);
    let clients = fleet.clients;
    let running = std::thread::spawn(move || exchange(clients, &request("/chat/1", "r1")));
    std::thread::sleep(pause * 2);
    fleet.daemon.terminate();
    wait_for(
        || call(fleet.health, "GET", "/ready", b""),
        |answer| answer.status == 503,
    );
    assert!(running.join().unwrap().whole);
    assert_eq!(fleet.daemon.wait(), Some(0));
}

#[test]
fn document_survives_the_process() {
    let mut fleet = Fleet::spawn();
    fleet.publish(&config(5));
    fleet.daemon.kill();
    let path = fleet.folder.path().join("front.ini");
    let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoked"));
    command.arg("--settings").arg(path);
    fleet.daemon = Daemon::spawn(command, "\"gateway\"");
    let get = || call(fleet.registrar, "GET", "/config", b"");
    let read = wait_for(get, |answer| answer.status == 200);
    assert_eq!(read.body, config(5).to_string().into_bytes());
}

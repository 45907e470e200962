//! A gateway as a process of its own, between a plain client and scripted endpoints
//! that speak the users' platform.

mod support;

use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

use nutmegyoke_cases::cases;
use serde_json::{Value, json};
use support::upstream::{Act, Answer, Upstream, exchange, header, leave};
use support::{Daemon, free_address};
use tempfile::TempDir;

/// How long a published document or a heartbeat may take to count.
const SETTLE: Duration = Duration::from_secs(10);

const OK: &str = "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\n\
                  X-Nutmegyoke-Server-Stamp: s1\r\nContent-Length: 6\r\n\r\nbooked";

const FULL: &str = "HTTP/1.1 503 Service Unavailable\r\nX-Nutmegyoke-Request-Id: {id}\r\n\
                    X-Nutmegyoke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

const FAILED: &str = "HTTP/1.1 500 Internal Server Error\r\nX-Nutmegyoke-Request-Id: {id}\r\n\
                      X-Nutmegyoke-Server-Stamp: s1\r\nContent-Length: 4\r\n\r\noops";

/// A gateway that is its own fleet.
struct Fleet {
    folder: TempDir,
    daemon: Daemon,
    clients: SocketAddr,
    health: SocketAddr,
    registrar: SocketAddr,
}

impl Fleet {
    fn spawn() -> Self {
        let folder = TempDir::new().unwrap();
        let [listen, exchange, operators, clients, health, registrar] =
            [(); 6].map(|()| free_address());
        let data = folder.path().join("data").display().to_string();
        let text = format!(
            "[process]\nrole = gateway\nname = front-1\ndata-centre = alp-a\nlisten = {listen}\n\
             operators = {operators}\n[gateway]\nclients = {clients}\nhealth = {health}\n\
             registrar = {registrar}\nexchange = {exchange}\ncontacts = {registrar}\n\
             steward-port = 1\nvoter = true\nfound = true\ndata = {data}\nheartbeat-ms = 1200\n\
             election-timeout-ms = 200\n"
        );
        let path = folder.path().join("front.ini");
        std::fs::write(&path, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoked"));
        command.arg("--settings").arg(&path);
        let daemon = Daemon::spawn(command, "\"gateway\"");
        Self {
            folder,
            daemon,
            clients,
            health,
            registrar,
        }
    }

    /// A fleet with its routes, and one endpoint for each of `acts`.
    fn serving(acts: &[Act]) -> (Self, Vec<Upstream>) {
        let fleet = Self::spawn();
        fleet.publish(&config(1));
        let spawn = |act: &Act| Upstream::spawn(free_address(), act.clone());
        let upstreams: Vec<Upstream> = acts.iter().map(spawn).collect();
        for (number, upstream) in (1..).zip(&upstreams) {
            assert_eq!(fleet.announce(number, upstream.address, 1).status, 200);
        }
        let answered = |answer: &Answer| answer.status == 200;
        wait_for(|| call(fleet.health, "GET", "/ready", b""), answered);
        (fleet, upstreams)
    }

    /// Publishes a document until it is acknowledged.
    fn publish(&self, config: &Value) {
        let body = config.to_string();
        let put = || call(self.registrar, "PUT", "/config", body.as_bytes());
        wait_for(put, |answer| answer.status == 200);
    }

    fn announce(&self, number: u64, address: SocketAddr, seq: u64) -> Answer {
        let body = json!({
            "backend": "desk", "address": address.to_string(), "zone": "alp-a", "slots": 6,
            "state": "ready", "seq": seq, "cold-left-ms": 0, "born": 1,
        });
        let path = format!("/instances/i-{number}");
        call(self.registrar, "PUT", &path, body.to_string().as_bytes())
    }

    fn request(&self, path: &str, id: &str) -> Answer {
        exchange(self.clients, &request(path, id))
    }
}

fn wait_for(play: impl Fn() -> Answer, done: impl Fn(&Answer) -> bool) -> Answer {
    let start = Instant::now();
    loop {
        let answer = play();
        if done(&answer) {
            return answer;
        }
        assert!(start.elapsed() < SETTLE, "{answer:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn call(address: SocketAddr, method: &str, path: &str, body: &[u8]) -> Answer {
    let length = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n");
    exchange(address, &[head.as_bytes(), body].concat())
}

fn request(path: &str, id: &str) -> Vec<u8> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: desk.example\r\nX-Nutmegyoke-Request-Id: {id}\r\n\
         X-Nutmegyoke-Deadline-Ms: 4000\r\nX-Custom: kept\r\nContent-Length: 5\r\n\r\nlot-7"
    );
    head.into_bytes()
}

fn config(version: u64) -> Value {
    let route = |prefix: &str, kind: &str, attempts: u64| {
        json!({
            "name": prefix, "hostname": "desk.example", "path-prefix": prefix,
            "route-type": kind, "timeout-ms": 1500, "target-latency-ms": 300,
            "backend": "desk", "max-attempts": attempts,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("/book/", "non_idempotent", 1),
            route("/look/", "idempotent", 2),
            route("/chat/", "stream", 1),
        ],
        "services": [{"name": "desk", "health-path": "/health", "max-conns": 100}],
        "kept-as-it-is": [1, 2],
    })
}

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
            "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\nContent-Length: 9\r\n\r\nbook"
        ),
        502,
        1
    ),
    booking_with_the_answer_to_another_is_given_up: (
        "/book/1",
        &Act::Send(
            "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: other\r\nContent-Length: 6\r\n\r\nbooked"
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
    "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\nContent-Type: text/event-stream\r\n\
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

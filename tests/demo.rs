//! The demo process over real sockets: completions and bookings, refusals of invalid requests,
//! metrics, the use of processor time when idle, and the error for an occupied port.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::process::Command;
use std::time::Duration;

use futures_util::StreamExt;
use nutmegyoke_cases::cases;
use support::Demo;

const KEY: &str = "demo-key";
const COMPLETIONS: &str = "/v1/chat/completions";

fn block_on<F: Future>(future: F) -> F::Output {
    compio::runtime::Runtime::new().unwrap().block_on(future)
}

fn request(demo: &Demo, path: &str, key: &str, body: &str) -> cyper::RequestBuilder {
    let client = cyper::Client::new().unwrap();
    let request = client.post(format!("http://{}{path}", demo.callers));
    let request = request.unwrap().bearer_auth(key).unwrap();
    request.body(body.to_owned())
}

async fn post(demo: &Demo, path: &str, key: &str, body: &str) -> (u16, String) {
    let response = request(demo, path, key, body).send().await.unwrap();
    (response.status().as_u16(), response.text().await.unwrap())
}

async fn scrape(demo: &Demo) -> String {
    let url = format!("http://{}/metrics", demo.operators);
    let request = cyper::Client::new().unwrap().get(url).unwrap();
    request.send().await.unwrap().text().await.unwrap()
}

#[test]
fn answer_is_returned_complete() {
    let demo = Demo::spawn();
    let body = r#"{"model":"price-ml","max_tokens":3}"#;
    let (status, text) = block_on(post(&demo, COMPLETIONS, KEY, body));
    assert_eq!(status, 200);
    assert!(text.contains("dry husk grade"), "{text}");
}

#[test]
fn streamed_answer_is_complete() {
    let demo = Demo::spawn();
    let body = r#"{"model":"grade-report","max_tokens":5,"stream":true}"#;
    let (status, text) = block_on(post(&demo, COMPLETIONS, KEY, body));
    assert_eq!(status, 200);
    assert_eq!(text.matches("data: {").count(), 5);
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
}

#[test]
fn each_booking_runs_once() {
    let demo = Demo::spawn();
    for number in 1..=2 {
        let booked = block_on(post(&demo, "/services/desk/bookings", KEY, "{}"));
        assert_eq!(booked, (200, format!("{{\"booking\":{number}}}")));
    }
}

#[test]
fn stream_in_flight_completes_after_sigterm() {
    let mut demo = Demo::spawn();
    let body = r#"{"model":"price-ml","max_tokens":25,"stream":true}"#;
    let text = block_on(async {
        let response = request(&demo, COMPLETIONS, KEY, body).send().await.unwrap();
        let mut chunks = response.bytes_stream();
        let mut text = chunks.next().await.unwrap().unwrap().to_vec();
        demo.daemon.terminate();
        while let Some(chunk) = chunks.next().await {
            text.extend_from_slice(&chunk.unwrap());
        }
        String::from_utf8(text).unwrap()
    });
    assert_eq!(text.matches("data: {").count(), 25);
    assert_eq!(demo.daemon.wait(), Some(0));
}

/// A loop that spins or polls too often would use processor time without any request.
#[test]
fn idle_demo_uses_no_processor_time() {
    const OBSERVATION_PERIOD: Duration = Duration::from_secs(3);
    /// A fully used core adds 100 ticks a second.
    const MAX_CPU_TICKS: u64 = 6;
    let demo = Demo::spawn();
    let before = demo.daemon.cpu_ticks();
    std::thread::sleep(OBSERVATION_PERIOD);
    let used = demo.daemon.cpu_ticks() - before;
    assert!(
        used <= MAX_CPU_TICKS,
        "used {used} clock ticks, more than {MAX_CPU_TICKS}"
    );
}

#[test]
fn attainment_is_measured_by_plan() {
    let demo = Demo::spawn();
    let body = r#"{"model":"price-ml","max_tokens":5,"stream":true}"#;
    let (status, _) = block_on(post(&demo, COMPLETIONS, KEY, body));
    assert_eq!(status, 200);
    let text = block_on(scrape(&demo));
    let labels = r#"plan="demo",role="entry",vm="entry-1""#;
    for line in [
        format!("nutmegyoke_first_token_seconds_count{{{labels}}} 1"),
        format!("nutmegyoke_between_tokens_seconds_count{{{labels}}} 4"),
    ] {
        assert!(text.contains(&line), "{text}");
    }
    for expectation in ["first_token", "between_tokens", "deadline"] {
        let prefix = format!("nutmegyoke_expectations_total{{expectation=\"{expectation}\"");
        let lines = text.lines().filter(|line| line.starts_with(&prefix));
        assert_eq!(lines.count(), 1, "{text}");
    }
}

#[test]
fn refusals_are_counted_by_reason() {
    let demo = Demo::spawn();
    block_on(post(&demo, COMPLETIONS, "wrong", "{}"));
    let text = block_on(scrape(&demo));
    let line = r#"nutmegyoke_refusals_total{reason="bad_key",role="entry",vm="entry-1"} 1"#;
    assert!(text.contains(line), "{text}");
}

/// Checks that a request is refused with this status and code, and reported as not run.
fn refuses(path: &str, key: &str, body: &str, status: u16, code: &str) {
    let demo = Demo::spawn();
    let (answered, text) = block_on(post(&demo, path, key, body));
    assert_eq!(answered, status);
    let error: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(error["error"]["code"], code);
    assert_eq!(error["error"]["ran"], "no");
}

cases!(refuses {
    bad_key: (
        COMPLETIONS,
        "wrong",
        r#"{"model":"price-ml"}"#,
        401,
        "bad_key"
    ),
    bad_key_before_bad_body: (COMPLETIONS, "wrong", "{", 401, "bad_key"),
    bad_key_before_long_body: (
        COMPLETIONS,
        "wrong",
        &"x".repeat(1024 * 1024 + 1),
        401,
        "bad_key"
    ),
    wrong_method_for_models: ("/v1/models", KEY, "{}", 405, "method_not_allowed"),
    service_without_path: ("/services/desk", KEY, "{}", 404, "unknown_path"),
    unknown_model: (
        COMPLETIONS,
        KEY,
        r#"{"model":"none"}"#,
        404,
        "unknown_model"
    ),
    model_not_granted: (COMPLETIONS, KEY, r#"{"model":"audit"}"#, 403, "not_granted"),
    malformed_json: (COMPLETIONS, KEY, r#"{"model":"#, 400, "bad_request"),
    missing_model: (COMPLETIONS, KEY, "{}", 400, "bad_request"),
    body_too_long: (
        COMPLETIONS,
        KEY,
        &"x".repeat(1024 * 1024 + 1),
        413,
        "body_too_long"
    ),
    unknown_path: ("/v2/other", KEY, "{}", 404, "unknown_path"),
    unknown_service: ("/services/till/bookings", KEY, "{}", 404, "unknown_service"),
});

/// Sends `text` unchanged and returns the answer.
///
/// Without `connection: close` in `text`, the sending side is closed after it, as by a
/// caller that disconnects within a request.
fn exchange(demo: &Demo, text: &str) -> String {
    let mut stream = TcpStream::connect(demo.callers).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    if !text.contains("connection: close") {
        stream.shutdown(Shutdown::Write).unwrap();
    }
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer
}

/// Checks that the bytes of a request are refused with this status line and code, and
/// reported as not run in the header and the body.
fn refuses_raw(text: &str, status: &str, code: &str) {
    let demo = Demo::spawn();
    let answer = exchange(&demo, text);
    assert!(answer.starts_with(status), "{answer}");
    assert!(answer.contains("nutmegyoke-ran: no"), "{answer}");
    assert!(answer.contains(&format!("\"code\":\"{code}\"")), "{answer}");
    assert!(answer.contains("\"ran\":\"no\""), "{answer}");
}

cases!(refuses_raw {
    wrong_method_for_completions: (
        "GET /v1/completions HTTP/1.1\r\nconnection: close\r\nhost: a\r\nauthorization: Bearer demo-key\r\n\r\n",
        "HTTP/1.1 405",
        "method_not_allowed"
    ),
    missing_key: (
        "POST /v1/completions HTTP/1.1\r\nconnection: close\r\nhost: a\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 401",
        "bad_key"
    ),
    truncated_body: (
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer demo-key\r\n\
         content-length: 90\r\n\r\n{\"model\"",
        "HTTP/1.1 400",
        "body_incomplete"
    ),
    malformed_chunk: (
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer demo-key\r\n\
         transfer-encoding: chunked\r\n\r\nzz\r\n",
        "HTTP/1.1 400",
        "body_incomplete"
    ),
    long_header: (
        &format!(
            "GET /services/desk/bookings HTTP/1.1\r\nconnection: close\r\nhost: a\r\n\
             authorization: Bearer demo-key\r\nx: {}\r\n\r\n",
            "y".repeat(33 * 1024)
        ),
        "HTTP/1.1 431",
        "headers_too_long"
    ),
});

#[test]
fn occupied_port_error_names_the_option_to_change() {
    let listener = TcpListener::bind(support::free_address()).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let operators = support::free_address().to_string();
    let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoked"));
    command.args(["--demo", "--callers", &address, "--operators", &operators]);
    let output = command.output().unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(
        text.contains(&format!("cannot listen on {address}")),
        "{text}"
    );
    assert!(text.contains("--callers"), "{text}");
}

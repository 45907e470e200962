//! The demo: the whole path over real sockets, and its faults.

mod support;

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

#[test]
fn whole_answer_arrives() {
    let demo = Demo::spawn();
    let body = r#"{"model":"price-ml","max_tokens":3}"#;
    let (status, text) = block_on(post(&demo, COMPLETIONS, KEY, body));
    assert_eq!(status, 200);
    assert!(text.contains("dry husk grade"), "{text}");
}

#[test]
fn streamed_answer_arrives_whole() {
    let demo = Demo::spawn();
    let body = r#"{"model":"grade-report","max_tokens":5,"stream":true}"#;
    let (status, text) = block_on(post(&demo, COMPLETIONS, KEY, body));
    assert_eq!(status, 200);
    assert_eq!(text.matches("data: {").count(), 5);
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
}

#[test]
fn bookings_are_counted() {
    let demo = Demo::spawn();
    for number in 1..=2 {
        let booked = block_on(post(&demo, "/services/desk/bookings", KEY, "{}"));
        assert_eq!(booked, (200, format!("{{\"booking\":{number}}}")));
    }
}

#[test]
fn stream_in_flight_survives_sigterm() {
    let mut demo = Demo::spawn();
    let body = r#"{"model":"price-ml","max_tokens":25,"stream":true}"#;
    let text = block_on(async {
        let response = request(&demo, COMPLETIONS, KEY, body).send().await.unwrap();
        let mut parts = response.bytes_stream();
        let mut text = parts.next().await.unwrap().unwrap().to_vec();
        demo.daemon.terminate();
        while let Some(part) = parts.next().await {
            text.extend_from_slice(&part.unwrap());
        }
        String::from_utf8(text).unwrap()
    });
    assert_eq!(text.matches("data: {").count(), 25);
    assert_eq!(demo.daemon.wait(), Some(0));
}

#[test]
fn idle_demo_uses_no_processor_time() {
    const WATCHED: Duration = Duration::from_secs(3);
    /// Of the 100 a second of a core that spins.
    const TICKS_AT_MOST: u64 = 6;
    let demo = Demo::spawn();
    let before = demo.daemon.ticks();
    std::thread::sleep(WATCHED);
    let used = demo.daemon.ticks() - before;
    assert!(used <= TICKS_AT_MOST, "{used} ticks");
}

#[test]
fn refusals_are_counted_by_reason() {
    let demo = Demo::spawn();
    block_on(post(&demo, COMPLETIONS, "wrong", "{}"));
    let url = format!("http://{}/metrics", demo.operators);
    let text = block_on(async {
        let request = cyper::Client::new().unwrap().get(url).unwrap();
        request.send().await.unwrap().text().await.unwrap()
    });
    let line = r#"nutmegyoke_refusals_total{reason="bad_request",role="entry",vm="entry-1"} 1"#;
    assert!(text.contains(line), "{text}");
}

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
    unknown_model: (
        COMPLETIONS,
        KEY,
        r#"{"model":"none"}"#,
        404,
        "unknown_model"
    ),
    model_not_granted: (COMPLETIONS, KEY, r#"{"model":"audit"}"#, 403, "not_granted"),
    broken_json: (COMPLETIONS, KEY, r#"{"model":"#, 400, "bad_request"),
    no_model: (COMPLETIONS, KEY, "{}", 400, "bad_request"),
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

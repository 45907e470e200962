//! A gateway process in front of endpoints that crash on one part of a prompt.

mod support;

use std::time::Duration;

use support::fragile::Fragile;
use support::gateway::{Gateway, call, config, poll_until};
use support::upstream::{Answer, exchange, header};

/// The part that crashes endpoints, in hexadecimal.
const DEADLY_PART: &str = "dead";

/// The time between two deadly requests.
const CRASH_INTERVAL: Duration = Duration::from_millis(300);

/// Sends a request for a stream with a prompt of three parts.
fn ask(gateway: &Gateway, id: &str, middle_part: &str) -> Answer {
    let request = format!(
        "POST /chat/1 HTTP/1.1\r\nHost: desk.example\r\nX-Nutmegyoke-Request-Id: {id}\r\n\
         X-Nutmegyoke-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\
         X-Nutmegyoke-Prompt-Prefix: a1:800,{middle_part}:300,{id}:20\r\n\r\n"
    );
    exchange(gateway.clients, request.as_bytes())
}

/// Each request with a part that crashes endpoints used to crash one more.
#[test]
fn part_that_crashes_endpoints_is_quarantined() {
    let gateway = Gateway::spawn();
    gateway.publish(&config(1));
    let endpoints: Vec<Fragile> = (0..10).map(|_| Fragile::spawn(DEADLY_PART)).collect();
    for (number, endpoint) in (1..).zip(&endpoints) {
        assert_eq!(gateway.announce(number, endpoint.address, 1).status, 200);
    }
    let is_ready = |answer: &Answer| answer.status == 200;
    poll_until(|| call(gateway.health, "GET", "/ready", b""), is_ready);
    let (mut deadly, mut sound) = (Vec::new(), Vec::new());
    for number in 0..9 {
        deadly.push(ask(&gateway, &format!("d{number}"), DEADLY_PART));
        std::thread::sleep(CRASH_INTERVAL);
        sound.push(ask(&gateway, &format!("50{number}"), "b2"));
    }
    let crashes = endpoints.iter().filter(|endpoint| endpoint.crashed());
    assert!(crashes.clone().count() <= 5, "{} crashes", crashes.count());
    for answer in sound {
        assert!(answer.status == 200 && answer.complete, "{answer:?}");
    }
    let last = deadly.last().unwrap();
    assert_eq!(last.status, 503, "the request did not run: {last:?}");
    let retry_after: f64 = header(&last.head, "retry-after").parse().unwrap();
    assert!(retry_after > 60.0, "{retry_after}");
    let error: serde_json::Value = serde_json::from_slice(&last.body).unwrap();
    assert_eq!(error["error"]["code"], "quarantined");
    assert_eq!(error["error"]["ran"], "no");
    let log = gateway.daemon.log();
    let line = log.iter().find(|line| line.contains("NY0306")).unwrap();
    let line: serde_json::Value = serde_json::from_str(line).unwrap();
    let parts = line["parts"].as_array().unwrap();
    assert!(parts.iter().any(|part| part == DEADLY_PART), "{line}");
    assert!(
        line["crashes"].as_u64().unwrap() >= 3 && line["latest-ms"].is_u64(),
        "{line}"
    );
}

//! A gateway process in front of an endpoint that names the rate of requests that it takes.

mod support;

use std::time::Duration;

use support::gateway::Gateway;
use support::upstream::{Action, header};

/// An answer of an endpoint that takes four requests a second.
const LIMITED_RESPONSE: &str = "HTTP/1.1 200 OK\r\nX-Nutmegyoke-Request-Id: {id}\r\n\
                       X-Nutmegyoke-Server-Stamp: s1\r\nServer-Limit: 4.0\r\n\
                       Content-Length: 6\r\n\r\nbooked";

/// What an endpoint may get in 4 s at most: one and a half times its limit, and 5.
const MAX_REQUESTS: usize = 29;

/// An endpoint used to get any number of requests, whatever limit it named.
#[test]
fn endpoint_gets_no_more_requests_than_its_limit() {
    let (gateway, upstreams) = Gateway::spawn_with_endpoints(&[Action::Send(LIMITED_RESPONSE)]);
    let mut refused = Vec::new();
    for number in 0..40 {
        let answer = gateway.request("/look/1", &format!("r{number}"));
        if answer.status != 200 {
            refused.push(answer);
        }
        std::thread::sleep(Duration::from_millis(40));
    }
    let received = upstreams[0].received().len();
    assert!(received <= MAX_REQUESTS, "{received} requests");
    assert!(
        received >= 6,
        "{received} requests in 1.6 s or more, at 4 a second"
    );
    for answer in refused {
        assert_eq!(answer.status, 503);
        let retry_after: f64 = header(&answer.head, "retry-after").parse().unwrap();
        assert!((0.0..=1.0).contains(&retry_after), "{retry_after}");
    }
}

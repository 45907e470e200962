//! The plans' limits and changes of the configuration, with real processes.

mod support;

use std::rc::Rc;
use std::time::Duration;

use compio::runtime::Runtime;
use futures_util::future::join_all;
use nutmegyoke_cases::cases;
use nutmegyoke_standin::engine::Behaviour;
use nutmegyoke_standin::{Desk, Engine, announcer};
use support::fleet::Fleet;

/// The number of polls, [`POLL_INTERVAL`] apart, after which a wait for the fleet fails.
const MAX_POLLS: usize = 100;
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// An answer: its status, error code and `Retry-After` in seconds.
#[derive(Debug, PartialEq, Eq)]
struct Answer {
    status: u16,
    code: String,
    retry_after: Option<u64>,
}

async fn post(fleet: &Fleet, path: &str, body: &str) -> Answer {
    let client = cyper::Client::new().unwrap();
    let request = client.post(format!("http://{}{path}", fleet.callers));
    let request = request.unwrap().bearer_auth("demo-key").unwrap();
    let response = request.body(body.to_owned()).send().await.unwrap();
    let header = response.headers().get("retry-after");
    let retry_after = header.map(|value| value.to_str().unwrap().parse().unwrap());
    let status = response.status().as_u16();
    let text = response.text().await.unwrap();
    let error: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    Answer {
        status,
        code: error["error"]["code"].as_str().unwrap_or("").to_owned(),
        retry_after,
    }
}

async fn complete(fleet: &Fleet) -> Answer {
    let body = r#"{"model":"price-ml","max_tokens":20}"#;
    post(fleet, "/v1/chat/completions", body).await
}

/// Binds an engine and waits until the fleet serves from it.
async fn engine(fleet: &Fleet) -> Rc<Engine> {
    let engine = Engine::bind(Behaviour {
        name: "engine-1".to_owned(),
        models: vec!["price-ml"],
        slots: 1,
        token_interval: Duration::from_millis(10),
    });
    let engine = engine.await.unwrap();
    announcer::spawn(&engine, fleet.agent_operators);
    for _ in 0..MAX_POLLS {
        if complete(fleet).await.status == 200 {
            return engine;
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("the fleet did not start to serve in time");
}

/// Applies the demo's lists with other limits for the plan, and waits until they are in
/// force at the entry.
fn apply_limits(fleet: &Fleet, number: u64, limits: &str) {
    let plans = fleet.folder().join("plans.ini");
    let text = format!(
        "[plan demo]\ncustomer = demo\nkey = demo-key\nfirst-token-ms = 1000\n\
         between-tokens-ms = 50\ndeadline-ms = 30000\n{limits}"
    );
    std::fs::write(&plans, text).unwrap();
    let number = number.to_string();
    let options = [
        "--number",
        &number,
        "--plans",
        plans.to_str().unwrap(),
        "--grants",
        "examples/demo/grants.ini",
    ];
    let output = fleet.run_tool("apply", &options);
    assert!(output.status.success(), "{output:?}");
    for _ in 0..MAX_POLLS {
        let status = String::from_utf8(fleet.run_tool("status", &[]).stdout).unwrap();
        let entry = status.lines().find(|line| line.contains("entry-1"));
        let in_force = format!("configuration {number:<6} ");
        if entry.is_some_and(|line| line.contains(&in_force)) {
            return;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    panic!("configuration {number} did not come into force in time");
}

/// Of three concurrent requests one succeeds. The others are refused with the time after
/// which the limit admits a request again.
fn excess_requests_are_refused(limits: &str, code: &str, seconds: std::ops::RangeInclusive<u64>) {
    let fleet = Fleet::spawn();
    assert!(fleet.apply(1).status.success());
    Runtime::new().unwrap().block_on(async {
        let _engine = engine(&fleet).await;
        apply_limits(&fleet, 2, limits);
        let answers = join_all((0..3).map(|_| complete(&fleet))).await;
        let (answered, refused): (Vec<_>, Vec<_>) =
            answers.iter().partition(|answer| answer.status == 200);
        assert_eq!(answered.len(), 1, "{answers:?}");
        for answer in refused {
            assert_eq!((answer.status, answer.code.as_str()), (429, code));
            let retry_after = answer.retry_after.expect("no Retry-After in a 429 answer");
            assert!(seconds.contains(&retry_after), "{answer:?}");
        }
    });
}

cases!(excess_requests_are_refused {
    concurrency: (
        "requests-per-second = 100\nconcurrency = 1\ntokens-per-minute = 100000\n",
        "concurrency_limited",
        1..=1
    ),
    rate: (
        "requests-per-second = 1\nconcurrency = 9\ntokens-per-minute = 100000\n",
        "rate_limited",
        1..=1
    ),
    // A request is charged 28 tokens: 20 to generate and an estimate for the prompt. At
    // 30 tokens a minute, the second request waits for most of a minute.
    tokens: (
        "requests-per-second = 100\nconcurrency = 9\ntokens-per-minute = 30\n",
        "tokens_limited",
        40..=60
    ),
});

/// Processes adopt a new configuration at different times. Bookings must succeed meanwhile,
/// although the entry and the agent may differ in their version.
#[test]
fn no_booking_fails_while_lists_change() {
    const VERSIONS: u64 = 4;
    let fleet = Fleet::spawn();
    assert!(fleet.apply(1).status.success());
    Runtime::new().unwrap().block_on(async {
        let desk = Desk::bind().await.unwrap();
        announcer::spawn(&desk, fleet.agent_operators);
        let book = || post(&fleet, "/services/desk/bookings", "{}");
        let mut booked = 0;
        for _ in 0..MAX_POLLS {
            if book().await.status == 200 {
                booked += 1;
                break;
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        for number in 2..=VERSIONS {
            assert!(fleet.apply(number).status.success());
            for _ in 0..4 {
                let answers = join_all((0..3).map(|_| book())).await;
                for answer in answers {
                    assert_eq!(answer.status, 200, "{answer:?}");
                    booked += 1;
                }
            }
        }
        assert_eq!(desk.bookings(), booked);
    });
}

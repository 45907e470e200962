//! At the first start one of the three seeds is gone for good, and an empty machine replaces it at
//! another address.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::config::{self, Route};
use crate::fleet::{Fleet, Start};
use crate::http;
use crate::record::Record;

/// When the successor starts: `x` of `replace_core`.
const SUCCESSOR_AFTER: Duration = Duration::from_secs(1);

/// For how long the operator sends the first config.
const PATIENCE: Duration = Duration::from_secs(40);

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let mut fleet = Fleet::open("first-start", &[0, 1, 2]);
    let first = Start {
        bootstrap: true,
        counts: true,
    };
    for number in 0..3 {
        fleet.start(number, first);
    }
    if trouble {
        record.line("front-2 loses power while it starts, and is gone for good");
        fleet.kill(2);
        fleet.wipe(2);
        std::thread::sleep(SUCCESSOR_AFTER);
        record.line("front-3 starts as its successor, with an empty disk");
        fleet.start(
            3,
            Start {
                bootstrap: false,
                counts: true,
            },
        );
    }
    let machines: &[usize] = if trouble { &[0, 1, 3] } else { &[0, 1, 2] };
    let route = Route {
        prefix: "/book/",
        kind: "non_idempotent",
        service: "desk",
    };
    let config = config::config(3, &[route]);
    let end = Instant::now() + PATIENCE;
    let mut sent = 0;
    while Instant::now() < end {
        for &number in machines {
            let answer = http::call(fleet.control(number), "PUT", "/config", &config);
            sent += 1;
            record.line(&format!(
                "operator: PUT /config at front-{number}: {} {}",
                answer.status,
                String::from_utf8_lossy(&answer.body).trim()
            ));
            if answer.status == 200 {
                return Verdict::Held;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
    }
    record.line(&format!(
        "the first config was sent {sent} times within {PATIENCE:?} and never acknowledged"
    ));
    if machines.iter().any(|&number| fleet.has_ended(number)) {
        record.line("a process of the core has ended");
        return Verdict::Impossible;
    }
    Verdict::Broken
}

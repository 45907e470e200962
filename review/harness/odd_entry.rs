//! Another writer registers an entry that lacks fields. It names a server of another system.

use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::config::{self, Route};
use crate::fleet::{Fleet, Start};
use crate::http;
use crate::record::Record;
use crate::server::{Engine, Stranger, unix_ms};

const REQUESTS: usize = 60;

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let mut fleet = Fleet::open("odd-entry", &[0, 1, 2]);
    for number in 0..3 {
        fleet.start(
            number,
            Start {
                bootstrap: true,
                counts: true,
            },
        );
    }
    let route = Route {
        prefix: "/book/",
        kind: "non_idempotent",
        service: "desk",
    };
    let limit = Duration::from_secs(15);
    let config = config::config(3, &[route]);
    if fleet.publish(record, &[0, 1, 2], &config, limit).is_none() {
        return Verdict::Impossible;
    }
    let nodes: Vec<_> = (0..3).map(|number| fleet.control(number)).collect();
    let work = Duration::from_millis(60);
    let engine = Engine::spawn(record, "i-7f3a91c2", "desk", fleet.ip(100), work);
    engine.spawn_heartbeats(&nodes);
    let stranger = Stranger::spawn(record, fleet.ip(101));
    std::thread::sleep(Duration::from_secs(6));
    if trouble {
        // `version` and `cold-left-ms` are missing.
        let entry = format!(
            "{{\"backend\":\"desk\",\"address\":\"{}\",\"zone\":\"zone-0\",\"slots\":6,\
             \"state\":\"ready\",\"seq\":1,\"born\":{}}}",
            stranger.address,
            unix_ms()
        );
        let answer = http::call(nodes[0], "PUT", "/instances/other-1", &entry);
        record.line(&format!(
            "another writer: PUT /instances/other-1 {entry}: {}",
            answer.status
        ));
        std::thread::sleep(Duration::from_secs(1));
    }
    let mut served = 0;
    for number in 0..REQUESTS {
        let id = format!("b{number:04}");
        let request = config::request("/book/7", &id);
        let answer = http::exchange(
            fleet.clients(number % 3),
            request.as_bytes(),
            Duration::from_secs(5),
        );
        record.line(&format!("client: {id}: {}", answer.status));
        served += usize::from(answer.status == 200);
        std::thread::sleep(Duration::from_millis(100));
    }
    let received = stranger.received.lock().unwrap().len();
    record.line(&format!(
        "{REQUESTS} bookings, {served} served, {received} sent to the server of another system"
    ));
    if received > 0 {
        Verdict::Broken
    } else if served == REQUESTS {
        Verdict::Held
    } else {
        Verdict::Impossible
    }
}

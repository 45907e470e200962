//! Another writer registers an entry of a service that no config names, at the address of an
//! engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::config::{self, Route};
use crate::fleet::{Fleet, Start};
use crate::http;
use crate::record::Record;
use crate::server::{Engine, unix_ms};

/// A request of each kind is sent this often, half a second apart.
const ROUNDS: usize = 40;

const ROUTES: [Route<'_>; 2] = [
    Route {
        prefix: "/book/",
        kind: "non_idempotent",
        service: "desk",
    },
    Route {
        prefix: "/look/",
        kind: "idempotent",
        service: "lots",
    },
];

/// Another writer, which reports as regularly as an engine does.
fn spawn_writer(record: &Arc<Record>, nodes: &[SocketAddr], address: SocketAddr) {
    let (record, nodes) = (Arc::clone(record), nodes.to_vec());
    let born = unix_ms();
    std::thread::spawn(move || {
        for sequence in 1_usize.. {
            let entry = format!(
                "{{\"backend\":\"inventory\",\"address\":\"{address}\",\"zone\":\"zone-0\",\
                 \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold-left-ms\":0,\
                 \"seq\":{sequence},\"born\":{born}}}"
            );
            let node = nodes[sequence % nodes.len()];
            let answer = http::call(node, "PUT", "/instances/other-1", &entry);
            record.line(&format!(
                "another writer: PUT /instances/other-1 {entry}: {}",
                answer.status
            ));
            std::thread::sleep(Duration::from_millis(1200));
        }
    });
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let mut fleet = Fleet::open("displaced-engine", &[0, 1, 2]);
    for number in 0..3 {
        fleet.start(
            number,
            Start {
                bootstrap: true,
                counts: true,
            },
        );
    }
    let limit = Duration::from_secs(15);
    let config = config::config(3, &ROUTES);
    if fleet.publish(record, &[0, 1, 2], &config, limit).is_none() {
        return Verdict::Impossible;
    }
    let nodes: Vec<_> = (0..3).map(|number| fleet.control(number)).collect();
    let work = Duration::from_millis(60);
    let desk = Engine::spawn(record, "i-7f3a91c2", "desk", fleet.ip(100), work);
    let lots = Engine::spawn(record, "i-51b20e77", "lots", fleet.ip(101), work);
    desk.spawn_heartbeats(&nodes);
    lots.spawn_heartbeats(&nodes);
    std::thread::sleep(Duration::from_secs(6));
    if trouble {
        spawn_writer(record, &nodes, desk.address);
        std::thread::sleep(Duration::from_secs(1));
    }
    let mut served = [0_usize; 2];
    for round in 0..ROUNDS {
        for (kind, path) in ["/book/7", "/look/7"].iter().enumerate() {
            let id = format!("r{round:03}-{kind}");
            let request = config::request(path, &id);
            let answer = http::exchange(
                fleet.clients(round % 3),
                request.as_bytes(),
                Duration::from_secs(5),
            );
            record.line(&format!("client: {path} {id}: {}", answer.status));
            served[kind] += usize::from(answer.status == 200);
        }
        std::thread::sleep(Duration::from_millis(400));
    }
    record.line(&format!(
        "of {ROUNDS} requests each, {} bookings and {} look-ups were served",
        served[0], served[1]
    ));
    // Served less than a quarter as often as all requests.
    let all = served[0] + served[1];
    if served[0] * 2 * 4 < all {
        Verdict::Broken
    } else if served == [ROUNDS; 2] {
        Verdict::Held
    } else {
        Verdict::Impossible
    }
}

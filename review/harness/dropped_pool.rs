//! Routes move from one service with model engines to another; then a config drops the first one.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{Fleet, Start};
use crate::record::Record;

/// For how long processor time is taken.
const OBSERVED: Duration = Duration::from_secs(15);

/// The time between two changes of the config.
const BETWEEN_CHANGES: Duration = Duration::from_secs(5);

/// `cpu-share` of the largest `front` machines.
const CPU_SHARE: f64 = 0.45;

/// A config with the named services, both of model engines, and a route that leads to `target`.
fn config(version: u64, target: &str, services: &[&str]) -> String {
    let services = services.iter().map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"health-path\":\"/health\",\"max-conns\":380,\
             \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv-capacity\":232000,\
             \"kv-token-bytes\":327680,\"weights-mb\":200000.0,\"adapter-slots\":8,\
             \"loads-per-s\":2.1,\"models\":[{{\"name\":\"daka510000\",\"weights-mb\":34300.0,\
             \"load-s\":2.0,\"adapters\":2,\"adapter-mb\":40.0}}]}}}}"
        )
    });
    let services: Vec<String> = services.collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"grade\",\"hostname\":\"desk.example\",\
         \"path-prefix\":\"/grade/\",\"route-type\":\"stream\",\"timeout-ms\":6000,\
         \"target-latency-ms\":1000,\"priority\":2,\"backend\":\"{target}\",\"max-attempts\":1,\
         \"sticky\":true,\"resumable\":false,\"target-gap-ms\":600}}],\"services\":[{}]}}",
        services.join(",")
    )
}

/// The processor time of a process so far, in seconds.
fn processor_time(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |index: usize| -> f64 {
        let field = fields.get(index);
        field.and_then(|text| text.parse().ok()).unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / 100.0
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let mut fleet = Fleet::open("dropped-pool", &[0, 1, 2]);
    for number in 0..3 {
        fleet.start(
            number,
            Start {
                bootstrap: true,
                counts: true,
            },
        );
    }
    let changes = [
        config(3, "husk-a", &["husk-a"]),
        config(5, "husk-b", &["husk-a", "husk-b"]),
        config(8, "husk-b", &["husk-b"]),
    ];
    let count = if trouble { 3 } else { 2 };
    for change in &changes[..count] {
        let limit = Duration::from_secs(15);
        if fleet.publish(record, &[0, 1, 2], change, limit).is_none() {
            return Verdict::Impossible;
        }
        record.line(&format!("the config sent: {change}"));
        std::thread::sleep(BETWEEN_CHANGES);
    }
    let times = |fleet: &Fleet| -> Vec<f64> {
        (0..3)
            .map(|number| processor_time(fleet.pid(number).unwrap_or(0)))
            .collect()
    };
    let before = times(&fleet);
    let start = Instant::now();
    std::thread::sleep(OBSERVED);
    let elapsed = start.elapsed().as_secs_f64();
    let mut verdict = Verdict::Held;
    for (number, (after, before)) in times(&fleet).iter().zip(&before).enumerate() {
        let cores = (after - before) / elapsed;
        record.line(&format!(
            "front-{number} used {cores:.2} cores over {elapsed:.1} s without traffic"
        ));
        if cores >= CPU_SHARE {
            verdict = Verdict::Broken;
        }
    }
    verdict
}

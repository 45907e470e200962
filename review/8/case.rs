//! A machine of the core is replaced: its successor runs first, then it is gone for good without
//! SIGTERM. Right after that another one loses its disk, after an acknowledgement.

#[path = "../harness-2/mod.rs"]
mod harness;

use std::path::Path;
use std::process::exit;
use std::thread::sleep;
use std::time::{Duration, Instant};

use harness::fleet::{self, Fleet};
use harness::record::Record;

/// Three machines, and the successor of the last of them.
const MACHINES: usize = 4;
const REPLACED: usize = 2;
const SUCCESSOR: usize = 3;

/// How long the successor runs before the old machine goes: `catch-up-s` of the sheet, and 4 s more.
const SETTLE: Duration = Duration::from_secs(8);

/// When the operator changes the config, counted from the old machine's end.
const CHANGE: Duration = Duration::from_millis(800);

/// How long the machine that loses its disk is down (`after_ack_wipe`, `for_s = 3.0`).
const DOWN: Duration = Duration::from_secs(3);

/// `recovery-s` of the sheet, and three times `contact-ms`.
const RECOVERY: Duration = Duration::from_secs(12);
const READING: Duration = Duration::from_secs(9);

const HELD: u8 = 0;
const BROKEN: u8 = 1;
const NOT_RUN: u8 = 2;

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let record = Record::open(&Path::new(&folder).join("record.txt"));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let code = if fleet::is_built() { run(&record, trouble) } else { NOT_RUN };
    record.line(&format!("exit {code}"));
    exit(code.into());
}

fn run(record: &Record, trouble: bool) -> u8 {
    let mut fleet = Fleet::open(MACHINES);
    for number in 0..SUCCESSOR {
        fleet.start_gateway(number, true);
    }
    if fleet.publish(&document(1), Duration::from_secs(20)).is_none() {
        record.line("config 1 was not acknowledged");
        return NOT_RUN;
    }
    record.line("operator: config 1 is acknowledged");
    sleep(Duration::from_secs(6));
    fleet.start_gateway(SUCCESSOR, false);
    record.line(&format!(
        "front-{SUCCESSOR} starts with an empty disk, as the successor of front-{REPLACED}"
    ));
    sleep(SETTLE);
    if fleet.read(SUCCESSOR) != Ok(1) {
        record.line("the successor doesn't return the config");
        return NOT_RUN;
    }
    record.line("operator: the successor returns config 1");
    voters(record, &fleet);
    let gone_since = Instant::now();
    if trouble {
        fleet.kill(&format!("front-{REPLACED}"));
        record.line(&format!("front-{REPLACED} is gone for good, without SIGTERM"));
    }
    sleep(CHANGE);
    let until = Instant::now() + Duration::from_secs(10);
    let mut acknowledged_by = None;
    while acknowledged_by.is_none() && Instant::now() < until {
        let mut machines = (0..MACHINES).filter(|&number| number != REPLACED);
        acknowledged_by = machines.find(|&number| {
            fleet.publish_to(number, &document(2), Duration::from_secs(1))
        });
    }
    let Some(first) = acknowledged_by else {
        record.line("config 2 was not acknowledged");
        return NOT_RUN;
    };
    record.line(&format!("operator: front-{first} acknowledged config 2 with 200"));
    if trouble {
        fleet.lose_disk(first);
        let after = gone_since.elapsed();
        record.line(&format!("front-{first} loses its disk, {after:?} after the old machine went"));
        sleep(DOWN);
        fleet.start_gateway(first, false);
        record.line(&format!("front-{first} is back, with an empty disk"));
    }
    sleep(RECOVERY);
    let (found, answers) = fleet.read_back(2, READING);
    record.line(&format!("operator: reads of the config, last round: {answers}"));
    voters(record, &fleet);
    record.line(&format!("processes that ended by themselves: {:?}", fleet.ended()));
    if found {
        record.line("CONFIG held: config 2 was read back");
        return HELD;
    }
    record.line("CONFIG is broken: config 2 was acknowledged and does not come back");
    BROKEN
}

/// Records what each machine logged last of the voters.
fn voters(record: &Record, fleet: &Fleet) {
    for number in 0..MACHINES {
        let line = fleet.logged(number, "\"voters\"").unwrap_or_default();
        let names = line.split("\"names\":").nth(1).unwrap_or("").to_owned();
        record.line(&format!("front-{number} logged last of the voters: {names}"));
    }
}

fn document(version: u64) -> String {
    let timeout = 2000 + version;
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-1","hostname":"ficu95.example","path-prefix":"/lohu930/","route-type":"idempotent","timeout-ms":{timeout},"target-latency-ms":300,"priority":2,"backend":"wuno96b","max-attempts":2}}],"services":[{{"name":"wuno96b","health-path":"/health","max-conns":130,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#
    )
}

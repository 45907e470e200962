//! Two of five machines with a disk are down for seven seconds. The others go on with three voters, so
//! that two lost disks are too many, although two may be lost.

#[path = "../harness-2/mod.rs"]
mod harness;

use std::path::Path;
use std::process::exit;
use std::thread::sleep;
use std::time::{Duration, Instant};

use harness::fleet::{self, Fleet};
use harness::record::Record;

const MACHINES: usize = 5;

/// The machines that lose power for a while and keep their disks.
const DOWN: [usize; 2] = [3, 4];

/// For how long, as in the site file (`node_kill`, count 2, `for_s = 7.0`).
const DOWN_TIME: Duration = Duration::from_secs(7);

/// When the operator changes the config, counted from their loss of power.
const CHANGE: Duration = Duration::from_millis(6700);

/// How long the machines that lose their disks are down (`after_ack_wipe`, `for_s = 3.0`).
const WIPE_TIME: Duration = Duration::from_secs(3);

/// `catch-up-s`, `contact-ms` and `recovery-s` of the sheet.
const SETTLE: Duration = Duration::from_secs(10);
const RECOVERY: Duration = Duration::from_secs(15);
const READING: Duration = Duration::from_secs(12);

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
    for number in 0..MACHINES {
        fleet.start_gateway(number, true);
    }
    if fleet.publish(&document(1), Duration::from_secs(20)).is_none() {
        record.line("config 1 was not acknowledged");
        return NOT_RUN;
    }
    record.line("operator: config 1 is acknowledged");
    sleep(SETTLE);
    let (found, answers) = fleet.read_back(1, Duration::from_secs(5));
    record.line(&format!("operator: reads of the config: {answers}"));
    if !found {
        return NOT_RUN;
    }
    voters(record, &fleet);
    let down_since = Instant::now();
    if trouble {
        for number in DOWN {
            fleet.kill(&format!("front-{number}"));
        }
        record.line(&format!("machines {DOWN:?} lose power; their disks are kept"));
    }
    sleep(CHANGE);
    voters(record, &fleet);
    // The operator picks among the machines of its list that run.
    let mut acknowledged_by = None;
    let until = Instant::now() + Duration::from_secs(10);
    while acknowledged_by.is_none() && Instant::now() < until {
        let mut running = (0..MACHINES).filter(|number| !DOWN.contains(number));
        acknowledged_by = running.find(|&number| {
            fleet.publish_to(number, &document(2), Duration::from_secs(1))
        });
    }
    let Some(first) = acknowledged_by else {
        record.line("config 2 was not acknowledged");
        return NOT_RUN;
    };
    record.line(&format!("operator: front-{first} acknowledged config 2 with 200"));
    if trouble {
        let mut running = (0..MACHINES).filter(|number| !DOWN.contains(number) && *number != first);
        let wiped = [first, running.next().unwrap_or(0)];
        for number in wiped {
            fleet.lose_disk(number);
        }
        let wiped_since = Instant::now();
        record.line(&format!("machines {wiped:?} lose their disks"));
        sleep(DOWN_TIME.saturating_sub(down_since.elapsed()));
        for number in DOWN {
            fleet.start_gateway(number, false);
        }
        record.line(&format!("machines {DOWN:?} are back, with their disks"));
        sleep(WIPE_TIME.saturating_sub(wiped_since.elapsed()));
        for number in wiped {
            fleet.start_gateway(number, false);
        }
        record.line(&format!("machines {wiped:?} are back, with empty disks; all run now"));
    }
    sleep(RECOVERY);
    let (found, answers) = fleet.read_back(2, READING);
    record.line(&format!("operator: reads of the config, last round: {answers}"));
    voters(record, &fleet);
    record.line(&format!("processes that ended by themselves: {:?}", fleet.ended()));
    if found {
        record.line("LOST held: config 2 was read back");
        return HELD;
    }
    record.line("LOST is broken: config 2 was acknowledged and does not come back");
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

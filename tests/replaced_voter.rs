//! Gateways of which one that votes is replaced as planned, and another one loses its disk.

mod support;

use std::time::{Duration, Instant};

use nutmegyoke_cases::cases;
use support::gateway::{call, config, poll_until};
use support::gateways::Gateways;

/// The time within which the successor has joined and votes.
const JOIN_TIME: Duration = Duration::from_secs(10);

fn publish(gateways: &Gateways, gateway: usize, version: u64) {
    let registrar = gateways.addresses.registrar(gateway);
    let body = config(version).to_string();
    let put = || call(registrar, "PUT", "/config", body.as_bytes());
    poll_until(put, |answer| answer.status == 200);
}

/// Waits until a gateway logs that there are so many voters.
fn wait_for_voters(gateways: &Gateways, count: usize) {
    let start = Instant::now();
    let names = |line: &String| line.matches("\"front-").count();
    let is_line = |line: &String| line.contains("NY0422") && names(line) >= count;
    while !gateways.log().iter().any(is_line) {
        assert!(start.elapsed() < JOIN_TIME, "no {count} voters");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// The voter that had been replaced counted for 6 s after its planned end. Together with the lost
/// disk two of four voters were left, which elect no leader, and control was gone for good.
fn disk_may_be_lost_right_after_a_planned_replacement(victim: usize) {
    let mut gateways = Gateways::spawn(3, 0);
    publish(&gateways, 0, 1);
    gateways.start_voter();
    // The line of a gateway has its own name and those of the voters.
    wait_for_voters(&gateways, 5);
    gateways.signal(0, "TERM");
    gateways.take(0).unwrap().wait();
    let reader = if victim == 2 { 1 } else { 2 };
    publish(&gateways, reader, 2);
    gateways.wipe(victim);
    gateways.start(victim, false);
    let registrar = gateways.addresses.registrar(reader);
    let read = || call(registrar, "GET", "/config", b"");
    let answer = poll_until(read, |answer| answer.status == 200);
    let body = String::from_utf8_lossy(&answer.body);
    assert!(body.contains("\"version\":2"), "{body}");
}

cases!(disk_may_be_lost_right_after_a_planned_replacement {
    of_the_second: (1),
    of_the_third: (2),
    of_the_successor: (3),
});

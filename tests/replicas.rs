//! Control replicas as real processes with data folders on disk.

mod support;

use std::process::Command;
use std::time::{Duration, Instant};

use nutmegyoke_core::request::Id;
use nutmegyoke_core::request::claim::{Name, Outcome};
use nutmegyoke_core::version::configuration::Lists;
use nutmegyoke_host::connection::link;
use nutmegyoke_wire::connection::link_capnp::control;
use nutmegyoke_wire::request::{claim, id};
use nutmegyoke_wire::version::{ini, json};
use support::replicas::Replicas;
use support::{Daemon, free_address};

/// The time within which an accepted configuration must be in force at an entry.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(12);

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Applies a configuration until it is acknowledged. Repeating a number is idempotent.
fn apply_until_acknowledged(replicas: &Replicas, vm: usize, number: u64) {
    for _ in 0..20 {
        if replicas.apply(vm, number).status.success() {
            return;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    panic!("configuration {number} was not acknowledged");
}

#[test]
fn acknowledged_configurations_survive_leader_kills() {
    const KILLED_AT: [u64; 2] = [8, 16];
    const LAST: u64 = 24;
    let mut replicas = Replicas::spawn(3);
    let mut target = 0;
    for number in 1..=LAST {
        if KILLED_AT.contains(&number) {
            let leader = replicas.leader();
            replicas.kill(leader);
            target = (leader + 1) % 3;
            apply_until_acknowledged(&replicas, target, number);
            let status = replicas.wait_for_status(|status| status.number >= number);
            assert_eq!(status.number, number);
            replicas.start(leader);
            replicas.wait_for_voters();
            continue;
        }
        apply_until_acknowledged(&replicas, target, number);
        target = (target + 1) % 3;
    }
    for vm in 0..3 {
        assert_eq!(replicas.status(vm).unwrap().number, LAST);
        assert_eq!(
            replicas.apply(vm, LAST).status.code(),
            Some(0),
            "the same number again"
        );
        assert_eq!(
            replicas.apply(vm, LAST - 1).status.code(),
            Some(3),
            "a lower number"
        );
    }
}

/// A replica that has lost its disk receives the whole log again before it votes. Otherwise
/// the loss of a second disk could lose configuration 8, which only two replicas had stored
/// at first.
#[test]
fn acknowledged_configurations_survive_a_second_lost_disk_after_recovery() {
    let mut replicas = Replicas::spawn(3);
    apply_until_acknowledged(&replicas, 0, 7);
    let leader = replicas.leader();
    let (first, second) = ((leader + 1) % 3, leader);
    replicas.wipe(first);
    apply_until_acknowledged(&replicas, second, 8);
    replicas.start(first);
    replicas.wait_for_voters();
    replicas.wipe(second);
    apply_until_acknowledged(&replicas, first, 9);
    assert_eq!(replicas.apply(first, 8).status.code(), Some(3));
    replicas.start(second);
    assert_eq!(replicas.wait_for_voters().number, 9);
}

#[test]
fn configuration_survives_a_restart_of_the_whole_group() {
    let mut replicas = Replicas::spawn(3);
    apply_until_acknowledged(&replicas, 1, 5);
    for vm in 0..3 {
        replicas.kill(vm);
    }
    for vm in 0..3 {
        replicas.start(vm);
    }
    assert_eq!(
        replicas.wait_for_status(|status| status.number > 0).number,
        5
    );
}

#[test]
fn replica_is_removed_and_added_again() {
    let mut replicas = Replicas::spawn(3);
    apply_until_acknowledged(&replicas, 0, 1);
    let removed = (replicas.leader() + 1) % 3;
    let name = replicas.vms[removed].name.clone();
    let target = (removed + 1) % 3;
    let output = replicas.run_tool(target, &["replica", "remove", &name]);
    assert!(output.status.success(), "{output:?}");
    replicas.wait_for_status(|status| status.replicas.len() == 2);
    replicas.wipe(removed);
    replicas.start(removed);
    let output = replicas.run_tool(target, &["replica", "add", &name]);
    assert!(output.status.success(), "{output:?}");
    replicas.wait_for_voters();
}

#[test]
fn data_folder_is_locked_against_a_second_process() {
    let replicas = Replicas::spawn(1);
    let text = std::fs::read_to_string(replicas.write_settings(0)).unwrap();
    let text = text.replace(
        &replicas.vms[0].listen.to_string(),
        &free_address().to_string(),
    );
    let text = text.replace(
        &replicas.vms[0].operators.to_string(),
        &free_address().to_string(),
    );
    let path = replicas.data_folder(0).join("second.ini");
    std::fs::write(&path, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoked"));
    let output = command.arg("--settings").arg(path).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(stderr.contains("in use by another process"), "{stderr}");
}

#[test]
fn damaged_journal_error_says_how_to_recover() {
    let mut replicas = Replicas::spawn(1);
    apply_until_acknowledged(&replicas, 0, 1);
    apply_until_acknowledged(&replicas, 0, 2);
    replicas.kill(0);
    let path = replicas.data_folder(0).join("journal");
    let mut bytes = std::fs::read(&path).unwrap();
    bytes[20] ^= 1;
    std::fs::write(&path, bytes).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoked"));
    let path = replicas.write_settings(0);
    let output = command.arg("--settings").arg(path).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(stderr.contains("damaged at byte 0"), "{stderr}");
    assert!(stderr.contains("Move the data folder away"), "{stderr}");
}

/// Requests the claim of one key for the holder with the number `holder`.
async fn request_claim(replicas: &Replicas, vm: usize, holder: u64) -> Outcome {
    let link = link::dial::<control::Client>(replicas.vms[vm].listen).await;
    let link = link.unwrap();
    let mut request = link.client.claim_request();
    let name = Name {
        customer: "kayal".into(),
        key: "lot-1".to_owned(),
    };
    let holder = Id {
        entry: 1,
        number: holder,
    };
    claim::write_name(&name, request.get().init_name());
    id::write(holder, request.get().init_holder());
    request.get().set_digest(5);
    let response = request.send().promise.await.unwrap();
    claim::read_outcome(response.get().unwrap().get_outcome().unwrap()).unwrap()
}

#[test]
fn claim_survives_fail_over_and_restart() {
    let mut replicas = Replicas::spawn(3);
    let runtime = compio::runtime::Runtime::new().unwrap();
    let leader = replicas.leader();
    let other = (leader + 1) % 3;
    assert_eq!(
        runtime.block_on(request_claim(&replicas, other, 1)),
        Outcome::Granted
    );
    replicas.kill(leader);
    let held = |outcome| matches!(outcome, Outcome::Held { claim } if claim.holder.number == 1);
    assert!(held(runtime.block_on(request_claim(&replicas, other, 2))));
    for vm in 0..3 {
        replicas.kill(vm);
    }
    for vm in 0..3 {
        replicas.start(vm);
    }
    replicas.wait_for_status(|_| true);
    assert!(held(runtime.block_on(request_claim(&replicas, leader, 3))));
    // The holder gets the grant again, as if its answer had been lost.
    assert_eq!(
        runtime.block_on(request_claim(&replicas, other, 1)),
        Outcome::Granted
    );
}

/// Submits configurations that differ in the plan's concurrency limit.
async fn submit_versions(replicas: &Replicas, numbers: std::ops::RangeInclusive<u64>) {
    let client = cyper::Client::new().unwrap();
    let plans = include_str!("../examples/demo/plans.ini");
    let grants = include_str!("../examples/demo/grants.ini");
    let mut lists = Lists {
        number: 0,
        plans: ini::plans("plans.ini", plans).unwrap(),
        grants: ini::grants("grants.ini", grants).unwrap(),
    };
    for number in numbers {
        lists.number = number;
        lists.plans[0].concurrency = u32::try_from(number).unwrap();
        let url = format!("http://{}/v1/configuration", replicas.vms[0].operators);
        let request = client.post(url).unwrap().body(json::encode(&lists));
        assert_eq!(request.send().await.unwrap().status().as_u16(), 200);
    }
}

fn spawn_entry(replicas: &Replicas) -> (Daemon, std::net::SocketAddr) {
    let operators = free_address();
    let text = format!(
        "[process]\nrole = entry\nname = entry-1\ndata-centre = alp-a\noperators = {operators}\n\
         control = {}, {}\n[entry]\ncallers = {}\n",
        replicas.vms[0].listen,
        replicas.vms[1].listen,
        free_address()
    );
    let path = replicas.data_folder(0).join("entry.ini");
    std::fs::write(&path, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_nutmegyoked"));
    command.arg("--settings").arg(path);
    (Daemon::spawn(command, "NY0100"), operators)
}

/// Reads the number of the configuration in force from an entry's metrics.
async fn in_force(operators: std::net::SocketAddr) -> Option<u64> {
    let client = cyper::Client::new().ok()?;
    let request = client.get(format!("http://{operators}/metrics")).ok()?;
    let text = request.send().await.ok()?.text().await.ok()?;
    let mut lines = text.lines();
    let line = lines.find(|line| line.starts_with("nutmegyoke_configuration{"))?;
    line.rsplit_once(' ')?.1.parse().ok()
}

async fn wait_until_in_force(operators: std::net::SocketAddr, number: u64) {
    let start = Instant::now();
    while in_force(operators).await != Some(number) {
        assert!(
            start.elapsed() < IN_FORCE_TIMEOUT,
            "configuration {number} did not come into force in time"
        );
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

#[test]
fn entry_restarted_after_500_versions_catches_up() {
    let replicas = Replicas::spawn(3);
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        submit_versions(&replicas, 1..=1).await;
        let (entry, operators) = spawn_entry(&replicas);
        wait_until_in_force(operators, 1).await;
        drop(entry);
        submit_versions(&replicas, 2..=501).await;
        let (_entry, operators) = spawn_entry(&replicas);
        wait_until_in_force(operators, 501).await;
        // An entry that is a few versions behind receives only the differences.
        submit_versions(&replicas, 502..=503).await;
        wait_until_in_force(operators, 503).await;
    });
}

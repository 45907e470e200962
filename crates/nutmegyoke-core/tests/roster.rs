//! Tests of bootstrap, joining and replacement of replicas when the settings name only a few
//! contacts, and of published documents.

mod support;

use std::rc::Rc;
use std::time::Duration;

use nutmegyoke_cases::cases;
use nutmegyoke_core::process::control::replica::{Change as MembershipChange, Event, State};
use nutmegyoke_core::process::control::store::{Change, Outcome, Store};
use nutmegyoke_core::version::Document;
use support::{ELECTION_TIMEOUT, Link, Simulation};

const RELIABLE: Link = Link {
    loss_percent: 0,
    duplicate_percent: 0,
    max_delay_ms: 2,
};

const LOSSY: Link = Link {
    loss_percent: 20,
    duplicate_percent: 10,
    max_delay_ms: 20,
};

/// Time within which all running VMs join the fleet.
const JOIN_TIME: Duration = Duration::from_secs(20);

/// Five VMs, of which the last two are observers.
fn group(link: Link, seed: u64) -> Simulation<Store> {
    Simulation::open_with_contacts(5, seed, link, |vm| vm >= 3)
}

fn member_names(simulation: &Simulation<Store>, voter: bool) -> Vec<String> {
    let leader = simulation.leader().expect("no leader");
    let replica = simulation.vms[leader].replica.as_ref().unwrap();
    let peers = replica.membership().peers.iter();
    let peers = peers.filter(|peer| peer.voter == voter);
    let mut names: Vec<String> = peers.map(|peer| peer.seed.name.clone()).collect();
    names.sort();
    names
}

fn voters_and_observers_join(link: Link, seed: u64) {
    let mut simulation = group(link, seed);
    simulation.run(JOIN_TIME);
    assert_eq!(
        member_names(&simulation, true),
        ["control-0", "control-1", "control-2"]
    );
    assert_eq!(member_names(&simulation, false), ["control-3", "control-4"]);
}

cases!(voters_and_observers_join {
    reliable_links_seed_1: (RELIABLE, 1),
    reliable_links_seed_2: (RELIABLE, 2),
    lossy_links_seed_3: (LOSSY, 3),
    lossy_links_seed_4: (LOSSY, 4),
});

#[test]
fn no_fleet_is_bootstrapped_while_a_contact_is_down() {
    let mut simulation = group(RELIABLE, 5);
    simulation.kill(1);
    simulation.run(JOIN_TIME);
    assert!(simulation.leader().is_none());
    simulation.start(1);
    simulation.run(JOIN_TIME);
    assert!(simulation.leader().is_some());
}

#[test]
fn contact_with_an_empty_disk_rejoins_the_existing_fleet() {
    let mut simulation = group(RELIABLE, 6);
    simulation.run(JOIN_TIME);
    simulation.wipe(0);
    simulation.start(0);
    simulation.run(JOIN_TIME);
    assert_eq!(
        member_names(&simulation, true),
        ["control-0", "control-1", "control-2"]
    );
}

#[test]
fn restarted_observer_joins_with_a_new_id() {
    let mut simulation = group(RELIABLE, 7);
    simulation.run(JOIN_TIME);
    // An observer has no disk, so it restarts as a new replica.
    simulation.wipe(4);
    simulation.start(4);
    simulation.run(JOIN_TIME);
    assert_eq!(member_names(&simulation, false), ["control-3", "control-4"]);
    let id = simulation.vms[4].id;
    assert!(simulation.membership.peer(id).is_some());
}

#[test]
fn observers_without_a_voter_among_their_contacts_join_through_the_leader() {
    let mut simulation = group(RELIABLE, 9);
    simulation.run(JOIN_TIME);
    for vm in 0..5 {
        simulation.kill(vm);
    }
    for vm in 3..5 {
        simulation.wipe(vm);
    }
    let contacts = [simulation.address(3), simulation.address(4)];
    for vm in 0..5 {
        simulation.start(vm);
        let contacts = contacts.as_slice();
        simulation.feed(vm, Event::ContactsChanged { contacts });
    }
    simulation.run(Duration::from_secs(4));
    for vm in 3..5 {
        let id = simulation.vms[vm].id;
        assert!(
            simulation.membership.peer(id).is_some(),
            "VM {vm} did not join"
        );
    }
}

#[test]
fn leader_is_elected_within_one_timeout_after_all_restart() {
    let mut simulation = group(RELIABLE, 10);
    simulation.run(JOIN_TIME);
    for vm in 0..5 {
        simulation.kill(vm);
    }
    for vm in 0..5 {
        simulation.start(vm);
    }
    simulation.run(ELECTION_TIMEOUT);
    assert!(simulation.leader().is_some());
}

/// Voters that restart must wait out the lease of a leader that they answered before.
/// That leader is partitioned and still leads until its lease expires.
fn restarted_voters_elect_no_second_leader(seed: u64) {
    let mut simulation = group(RELIABLE, seed);
    simulation.run(JOIN_TIME);
    let leader = simulation.leader().unwrap();
    simulation.isolated.insert(leader);
    for vm in (0..3).filter(|&vm| vm != leader) {
        simulation.kill(vm);
        simulation.start(vm);
    }
    for _ in 0..2000 {
        simulation.run(Duration::from_millis(1));
        let replicas = simulation.vms.iter().filter_map(|vm| vm.replica.as_ref());
        assert!(replicas.filter(|replica| replica.is_leader()).count() <= 1);
    }
    assert_ne!(simulation.leader(), Some(leader));
}

cases!(restarted_voters_elect_no_second_leader {
    seed_11: (11),
    seed_12: (12),
    seed_13: (13),
});

/// Voters that are lost for good are replaced, one after the other, by VMs with empty
/// disks at other addresses. The dead voters must be removed, so that the fleet
/// tolerates one more failure.
fn dead_voters_are_replaced(replaced: usize, seed: u64) {
    let mut simulation =
        Simulation::<Store>::open_with_contacts(3 + replaced, seed, RELIABLE, |_| false);
    for vm in 3..3 + replaced {
        simulation.kill(vm);
    }
    simulation.run(JOIN_TIME);
    for vm in 0..replaced {
        simulation.kill(vm);
        simulation.start(3 + vm);
        simulation.run(JOIN_TIME);
    }
    assert_eq!(member_names(&simulation, true).len(), 3);
    // The fleet tolerates one more failure.
    let leader = simulation.leader().unwrap();
    simulation.kill(leader);
    simulation.run(JOIN_TIME);
    assert!(simulation.leader().is_some());
}

cases!(dead_voters_are_replaced {
    one_voter: (1, 21),
    two_voters: (2, 22),
});

/// How a voter that has been replaced ends.
#[derive(Clone, Copy, Debug)]
enum End {
    /// It leaves the membership first.
    Planned,
    /// It is killed.
    Killed,
}

/// Which of the remaining voters loses its disk.
#[derive(Clone, Copy, Debug)]
enum Victim {
    Leader,
    Follower,
    Successor,
}

/// How long after the end of a voter another one may lose its disk: no time after a planned one,
/// and else as long as a machine counts as lost.
fn time_until_loss(end: End) -> Duration {
    match end {
        End::Planned => Duration::ZERO,
        End::Killed => Duration::from_secs(4),
    }
}

/// Three voters and their successor; the first to end is the leader or another one.
fn replace_voter(simulation: &mut Simulation<Store>, end: End, leads: bool) -> usize {
    simulation.run(JOIN_TIME);
    simulation.start(3);
    simulation.run(Duration::from_secs(6));
    assert_eq!(member_names(simulation, true).len(), 4);
    let leader = simulation.expect_leader();
    let other = (0..3).find(|&vm| vm != leader).unwrap();
    let replaced = if leads { leader } else { other };
    if matches!(end, End::Planned) {
        simulation.feed(replaced, Event::Stopping);
        simulation.run(ELECTION_TIMEOUT);
        assert!(simulation.replica(replaced).should_leave());
        let name = format!("control-{replaced}");
        let change = MembershipChange::Remove(&name);
        let leader = simulation.expect_leader();
        simulation.feed(leader, Event::MembershipProposed { call: 1, change });
        simulation.run(ELECTION_TIMEOUT / 10);
    }
    simulation.kill(replaced);
    replaced
}

/// A voter that ended was a fourth one for 6 s more. If another one lost its disk meanwhile, two
/// of four were left, and no leader could be elected nor the membership be changed, for good.
fn disk_may_be_lost_after_a_voter_was_replaced(end: End, leads: bool, victim: Victim, seed: u64) {
    let mut simulation = Simulation::<Store>::open_with_contacts(4, seed, RELIABLE, |_| false);
    simulation.kill(3);
    let replaced = replace_voter(&mut simulation, end, leads);
    simulation.run(time_until_loss(end));
    let leader = simulation.expect_leader();
    let victim = match victim {
        Victim::Leader => leader,
        Victim::Follower => (0..3).find(|&vm| vm != leader && vm != replaced).unwrap(),
        Victim::Successor => 3,
    };
    simulation.wipe(victim);
    simulation.run(Duration::from_millis(1500));
    simulation.start(victim);
    simulation.run(JOIN_TIME);
    assert_eq!(member_names(&simulation, true).len(), 3);
}

cases!(disk_may_be_lost_after_a_voter_was_replaced {
    planned_then_the_leader: (End::Planned, false, Victim::Leader, 31),
    planned_then_a_follower: (End::Planned, false, Victim::Follower, 32),
    planned_then_the_successor: (End::Planned, false, Victim::Successor, 33),
    planned_end_of_the_leader: (End::Planned, true, Victim::Leader, 34),
    killed_then_the_leader: (End::Killed, false, Victim::Leader, 35),
    killed_then_a_follower: (End::Killed, false, Victim::Follower, 36),
    killed_then_the_successor: (End::Killed, false, Victim::Successor, 37),
    killed_leader: (End::Killed, true, Victim::Leader, 38),
});

/// Two voters of four that stop at the same time must not both leave.
#[test]
fn three_voters_stay_when_two_leave_at_once() {
    let mut simulation = Simulation::<Store>::open_with_contacts(4, 39, RELIABLE, |_| false);
    simulation.run(JOIN_TIME);
    let leader = simulation.expect_leader();
    for (call, vm) in (1..).zip((0..4).filter(|&vm| vm != leader).take(2)) {
        let name = format!("control-{vm}");
        let change = MembershipChange::Remove(&name);
        simulation.feed(leader, Event::MembershipProposed { call, change });
        simulation.run(ELECTION_TIMEOUT / 10);
    }
    assert_eq!(member_names(&simulation, true).len(), 3);
}

#[test]
fn removed_voter_that_still_runs_rejoins_soon() {
    let mut simulation = Simulation::<Store>::open_with_contacts(4, 24, RELIABLE, |_| false);
    simulation.run(JOIN_TIME);
    let leader = simulation.leader().unwrap();
    let other = (0..4).find(|&vm| vm != leader).unwrap();
    let name = format!("control-{other}");
    let change = MembershipChange::Remove(&name);
    simulation.feed(leader, Event::MembershipProposed { call: 1, change });
    simulation.run(ELECTION_TIMEOUT / 10);
    let id = simulation.vms[other].id;
    assert!(simulation.membership.peer(id).is_none());
    // The removed replica isn't notified. It must notice soon that the leader is silent,
    // although it received a message from it just before, and ask to join again.
    simulation.run(ELECTION_TIMEOUT * 5 / 2);
    assert!(simulation.membership.peer(id).is_some());
}

#[test]
fn voter_removed_during_a_partition_regains_its_vote() {
    let mut simulation = Simulation::<Store>::open_with_contacts(4, 23, RELIABLE, |_| false);
    simulation.run(JOIN_TIME);
    assert_eq!(member_names(&simulation, true).len(), 4);
    let leader = simulation.leader().unwrap();
    let partitioned = (0..4).find(|&vm| vm != leader).unwrap();
    simulation.isolated.insert(partitioned);
    simulation.run(JOIN_TIME);
    assert_eq!(member_names(&simulation, true).len(), 3);
    simulation.isolated.remove(&partitioned);
    simulation.run(JOIN_TIME);
    assert_eq!(member_names(&simulation, true).len(), 4);
}

#[test]
fn observers_receive_committed_changes() {
    let mut simulation = group(RELIABLE, 8);
    simulation.run(JOIN_TIME);
    let leader = simulation.leader().unwrap();
    let change = publish(7);
    simulation.feed(
        leader,
        Event::Proposed {
            call: 1,
            change: &change,
        },
    );
    simulation.run(Duration::from_secs(1));
    let observer = simulation.vms[4].replica.as_ref().unwrap();
    assert_eq!(observer.state().document.as_ref().unwrap().number, 7);
}

/// Without a leader, each replica asked all others to let it join, several times a second, and
/// the voters were too busy to elect a leader.
#[test]
fn replicas_without_a_leader_ask_few_others_to_join() {
    const OBSERVERS: usize = 20;
    // Three contacts for each of five heartbeats, each of which forwards the request.
    const REQUESTS_PER_SECOND: usize = 30;
    let count = 3 + OBSERVERS;
    let mut simulation = Simulation::<Store>::open_with_contacts(count, 40, RELIABLE, |vm| vm >= 3);
    simulation.run(JOIN_TIME);
    assert_eq!(member_names(&simulation, false).len(), OBSERVERS);
    for vm in 0..3 {
        simulation.kill(vm);
    }
    simulation.run(ELECTION_TIMEOUT * 3);
    simulation.joins_sent = 0;
    simulation.run(Duration::from_secs(1));
    let sent = simulation.joins_sent;
    assert!(sent > 0, "no requests");
    assert!(sent <= OBSERVERS * REQUESTS_PER_SECOND, "{sent} requests");
}

fn publish(number: u64) -> Change {
    let document = Rc::new(Document {
        number,
        source: number.to_string().as_bytes().into(),
    });
    Change::Publish { document }
}

/// Publishes documents in order, and checks which one is in force and which number
/// the publisher gets back.
fn document_in_force(numbers: &[u64], expected: u64) {
    let mut store = Store::default();
    let mut outcome = Outcome::Published { number: None };
    for &number in numbers {
        outcome = store.apply(&publish(number));
    }
    assert_eq!(
        outcome,
        Outcome::Published {
            number: Some(expected)
        }
    );
    assert_eq!(store.document.as_ref().unwrap().number, expected);
    assert_eq!(store.apply(&Change::Barrier), outcome);
}

cases!(document_in_force {
    only_one_published: (&[3], 3),
    higher_number_replaces_lower: (&[3, 9], 9),
    lower_number_is_ignored: (&[9, 3], 9),
    equal_number_is_ignored: (&[9, 9], 9),
});

#[test]
fn other_content_under_the_same_number_is_ignored() {
    let mut store = Store::default();
    store.apply(&publish(9));
    let document = Rc::new(Document {
        number: 9,
        source: b"other".as_slice().into(),
    });
    store.apply(&Change::Publish { document });
    assert_eq!(&*store.document.unwrap().source, b"9");
}

//! Founding and joining where the settings name only a few contacts.

mod support;

use std::rc::Rc;
use std::time::Duration;

use nutmegyoke_cases::cases;
use nutmegyoke_core::process::control::replica::{Event, State, Wish};
use nutmegyoke_core::process::control::store::{Change, Outcome, Store};
use nutmegyoke_core::version::Document;
use support::{ELECTION, Simulation, Weather};

const CALM: Weather = Weather {
    loss: 0,
    twice: 0,
    delay: 2,
};

const ROUGH: Weather = Weather {
    loss: 20,
    twice: 10,
    delay: 20,
};

/// Time after which all that run have found each other.
const JOIN: Duration = Duration::from_secs(20);

/// Five VMs of which the last two observe.
fn group(weather: Weather, seed: u64) -> Simulation<Store> {
    Simulation::open_roster(5, seed, weather, |vm| vm >= 3)
}

fn names(simulation: &Simulation<Store>, voter: bool) -> Vec<String> {
    let leader = simulation.leader().expect("a leader");
    let replica = simulation.vms[leader].replica.as_ref().unwrap();
    let peers = replica.membership().peers.iter();
    let peers = peers.filter(|peer| peer.voter == voter);
    let mut names: Vec<String> = peers.map(|peer| peer.seed.name.clone()).collect();
    names.sort();
    names
}

fn joins(weather: Weather, seed: u64) {
    let mut simulation = group(weather, seed);
    simulation.run(JOIN);
    assert_eq!(
        names(&simulation, true),
        ["control-0", "control-1", "control-2"]
    );
    assert_eq!(names(&simulation, false), ["control-3", "control-4"]);
}

cases!(joins {
    in_calm: (CALM, 1),
    in_calm_otherwise: (CALM, 2),
    over_bad_links: (ROUGH, 3),
    over_bad_links_otherwise: (ROUGH, 4),
});

#[test]
fn nothing_is_founded_while_a_contact_is_silent() {
    let mut simulation = group(CALM, 5);
    simulation.kill(1);
    simulation.run(JOIN);
    assert!(simulation.leader().is_none());
    simulation.start(1);
    simulation.run(JOIN);
    assert!(simulation.leader().is_some());
}

#[test]
fn contact_that_lost_its_disk_joins_and_founds_nothing() {
    let mut simulation = group(CALM, 6);
    simulation.run(JOIN);
    simulation.wipe(0);
    simulation.start(0);
    simulation.run(JOIN);
    assert_eq!(
        names(&simulation, true),
        ["control-0", "control-1", "control-2"]
    );
}

#[test]
fn restarted_observer_joins_anew() {
    let mut simulation = group(CALM, 7);
    simulation.run(JOIN);
    // It has no disk, so it comes back as a new replica.
    simulation.wipe(4);
    simulation.start(4);
    simulation.run(JOIN);
    assert_eq!(names(&simulation, false), ["control-3", "control-4"]);
    let id = simulation.vms[4].id;
    assert!(simulation.membership.peer(id).is_some());
}

#[test]
fn observers_that_know_only_each_other_are_found_by_the_leader() {
    let mut simulation = group(CALM, 9);
    simulation.run(JOIN);
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
        simulation.feed(vm, Event::Contacted { contacts });
    }
    simulation.run(Duration::from_secs(4));
    for vm in 3..5 {
        let id = simulation.vms[vm].id;
        assert!(simulation.membership.peer(id).is_some(), "vm {vm}");
    }
}

#[test]
fn leader_is_elected_soon_after_all_were_restarted() {
    let mut simulation = group(CALM, 10);
    simulation.run(JOIN);
    for vm in 0..5 {
        simulation.kill(vm);
    }
    for vm in 0..5 {
        simulation.start(vm);
    }
    simulation.run(ELECTION);
    assert!(simulation.leader().is_some());
}

/// The others are restarted just after they answered a leader that is then cut off.
fn restarted_voters_elect_nobody_beside_a_leader(seed: u64) {
    let mut simulation = group(CALM, seed);
    simulation.run(JOIN);
    let leader = simulation.leader().unwrap();
    simulation.cut.insert(leader);
    for vm in (0..3).filter(|&vm| vm != leader) {
        simulation.kill(vm);
        simulation.start(vm);
    }
    for _ in 0..2000 {
        simulation.run(Duration::from_millis(1));
        let replicas = simulation.vms.iter().filter_map(|vm| vm.replica.as_ref());
        assert!(replicas.filter(|replica| replica.leads()).count() <= 1);
    }
    assert_ne!(simulation.leader(), Some(leader));
}

cases!(restarted_voters_elect_nobody_beside_a_leader {
    once: (11),
    otherwise: (12),
    once_more: (13),
});

/// Voters are replaced by VMs with empty disks at other addresses, one after the
/// other, as those do that are gone for good.
fn voters_that_are_gone_make_way(replaced: usize, seed: u64) {
    let mut simulation = Simulation::<Store>::open_roster(3 + replaced, seed, CALM, |_| false);
    for vm in 3..3 + replaced {
        simulation.kill(vm);
    }
    simulation.run(JOIN);
    for vm in 0..replaced {
        simulation.kill(vm);
        simulation.start(3 + vm);
        simulation.run(JOIN);
    }
    assert_eq!(names(&simulation, true).len(), 3);
    // One more may be lost.
    let leader = simulation.leader().unwrap();
    simulation.kill(leader);
    simulation.run(JOIN);
    assert!(simulation.leader().is_some());
}

cases!(voters_that_are_gone_make_way {
    one: (1, 21),
    two: (2, 22),
});

#[test]
fn voter_that_is_taken_out_while_it_runs_is_back_soon() {
    let mut simulation = Simulation::<Store>::open_roster(4, 24, CALM, |_| false);
    simulation.run(JOIN);
    let leader = simulation.leader().unwrap();
    let other = (0..4).find(|&vm| vm != leader).unwrap();
    let name = format!("control-{other}");
    let wish = Wish::Remove(&name);
    simulation.feed(leader, Event::Wished { call: 1, wish });
    simulation.run(ELECTION / 10);
    let id = simulation.vms[other].id;
    assert!(simulation.membership.peer(id).is_none());
    // It heard the leader a moment ago, and must not be left behind for long.
    simulation.run(ELECTION * 5 / 2);
    assert!(simulation.membership.peer(id).is_some());
}

#[test]
fn voter_that_was_cut_off_for_long_votes_again() {
    let mut simulation = Simulation::<Store>::open_roster(4, 23, CALM, |_| false);
    simulation.run(JOIN);
    assert_eq!(names(&simulation, true).len(), 4);
    let leader = simulation.leader().unwrap();
    let cut = (0..4).find(|&vm| vm != leader).unwrap();
    simulation.cut.insert(cut);
    simulation.run(JOIN);
    assert_eq!(names(&simulation, true).len(), 3);
    simulation.cut.remove(&cut);
    simulation.run(JOIN);
    assert_eq!(names(&simulation, true).len(), 4);
}

#[test]
fn observers_receive_what_is_committed() {
    let mut simulation = group(CALM, 8);
    simulation.run(JOIN);
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

fn publish(number: u64) -> Change {
    let document = Rc::new(Document {
        number,
        source: number.to_string().as_bytes().into(),
    });
    Change::Publish { document }
}

/// The document in force after others, and what its author is told.
fn keeps(numbers: &[u64], kept: u64) {
    let mut store = Store::default();
    let mut told = Outcome::Published { number: None };
    for &number in numbers {
        told = store.apply(&publish(number));
    }
    assert_eq!(told, Outcome::Published { number: Some(kept) });
    assert_eq!(store.document.as_ref().unwrap().number, kept);
    assert_eq!(store.apply(&Change::Barrier), told);
}

cases!(keeps {
    the_first: (&[3], 3),
    the_higher: (&[3, 9], 9),
    not_the_lower: (&[9, 3], 9),
    the_first_of_two_alike: (&[9, 9], 9),
});

#[test]
fn other_content_under_the_same_number_changes_nothing() {
    let mut store = Store::default();
    store.apply(&publish(9));
    let document = Rc::new(Document {
        number: 9,
        source: b"other".as_slice().into(),
    });
    store.apply(&Change::Publish { document });
    assert_eq!(&*store.document.unwrap().source, b"9");
}

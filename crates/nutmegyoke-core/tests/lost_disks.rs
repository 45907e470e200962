//! Disks of voters that are lost while other voters are down, within what the fleet tolerates.

mod support;

use std::rc::Rc;
use std::time::Duration;

use nutmegyoke_cases::cases;
use nutmegyoke_core::process::control::replica::{Change as MembershipChange, Event};
use nutmegyoke_core::process::control::store::{Change, Store};
use nutmegyoke_core::version::Document;
use support::{ELECTION_TIMEOUT, Link, Simulation};

const RELIABLE: Link = Link {
    loss_percent: 0,
    duplicate_percent: 0,
    max_delay_ms: 2,
};

/// Time within which all running VMs join the fleet.
const JOIN_TIME: Duration = Duration::from_secs(20);

/// Time within which a change is committed while a leader is elected.
const COMMIT_TIME: Duration = Duration::from_secs(6);

const STEP: Duration = Duration::from_millis(20);

/// Publishes a document, again and again at the leader of the time, until it is committed.
fn publish(simulation: &mut Simulation<Store>, number: u64) {
    let document = Rc::new(Document {
        number,
        source: b"routes".as_slice().into(),
    });
    let change = Change::Publish { document };
    let end = simulation.now + COMMIT_TIME;
    for call in number * 1000.. {
        if let Some(leader) = simulation.leader() {
            let change = &change;
            simulation.feed(leader, Event::Proposed { call, change });
        }
        simulation.run(STEP);
        if simulation.outcomes.range(number * 1000..=call).count() > 0 {
            return;
        }
        assert!(simulation.now < end, "document {number} is not committed");
    }
}

/// Checks that control has returned and that the last published document is in force.
fn check_document(simulation: &Simulation<Store>, number: u64) {
    let leader = simulation.expect_leader();
    assert!(simulation.replica(leader).is_ready_leader());
    let document = &simulation.replica(leader).state().document;
    let held = document.as_ref().map(|document| document.number);
    assert_eq!(held, Some(number), "the document that was acknowledged");
}

/// Starts `count` VMs, of which all become voters.
fn open(count: usize, losses: Option<usize>, seed: u64) -> Simulation<Store> {
    let mut simulation = Simulation::open_with_contacts(count, seed, RELIABLE, |_| false);
    simulation.tolerated_losses = losses;
    for vm in 0..count {
        simulation.kill(vm);
        simulation.start(vm);
    }
    simulation.run(JOIN_TIME);
    assert_eq!(simulation.membership.voters().count(), count);
    simulation
}

/// With two of five voters silent the leader went on with three, of which two lost disks are too
/// many: no leader could be elected any more, although the other two had kept their disks.
fn two_disks_may_be_lost_while_two_voters_are_down(losses: Option<usize>, seed: u64) {
    let mut simulation = open(5, losses, seed);
    publish(&mut simulation, 1);
    let leader = simulation.expect_leader();
    let others: Vec<usize> = (0..5).filter(|&vm| vm != leader).collect();
    for &vm in &others[..2] {
        simulation.kill(vm);
    }
    simulation.run(Duration::from_secs(10));
    publish(&mut simulation, 2);
    for vm in [leader, others[2]] {
        simulation.wipe(vm);
    }
    simulation.run(ELECTION_TIMEOUT / 2);
    for &vm in &others[..2] {
        simulation.start(vm);
    }
    simulation.run(ELECTION_TIMEOUT * 3);
    for vm in [leader, others[2]] {
        simulation.start(vm);
    }
    simulation.run(JOIN_TIME);
    check_document(&simulation, 2);
    assert_eq!(simulation.membership.voters().count(), 5);
}

cases!(two_disks_may_be_lost_while_two_voters_are_down {
    losses_unknown_seed_1: (None, 1),
    losses_unknown_seed_2: (None, 2),
    two_losses_seed_3: (Some(2), 3),
    two_losses_seed_4: (Some(2), 4),
});

/// Dead voters are still removed from an odd number where enough of them stay.
fn dead_voters_are_removed_down_to(losses: usize, expected: usize) {
    let mut simulation = open(7, Some(losses), 5);
    let leader = simulation.expect_leader();
    for vm in (0..7).filter(|&vm| vm != leader).take(3) {
        simulation.kill(vm);
    }
    simulation.run(JOIN_TIME);
    assert_eq!(simulation.membership.voters().count(), expected);
}

cases!(dead_voters_are_removed_down_to {
    one_loss: (1, 5),
    two_losses: (2, 5),
    three_losses: (3, 7),
});

/// Which of the voters that are left loses its disk.
#[derive(Clone, Copy, Debug)]
enum Victim {
    Leader,
    Follower,
    Successor,
}

/// What happens to the others while the lost disk's machine is down.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Beside {
    Nothing,
    /// They lose power and are back before it.
    PowerLoss,
    /// The machine loses its disk again before it has caught up.
    SecondLoss,
}

/// A machine went for good right after its successor had joined, and another one lost its disk
/// before the old one was removed: two of four voters were left, which elected no leader, and
/// only a leader changes the membership. Control was gone for good.
fn disk_may_be_lost_before_the_replaced_voter_is_removed(
    voters: usize,
    victim: Victim,
    beside: Beside,
    seed: u64,
) {
    let mut simulation = open_with_successor(voters, seed);
    publish(&mut simulation, 1);
    let leader = simulation.expect_leader();
    let replaced = (0..voters).find(|&vm| vm != leader).unwrap();
    simulation.kill(replaced);
    simulation.run(ELECTION_TIMEOUT / 2);
    publish(&mut simulation, 2);
    let losses = (voters - 1) / 2;
    let first = match victim {
        Victim::Leader => simulation.expect_leader(),
        Victim::Follower => (0..voters)
            .rfind(|&vm| vm != leader && vm != replaced)
            .unwrap(),
        Victim::Successor => voters,
    };
    let others = (0..=voters).filter(|&vm| vm != replaced && vm != first);
    let others: Vec<usize> = others.collect();
    let mut victims = vec![first];
    victims.extend(&others[..losses - 1]);
    for &vm in &victims {
        simulation.wipe(vm);
    }
    if beside == Beside::PowerLoss {
        for &vm in &others[losses - 1..] {
            simulation.kill(vm);
            simulation.start(vm);
        }
    }
    simulation.run(ELECTION_TIMEOUT * 3);
    assert!(simulation.leader().is_none(), "half of the voters lead");
    for &vm in &victims {
        simulation.start(vm);
    }
    if beside == Beside::SecondLoss {
        let end = simulation.now + JOIN_TIME;
        while simulation.reseats == 0 {
            simulation.run(Duration::from_millis(1));
            assert!(simulation.now < end, "no voter is replaced");
        }
        simulation.wipe(first);
        simulation.run(ELECTION_TIMEOUT);
        simulation.start(first);
    }
    simulation.run(JOIN_TIME);
    check_document(&simulation, 2);
    assert_eq!(simulation.membership.voters().count(), voters);
}

/// Starts `voters` machines, and one more once they all vote.
fn open_with_successor(voters: usize, seed: u64) -> Simulation<Store> {
    let mut simulation = Simulation::open_with_contacts(voters + 1, seed, RELIABLE, |_| false);
    simulation.kill(voters);
    simulation.run(JOIN_TIME);
    assert_eq!(simulation.membership.voters().count(), voters);
    simulation.start(voters);
    simulation.run(JOIN_TIME);
    assert_eq!(simulation.membership.voters().count(), voters + 1);
    simulation
}

cases!(disk_may_be_lost_before_the_replaced_voter_is_removed {
    of_the_leader: (3, Victim::Leader, Beside::Nothing, 11),
    of_a_follower: (3, Victim::Follower, Beside::Nothing, 12),
    of_the_successor: (3, Victim::Successor, Beside::Nothing, 13),
    of_the_leader_and_the_others_restart: (3, Victim::Leader, Beside::PowerLoss, 14),
    of_the_successor_and_the_others_restart: (3, Victim::Successor, Beside::PowerLoss, 15),
    of_the_leader_twice: (3, Victim::Leader, Beside::SecondLoss, 16),
    of_a_follower_twice: (3, Victim::Follower, Beside::SecondLoss, 17),
    two_of_six_with_the_leader: (5, Victim::Leader, Beside::Nothing, 18),
    two_of_six_with_a_follower: (5, Victim::Follower, Beside::Nothing, 19),
    two_of_six_and_the_others_restart: (5, Victim::Leader, Beside::PowerLoss, 20),
});

/// A removal needs a majority of the voters before it. The answer of the voter that leaves counts, so
/// one that is silent at that moment does not delay changes.
fn voter_leaves_while_another_is_silent(seed: u64) {
    let mut simulation = open(4, Some(1), seed);
    let leader = simulation.expect_leader();
    let others: Vec<usize> = (0..4).filter(|&vm| vm != leader).collect();
    simulation.frozen.insert(others[0]);
    let name = format!("control-{}", others[1]);
    let change = MembershipChange::Remove(&name);
    simulation.feed(leader, Event::MembershipProposed { call: 1, change });
    simulation.run(ELECTION_TIMEOUT / 4);
    assert_eq!(simulation.membership.voters().count(), 3);
    simulation.kill(others[1]);
    publish(&mut simulation, 1);
    assert!(simulation.replica(leader).is_leader(), "the leader changed");
}

cases!(voter_leaves_while_another_is_silent {
    seed_21: (21),
    seed_22: (22),
});

/// The founder of a fleet acknowledged a document with its own vote alone. If it lost its disk right
/// after that, the document was gone, or the lost disk had half of the votes and control was gone.
fn founder_may_lose_its_disk_after_the_first_document(voters: usize, seed: u64) {
    let mut simulation = Simulation::open_with_contacts(voters, seed, RELIABLE, |_| false);
    let document = Rc::new(Document {
        number: 1,
        source: b"routes".as_slice().into(),
    });
    let change = Change::Publish { document };
    let end = simulation.now + JOIN_TIME;
    for call in 0.. {
        if let Some(leader) = simulation.leader() {
            let change = &change;
            simulation.feed(leader, Event::Proposed { call, change });
        }
        simulation.run(Duration::from_millis(1));
        if !simulation.outcomes.is_empty() {
            break;
        }
        assert!(simulation.now < end, "the first document is not committed");
    }
    simulation.wipe(0);
    simulation.run(ELECTION_TIMEOUT * 4);
    simulation.start(0);
    simulation.run(JOIN_TIME);
    check_document(&simulation, 1);
    assert_eq!(simulation.membership.voters().count(), voters);
}

cases!(founder_may_lose_its_disk_after_the_first_document {
    three_voters_seed_41: (3, 41),
    three_voters_seed_42: (3, 42),
    three_voters_seed_43: (3, 43),
    four_voters_seed_44: (4, 44),
    five_voters_seed_45: (5, 45),
    five_voters_seed_46: (5, 46),
});

//! Disks of voters that are lost while other voters are down, within what the fleet tolerates.

mod support;

use std::rc::Rc;
use std::time::Duration;

use nutmegyoke_cases::cases;
use nutmegyoke_core::process::control::replica::Event;
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

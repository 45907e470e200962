//! Large documents: how many the leader sends at a time, and what goes on beside them.

mod support;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use nutmegyoke_cases::cases;
use nutmegyoke_core::process::control::replica::{Content, Entry, Event};
use nutmegyoke_core::process::control::store::{Change, Store};
use nutmegyoke_core::version::Document;
use support::{ELECTION_TIMEOUT, Link, Simulation};

const LINK: Link = Link {
    loss_percent: 0,
    duplicate_percent: 0,
    max_delay_ms: 2,
};

/// The size of a document that is a transfer.
const DOCUMENT_BYTES: usize = 70 * 1024;

/// The most transfers to voters, or to observers, at a time: at the usual rate, and all.
const MAX_FAST_TRANSFERS: usize = 3;
const MAX_TRANSFERS: usize = 5;

/// Replicas of which the first ones vote and the others observe.
struct Fleet {
    simulation: Simulation<Store>,
    voters: usize,
    count: usize,
}

impl Fleet {
    fn open(voters: usize, observers: usize, seed: u64) -> Self {
        let count = voters + observers;
        let mut simulation = Simulation::open_with_contacts(count, seed, LINK, |vm| vm >= voters);
        simulation.run(Duration::from_secs(20));
        simulation.bytes_sent.clear();
        Self {
            simulation,
            voters,
            count,
        }
    }

    /// Holds back transfers to the VMs from `first` on, or loses them.
    fn hold(&mut self, first: usize, lost: bool) {
        self.simulation.held_bytes = Some((DOCUMENT_BYTES, lost));
        self.simulation.held_from = first;
    }

    fn release(&mut self) {
        self.simulation.held_bytes = None;
    }

    /// Publishes a document with this number at the leader.
    fn publish(&mut self, number: u64) {
        let document = Rc::new(Document {
            number,
            source: vec![b' '; DOCUMENT_BYTES].into(),
        });
        let change = &Change::Publish { document };
        let leader = self.simulation.expect_leader();
        let call = number;
        self.simulation
            .feed(leader, Event::Proposed { call, change });
    }

    /// The number of the document of a VM; 0 if it has none.
    fn document(&self, vm: usize) -> u64 {
        let document = self.simulation.replica(vm).state().document.as_ref();
        document.map_or(0, |document| document.number)
    }

    /// The VMs that a document was sent to.
    fn sent(&self) -> BTreeSet<usize> {
        let sent = self.simulation.bytes_sent.iter();
        let sent = sent.filter(|&(_, &bytes)| bytes >= DOCUMENT_BYTES);
        sent.map(|(&vm, _)| vm).collect()
    }

    /// The VMs that a document is on its way to.
    fn waiting(&self) -> usize {
        let is_publication = |entry: &Entry<Change>| {
            matches!(&entry.content, Content::Change(Change::Publish { .. }))
        };
        let has_entry = |vm: usize| {
            let mut entries = self.simulation.replica(vm).log().entries_from(0);
            entries.any(is_publication)
        };
        self.sent().into_iter().filter(|&vm| !has_entry(vm)).count()
    }
}

/// The leader sent a large document to all replicas at once, and its heartbeats waited behind it.
fn document_is_sent_to_few_replicas_at_a_time(voters: usize, observers: usize, seed: u64) {
    let mut fleet = Fleet::open(voters, observers, seed);
    fleet.publish(1);
    for _ in 0..1000 {
        let waiting = fleet.waiting();
        assert!(waiting <= MAX_FAST_TRANSFERS, "{waiting} transfers");
        let leader = fleet.simulation.expect_leader();
        assert!(
            fleet.document(leader) == 1 || fleet.sent().into_iter().all(|vm| vm < voters),
            "sent to an observer before it was committed"
        );
        if (0..fleet.count).all(|vm| fleet.document(vm) == 1) {
            return;
        }
        fleet.simulation.run(Duration::from_millis(1));
    }
    panic!("some replicas lack the document");
}

cases!(document_is_sent_to_few_replicas_at_a_time {
    five_voters: (5, 16, 2),
    three_voters: (3, 6, 3),
    many_observers: (3, 32, 4),
});

/// A replica gets heartbeats while a transfer is on its way to it, and a lost transfer again.
fn transfer_does_not_replace_heartbeats(lost: bool, voters: usize, seed: u64) {
    let mut fleet = Fleet::open(voters, 1, seed);
    let leader = fleet.simulation.expect_leader();
    let term = fleet.simulation.replica(leader).term();
    fleet.hold(0, lost);
    fleet.publish(1);
    fleet.simulation.run(ELECTION_TIMEOUT * 3);
    assert_eq!(fleet.document(leader), 0, "no voter has the document");
    let replica = fleet.simulation.replica(leader);
    assert!(
        replica.is_leader() && replica.term() == term,
        "another leader"
    );
    fleet.release();
    fleet.simulation.run(ELECTION_TIMEOUT * 3);
    for vm in 0..fleet.count {
        assert_eq!(fleet.document(vm), 1);
    }
}

cases!(transfer_does_not_replace_heartbeats {
    slow_to_three: (false, 3, 1),
    slow_to_five: (false, 5, 2),
    lost_to_three: (true, 3, 3),
    lost_to_five: (true, 5, 4),
});

/// Observers with slow links must not keep the next document from the voters.
#[test]
fn slow_observers_delay_no_document() {
    let mut fleet = Fleet::open(3, 4, 3);
    fleet.hold(fleet.voters, false);
    for number in 1..=2 {
        fleet.publish(number);
        fleet.simulation.run(Duration::from_millis(300));
        let leader = fleet.simulation.expect_leader();
        assert_eq!(fleet.document(leader), number);
        assert_eq!(fleet.document(fleet.count - 1), 0);
    }
}

/// In a series of documents an observer was sent each of them, and those that came last in the
/// membership were seconds behind the others.
fn observers_are_sent_the_newest_of_several_documents(observers: usize, documents: u64, seed: u64) {
    let mut fleet = Fleet::open(3, observers, seed);
    fleet.hold(fleet.voters, false);
    for number in 1..=documents {
        fleet.publish(number);
        fleet.simulation.run(Duration::from_millis(100));
    }
    let served = fleet.sent();
    fleet.release();
    fleet.simulation.run(Duration::from_secs(1));
    for vm in fleet.voters..fleet.count {
        assert_eq!(fleet.document(vm), documents);
        let allowed = if served.contains(&vm) { 2 } else { 1 };
        let sent = fleet.simulation.bytes_sent[&vm] / DOCUMENT_BYTES;
        assert!(sent <= allowed, "{sent} documents sent to {vm}");
    }
}

cases!(observers_are_sent_the_newest_of_several_documents {
    few_observers: (8, 4, 4),
    more_documents: (8, 8, 5),
    many_observers: (24, 4, 6),
});

/// On a slow link each transfer is slow. If those don't count, a document goes to all observers at
/// once, and the leader steps down.
#[test]
fn slow_transfers_are_few_as_well() {
    let mut fleet = Fleet::open(3, 12, 5);
    fleet.hold(fleet.voters, false);
    fleet.publish(1);
    fleet.simulation.run(ELECTION_TIMEOUT * 3);
    let sent = fleet.sent().into_iter().filter(|&vm| vm >= fleet.voters);
    let sent = sent.count();
    assert!(sent <= MAX_TRANSFERS, "{sent} transfers");
    fleet.release();
    fleet.simulation.run(ELECTION_TIMEOUT * 3);
    for vm in 0..fleet.count {
        assert_eq!(fleet.document(vm), 1);
    }
}

/// Whatever happens to replicas and links while documents are on their way, all replicas have the
/// newest one soon after. The simulation checks that no committed entry changes.
fn all_replicas_have_the_newest_document_after_faults(link: Link, seed: u64) {
    const STEPS: u64 = 12;
    let mut random = fastrand::Rng::with_seed(seed);
    let mut fleet = Fleet::open(3, 3, seed);
    fleet.simulation.link = link;
    for number in 1..=STEPS {
        if fleet.simulation.leader().is_some() {
            fleet.publish(number);
        }
        let vm = random.usize(..fleet.count);
        match random.u8(..5) {
            0 => fleet.simulation.isolated = [vm].into(),
            1 => fleet.simulation.frozen = [vm].into(),
            2 => fleet.hold(random.usize(..fleet.count), random.bool()),
            3 => fleet.simulation.kill(vm),
            _ => {
                fleet.simulation.isolated.clear();
                fleet.simulation.frozen.clear();
                fleet.release();
            }
        }
        let time = Duration::from_millis(random.u64(10..1500));
        fleet.simulation.run(time);
        fleet.simulation.start(vm);
    }
    fleet.simulation.link = LINK;
    fleet.simulation.isolated.clear();
    fleet.simulation.frozen.clear();
    fleet.release();
    fleet.simulation.run(ELECTION_TIMEOUT * 10);
    fleet.publish(STEPS + 1);
    fleet.simulation.run(ELECTION_TIMEOUT * 2);
    for vm in 0..fleet.count {
        assert_eq!(fleet.document(vm), STEPS + 1, "VM {vm}, seed {seed}");
    }
}

/// Messages are lost, arrive twice and overtake each other.
const LOSSY: Link = Link {
    loss_percent: 10,
    duplicate_percent: 10,
    max_delay_ms: 20,
};

cases!(all_replicas_have_the_newest_document_after_faults {
    reliable_links_seed_1: (LINK, 1),
    reliable_links_seed_2: (LINK, 2),
    lossy_links_seed_3: (LOSSY, 3),
    lossy_links_seed_4: (LOSSY, 4),
});

/// The log line of a lost lease has to tell whether the link was busy or the process.
#[test]
fn lost_lease_is_reported_with_what_is_unacknowledged() {
    let mut fleet = Fleet::open(3, 1, 1);
    let leader = fleet.simulation.expect_leader();
    fleet.simulation.isolated = [leader].into();
    fleet.publish(1);
    fleet.simulation.run(ELECTION_TIMEOUT);
    let &[unacknowledged_bytes] = fleet.simulation.lost_leases.as_slice() else {
        panic!("{:?}", fleet.simulation.lost_leases);
    };
    assert!(unacknowledged_bytes >= DOCUMENT_BYTES);
    assert!(unacknowledged_bytes <= fleet.count * DOCUMENT_BYTES);
}

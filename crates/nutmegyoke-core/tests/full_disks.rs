//! Disks of voters that are full for a few seconds, one after another, never two at once.

mod support;

use std::rc::Rc;
use std::time::Duration;

use nutmegyoke_cases::cases;
use nutmegyoke_core::process::control::replica::Event;
use nutmegyoke_core::process::control::store::{Change, Store};
use nutmegyoke_core::version::Document;
use support::{ELECTION_TIMEOUT, Link, Simulation};

const LINK: Link = Link {
    loss_percent: 1,
    duplicate_percent: 1,
    max_delay_ms: 3,
};

const STEP: Duration = Duration::from_millis(50);

/// The time within which a change must be committed while at most one disk is full: that of
/// two elections.
const COMMIT_TIME: Duration = Duration::from_secs(6);

/// The seeds of one case.
const SEEDS: u64 = 8;

/// What else happens while a disk is full.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Beside {
    Nothing,
    /// The leader hands over.
    Handover,
    /// The machine with the full disk restarts.
    Restart,
}

struct Run {
    simulation: Simulation<Store>,
    random: fastrand::Rng,
    number: u64,
}

impl Run {
    fn open(voters: usize, seed: u64) -> Self {
        let mut simulation = Simulation::open_with_contacts(voters + 1, seed, LINK, |vm| {
            // The last one is an observer.
            vm == voters
        });
        simulation.run(ELECTION_TIMEOUT * 20);
        Self {
            simulation,
            random: fastrand::Rng::with_seed(seed),
            number: 0,
        }
    }

    /// Publishes a document, again and again at the leader of the time, until it is committed.
    fn publish(&mut self) {
        self.number += 1;
        let document = Rc::new(Document {
            number: self.number,
            source: b"routes".as_slice().into(),
        });
        let change = Change::Publish { document };
        let mut waited = Duration::ZERO;
        for call in self.number * 1000.. {
            let change = &change;
            if let Some(leader) = self.simulation.leader() {
                self.simulation
                    .feed(leader, Event::Proposed { call, change });
            }
            self.simulation.run(STEP);
            let committed = self.simulation.outcomes.range(self.number * 1000..=call);
            if committed.count() > 0 {
                return;
            }
            waited += STEP;
            assert!(waited < COMMIT_TIME, "document {} is lost", self.number);
        }
    }

    fn run_for(&mut self, range: std::ops::Range<u64>) {
        let time = Duration::from_millis(self.random.u64(range));
        self.simulation.run(time);
    }

    /// Fills the disk of `vm` for a few seconds, in which documents are published.
    fn fill_disk(&mut self, vm: usize, beside: Beside) {
        self.simulation.vms[vm].disk_full = true;
        self.run_for(0..1500);
        self.publish();
        match beside {
            Beside::Nothing => {}
            Beside::Handover => {
                if let Some(leader) = self.simulation.leader() {
                    self.simulation.feed(leader, Event::Stopping);
                }
            }
            Beside::Restart => {
                self.simulation.kill(vm);
                self.run_for(0..500);
                self.simulation.start(vm);
            }
        }
        self.publish();
        self.run_for(0..2500);
        self.simulation.vms[vm].disk_full = false;
    }
}

/// Once the last disk has room again, and also before, changes are committed.
fn changes_are_committed_while_disks_fill_in_turn(voters: usize, beside: Beside) {
    for seed in 1..=SEEDS {
        let mut run = Run::open(voters, seed);
        for turn in 0..3 * voters {
            run.fill_disk(turn % voters, beside);
            run.run_for(0..300);
        }
        run.publish();
    }
}

cases!(changes_are_committed_while_disks_fill_in_turn {
    three_voters: (3, Beside::Nothing),
    four_voters: (4, Beside::Nothing),
    five_voters: (5, Beside::Nothing),
    three_voters_and_handovers: (3, Beside::Handover),
    three_voters_and_restarts: (3, Beside::Restart),
    four_voters_and_restarts: (4, Beside::Restart),
});

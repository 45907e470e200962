//! Overlapping series of lost disks, power losses, replaced machines, cuts, pauses, full disks and
//! elections, within what a fleet tolerates.
//!
//! The cases run a few series for each seed. To run more:
//! `NUTMEGYOKE_CASES=3000 cargo test --release -p nutmegyoke-core --test membership_series`;
//! `NUTMEGYOKE_SEED` replaces the seeds.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegyoke_cases::cases;
use nutmegyoke_core::process::control::replica::{Change as MembershipChange, Event, Replica};
use nutmegyoke_core::process::control::store::{Change, Store};
use nutmegyoke_core::version::Document;
use support::{ELECTION_TIMEOUT, Link, Simulation};

/// Time within which all machines join at first.
const JOIN_TIME: Duration = Duration::from_secs(20);

/// Time after the last fault within which control returns.
const RECOVERY_TIME: Duration = Duration::from_secs(40);

/// How often the leaders are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time without faults in which machines join again.
const CALM_TIME: Duration = Duration::from_secs(9);

/// How long a machine counts as lost after it is back.
const CATCH_UP_TIME: Duration = Duration::from_secs(6);

/// The machines that may replace others in a series.
const SPARES: usize = 4;

/// The number of faults and changes in a series.
const EVENTS: usize = 60;

/// The series of a seed, unless the environment says otherwise.
const SERIES: u64 = 4;

/// What happens next.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// A machine loses power and keeps its disk.
    Kill,
    Start,
    /// A machine loses its disk, if one more may be lost.
    Wipe,
    /// A successor of a machine starts.
    Replace,
    /// The machine whose successor votes goes for good, as planned or not.
    Retire {
        planned: bool,
    },
    /// Some machines are cut off from the others.
    Cut,
    Freeze,
    Heal,
    /// All faults end, and all machines join again.
    Calm,
    FillDisk,
    FreeDisk,
    /// The leader hands over.
    Handover,
    Publish,
}

/// The faults with their weights.
const FAULTS: [(Fault, u32); 14] = [
    (Fault::Kill, 4),
    (Fault::Start, 6),
    (Fault::Wipe, 4),
    (Fault::Calm, 2),
    (Fault::Replace, 2),
    (Fault::Retire { planned: true }, 1),
    (Fault::Retire { planned: false }, 3),
    (Fault::Cut, 3),
    (Fault::Freeze, 3),
    (Fault::Heal, 4),
    (Fault::FillDisk, 1),
    (Fault::FreeDisk, 3),
    (Fault::Handover, 1),
    (Fault::Publish, 14),
];

struct Series {
    simulation: Simulation<Store>,
    random: fastrand::Rng,
    /// How many machines may be lost at the same time.
    losses: usize,
    /// The machines in use, and those that have not been used.
    machines: Vec<usize>,
    spares: Vec<usize>,
    /// A machine that is to be replaced, and its successor.
    replacing: Option<(usize, usize)>,
    /// When each machine was last away.
    away_at: BTreeMap<usize, Instant>,
    /// Machines that were replaced.
    gone: Vec<usize>,
    /// Machines that lost their disks and have not been seen to vote since.
    wiped: BTreeSet<usize>,
    /// The document that each call publishes.
    numbers: BTreeMap<u64, u64>,
    next_call: u64,
    /// The highest document that was acknowledged.
    acknowledged: u64,
    opened_at: Instant,
    trace: Vec<String>,
}

impl Series {
    fn open(voters: usize, seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let link = Link {
            loss_percent: random.u32(0..6),
            duplicate_percent: random.u32(0..6),
            max_delay_ms: random.u64(1..60),
        };
        let count = voters + SPARES;
        let mut simulation = Simulation::open_with_contacts(count, seed, link, |_| false);
        let opened_at = simulation.now;
        let losses = (voters - 1) / 2;
        simulation.tolerated_losses = random.bool().then_some(losses);
        for vm in 0..count {
            simulation.kill(vm);
        }
        for vm in 0..voters {
            simulation.start(vm);
        }
        simulation.run(JOIN_TIME);
        assert_eq!(simulation.membership.voters().count(), voters);
        Self {
            simulation,
            random,
            losses,
            machines: (0..voters).collect(),
            spares: (voters..count).collect(),
            replacing: None,
            away_at: BTreeMap::new(),
            gone: Vec::new(),
            wiped: BTreeSet::new(),
            numbers: BTreeMap::new(),
            next_call: 0,
            acknowledged: 0,
            opened_at,
            trace: Vec::new(),
        }
    }

    fn votes(&self, vm: usize) -> bool {
        let id = self.simulation.vms[vm].id;
        self.simulation.membership.is_voter(id)
    }

    /// Whether a replica of a machine that is gone, the last or one before it, is still a voter.
    fn gone_votes(&self) -> bool {
        let mut voters = self.simulation.membership.voters();
        let names: Vec<String> = self.gone.iter().map(|vm| format!("control-{vm}")).collect();
        voters.any(|peer| names.contains(&peer.seed.name))
    }

    fn pick(&mut self) -> usize {
        self.machines[self.random.usize(..self.machines.len())]
    }

    fn inject(&mut self, fault: Fault) {
        let vm = self.pick();
        let time = self.simulation.now - self.opened_at;
        self.trace.push(format!("{time:?} {fault:?} {vm}"));
        match fault {
            Fault::Kill if self.may_lose(vm) => self.simulation.kill(vm),
            Fault::Wipe if self.may_lose(vm) => self.wipe(vm),
            Fault::Freeze if self.may_lose(vm) => {
                self.simulation.frozen.insert(vm);
            }
            Fault::Kill | Fault::Wipe | Fault::Freeze => {}
            Fault::Start => self.start(vm),
            Fault::Replace => self.replace(vm),
            Fault::Retire { planned } => self.retire(planned),
            Fault::Cut => self.cut(),
            Fault::Heal => {
                self.simulation.isolated.clear();
                self.simulation.frozen.clear();
            }
            Fault::Calm => {
                self.end_faults();
                self.run(CALM_TIME);
            }
            Fault::FillDisk => self.simulation.vms[vm].disk_full = true,
            Fault::FreeDisk => self.free_disks(),
            Fault::Handover => {
                if let Some(leader) = self.simulation.leader() {
                    self.simulation.feed(leader, Event::Stopping);
                }
            }
            Fault::Publish => self.publish(),
        }
    }

    /// Whether a machine is down, paused or cut off.
    fn is_away(&self, vm: usize) -> bool {
        let simulation = &self.simulation;
        simulation.vms[vm].replica.is_none()
            || simulation.frozen.contains(&vm)
            || simulation.isolated.contains(&vm)
    }

    /// Whether a machine is away, was so within [`CATCH_UP_TIME`], or does not vote yet.
    fn is_lost(&self, vm: usize) -> bool {
        let away_at = self.away_at.get(&vm);
        let is_back = away_at.is_none_or(|&at| at + CATCH_UP_TIME < self.simulation.now);
        self.is_away(vm) || !is_back || !self.votes(vm)
    }

    /// Whether one more machine may be lost. Any number may, as long as no more disks are lost than
    /// tolerated, except from when a machine goes for good until it is no voter: see "More losses
    /// than tolerated" in `docs/design/membership.md`.
    fn may_lose(&self, vm: usize) -> bool {
        let lost = self.machines.iter().filter(|&&other| other != vm);
        let lost = lost.filter(|&&other| self.is_lost(other)).count();
        !self.gone_votes() || lost < self.losses
    }

    fn cut(&mut self) {
        let count = self.random.usize(1..=self.machines.len() / 2);
        let mut machines = self.machines.clone();
        self.random.shuffle(&mut machines);
        self.simulation.isolated.clear();
        for vm in machines.into_iter().take(count) {
            if self.may_lose(vm) {
                self.simulation.isolated.insert(vm);
            }
        }
    }

    fn end_faults(&mut self) {
        self.simulation.isolated.clear();
        self.simulation.frozen.clear();
        self.free_disks();
        for vm in self.machines.clone() {
            self.start(vm);
        }
    }

    fn free_disks(&mut self) {
        for vm in &mut self.simulation.vms {
            vm.disk_full = false;
        }
    }

    /// Starts a machine, whose settings name three machines of the time.
    fn start(&mut self, vm: usize) {
        if self.simulation.vms[vm].replica.is_some() {
            return;
        }
        self.simulation.start(vm);
        let others = self.machines.iter().filter(|&&other| other != vm);
        let contacts: Vec<_> = others
            .take(3)
            .map(|&vm| self.simulation.address(vm))
            .collect();
        let contacts = contacts.as_slice();
        self.simulation
            .feed(vm, Event::ContactsChanged { contacts });
    }

    /// A disk counts as lost until the machine votes again.
    fn wipe(&mut self, vm: usize) {
        let simulation = &self.simulation;
        let votes = |vm: &usize| simulation.membership.is_voter(simulation.vms[*vm].id);
        self.wiped.retain(|vm| !votes(vm));
        if self.wiped.contains(&vm) || self.wiped.len() < self.losses {
            self.wiped.insert(vm);
            self.simulation.wipe(vm);
        }
    }

    /// One machine is replaced at a time, and the one before is no longer a voter. It goes while
    /// no other is lost.
    fn replace(&mut self, vm: usize) {
        if self.replacing.is_some() || self.gone_votes() {
            return;
        }
        if let Some(successor) = self.spares.pop() {
            self.machines.push(successor);
            self.replacing = Some((vm, successor));
            self.start(successor);
        }
    }

    fn retire(&mut self, planned: bool) {
        let Some((vm, successor)) = self.replacing else {
            return;
        };
        let mut others = self.machines.iter().filter(|&&other| other != vm);
        if !self.votes(successor) || others.any(|&other| self.is_lost(other)) {
            return;
        }
        self.replacing = None;
        if planned {
            self.leave(vm);
        }
        self.simulation.kill(vm);
        self.machines.retain(|&machine| machine != vm);
        self.gone.push(vm);
        self.wiped.remove(&vm);
    }

    /// A planned end: the machine asks the leader to be removed, if that is of use.
    fn leave(&mut self, vm: usize) {
        self.simulation.feed(vm, Event::Stopping);
        self.simulation.run(ELECTION_TIMEOUT);
        let replica = self.simulation.vms[vm].replica.as_ref();
        let leaves = replica.is_some_and(Replica::should_leave);
        if let Some(leader) = self.simulation.leader().filter(|_| leaves) {
            let name = format!("control-{vm}");
            let change = MembershipChange::Remove(&name);
            let call = self.next_call;
            self.next_call += 1;
            let event = Event::MembershipProposed { call, change };
            self.simulation.feed(leader, event);
            self.simulation.run(ELECTION_TIMEOUT / 2);
        }
    }

    fn publish(&mut self) {
        let Some(leader) = self.simulation.leader() else {
            return;
        };
        let call = self.next_call;
        self.next_call += 1;
        let number = call + 1;
        self.numbers.insert(call, number);
        let document = Rc::new(Document {
            number,
            source: b"routes".as_slice().into(),
        });
        let change = Change::Publish { document };
        let change = &change;
        self.simulation
            .feed(leader, Event::Proposed { call, change });
    }

    /// Runs for `time`. A leader whose lease runs must have each acknowledged document.
    fn run(&mut self, time: Duration) {
        let end = self.simulation.now + time;
        while self.simulation.now < end {
            self.simulation.run(CHECK_INTERVAL);
            let calls = self.simulation.outcomes.keys();
            let acknowledged = calls.filter_map(|call| self.numbers.get(call));
            self.acknowledged = acknowledged.copied().max().unwrap_or(0);
            for vm in self.machines.clone() {
                if self.is_away(vm) {
                    self.away_at.insert(vm, self.simulation.now);
                }
                if self.simulation.frozen.contains(&vm) {
                    continue;
                }
                self.simulation.feed(vm, Event::Ticked);
                let replica = self.simulation.vms[vm].replica.as_ref();
                if let Some(leader) = replica.filter(|replica| replica.is_ready_leader()) {
                    let document = leader.state().document.as_ref();
                    let number = document.map_or(0, |document| document.number);
                    let acknowledged = self.acknowledged;
                    assert!(
                        number >= acknowledged,
                        "leader {vm} has document {number}, {acknowledged} was acknowledged"
                    );
                }
            }
        }
    }

    fn end(&mut self) {
        self.end_faults();
        self.run(RECOVERY_TIME);
        let leader = self.simulation.leader().expect("control did not return");
        assert!(
            self.simulation.replica(leader).is_ready_leader(),
            "the leader commits nothing"
        );
        let before = self.simulation.outcomes.len();
        self.publish();
        self.run(Duration::from_secs(3));
        assert!(
            self.simulation.outcomes.len() > before,
            "a change is not acknowledged after the recovery"
        );
        for vm in self.machines.clone() {
            assert!(self.votes(vm), "machine {vm} does not vote");
        }
    }
}

impl Drop for Series {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{}", self.trace.join("\n"));
            for &vm in &self.machines {
                let Some(replica) = &self.simulation.vms[vm].replica else {
                    continue;
                };
                let voters = replica.membership().voters();
                let voters: Vec<String> = voters.map(|peer| peer.id.to_string()).collect();
                eprintln!(
                    "machine {vm}: id {} term {} last {:?} commit {} leads {} voters {voters:?} at {}",
                    replica.id(),
                    replica.term(),
                    replica.log().last(),
                    replica.commit_index(),
                    replica.is_leader(),
                    replica.membership_index(),
                );
            }
        }
    }
}

fn run_series(voters: usize, seed: u64) -> usize {
    let mut series = Series::open(voters, seed);
    let weights: u32 = FAULTS.iter().map(|(_, weight)| weight).sum();
    for _ in 0..EVENTS {
        let mut draw = series.random.u32(..weights);
        let fault = FAULTS.iter().find(|(_, weight)| {
            let found = draw < *weight;
            draw = draw.saturating_sub(*weight);
            found
        });
        if let Some(&(fault, _)) = fault {
            series.inject(fault);
        }
        let time = series.random.u64(0..1500);
        series.run(Duration::from_millis(time));
    }
    series.end();
    series.simulation.reseats
}

/// The environment variable `name` as a whole number, or `default`.
fn variable_or(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |text| text.parse().expect("not a whole number"))
}

/// Guards against quorums that forget an acknowledged change, two leaders of a term, and control
/// that does not return although no more disks were lost than are tolerated.
fn membership_holds_through_series_of_losses(voters: usize, seed: u64) {
    let seed = variable_or("NUTMEGYOKE_SEED", seed);
    let mut reseats = 0;
    for number in 0..variable_or("NUTMEGYOKE_CASES", SERIES) {
        let seed = seed * 1_000_000 + number;
        println!("voters {voters}, seed {seed}");
        reseats += run_series(voters, seed);
    }
    println!("{reseats} voters were replaced without a leader");
}

cases!(membership_holds_through_series_of_losses {
    three_voters_seed_5: (3, 5),
    three_voters_seed_23: (3, 23),
    three_voters_seed_61: (3, 61),
    three_voters_seed_97: (3, 97),
    three_voters_seed_131: (3, 131),
    four_voters_seed_5: (4, 5),
    four_voters_seed_23: (4, 23),
    four_voters_seed_61: (4, 61),
    four_voters_seed_97: (4, 97),
    four_voters_seed_131: (4, 131),
    five_voters_seed_5: (5, 5),
    five_voters_seed_23: (5, 23),
    five_voters_seed_61: (5, 61),
    five_voters_seed_97: (5, 97),
    five_voters_seed_131: (5, 131),
    six_voters_seed_5: (6, 5),
    six_voters_seed_23: (6, 23),
    six_voters_seed_61: (6, 61),
    six_voters_seed_97: (6, 97),
    six_voters_seed_131: (6, 131),
});

//! The replicated log under loss, delay, duplication, reordering, crashes,
//! full and empty disks and partitions.
//!
//! `NUTMEGYOKE_CASES=2000 NUTMEGYOKE_SEED=7 cargo test --release -p nutmegyoke-core --test replica`
//! runs other seeds.

mod support;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegyoke_cases::cases;
use nutmegyoke_core::process::Machine;
use nutmegyoke_core::process::control::Acceptance;
use nutmegyoke_core::process::control::claims::Request;
use nutmegyoke_core::process::control::replica::{
    self, Body, Content, Entry, Event, Membership, Message, Peer, Position, Recovered, Replica,
    Roster, Seed, Setup, State, Vote,
};
use nutmegyoke_core::process::control::store::{Change, Outcome, Store};
use nutmegyoke_core::request::Id;
use nutmegyoke_core::request::claim::{self, Name};
use nutmegyoke_core::version::configuration::Lists;
use nutmegyoke_core::version::{Configuration, Plan};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use support::{Simulation, Weather};

const CALM: Weather = Weather {
    loss: 0,
    twice: 0,
    delay: 2,
};

/// Time after which a group without faults has repaired itself.
const REPAIR: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Start(usize),
    Wipe(usize),
    Cut(usize),
    Heal,
    Fill(usize),
    Empty(usize),
    Pause,
    Resign(usize),
    Configure { vm: usize, number: u64 },
    Claim { vm: usize, key: u64 },
}

fn faults() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let vm = || 0..3_usize;
    let fault = prop_oneof![
        2 => vm().prop_map(Fault::Kill),
        3 => vm().prop_map(Fault::Start),
        1 => vm().prop_map(Fault::Wipe),
        2 => vm().prop_map(Fault::Cut),
        3 => Just(Fault::Heal),
        1 => vm().prop_map(Fault::Fill),
        2 => vm().prop_map(Fault::Empty),
        2 => Just(Fault::Pause),
        1 => vm().prop_map(Fault::Resign),
        6 => (vm(), 1..12_u64).prop_map(|(vm, number)| Fault::Configure { vm, number }),
        6 => (vm(), 0..4_u64).prop_map(|(vm, key)| Fault::Claim { vm, key }),
    ];
    prop::collection::vec((0..600_u64, fault), 1..60)
}

fn configuration(number: u64) -> Rc<Configuration> {
    let lists = Lists {
        number,
        ..Lists::default()
    };
    Configuration::open(lists).unwrap()
}

fn wish(key: u64, holder: u64, requested_at: u64) -> Request {
    let name = Name {
        customer: "kayal".into(),
        key: format!("lot-{key}"),
    };
    Request {
        key: name.key(),
        holder: Id {
            entry: 1,
            number: holder,
        },
        digest: 7,
        requested_at,
    }
}

/// What callers and observers saw.
#[derive(Default)]
struct Witness {
    next: u64,
    claims: BTreeMap<u64, u64>,
    versions: [u64; 3],
}

impl Witness {
    fn act(&mut self, simulation: &mut Simulation<Store>, fault: Fault) {
        match fault {
            Fault::Kill(vm) => simulation.kill(vm),
            Fault::Start(vm) => {
                // A restarted process has applied nothing yet; what it shows
                // counts again from the first entry that it knows as committed.
                simulation.start(vm);
            }
            Fault::Wipe(vm) if simulation.may_wipe(vm) => {
                simulation.wipe(vm);
                self.versions[vm] = 0;
            }
            Fault::Wipe(_) => {}
            Fault::Cut(vm) => {
                simulation.cut = [vm].into();
            }
            Fault::Heal => simulation.cut.clear(),
            Fault::Fill(vm) => simulation.vms[vm].full = true,
            Fault::Empty(vm) => simulation.vms[vm].full = false,
            Fault::Pause => simulation.run(Duration::from_secs(2)),
            Fault::Resign(vm) => simulation.feed(vm, Event::Resigned),
            Fault::Configure { vm, number } => {
                let configuration = configuration(number);
                self.propose(simulation, vm, &Change::Configure { configuration });
            }
            Fault::Claim { vm, key } => {
                self.claims.insert(self.next, key);
                let request = wish(key, self.next, self.next);
                self.propose(simulation, vm, &Change::Claim { request });
            }
        }
    }

    fn propose(&mut self, simulation: &mut Simulation<Store>, vm: usize, change: &Change) {
        let vm = simulation.leader().unwrap_or(vm);
        let call = self.next;
        self.next += 1;
        simulation.feed(vm, Event::Proposed { call, change });
    }

    /// What a process that learns from the leader has in force never goes back.
    fn watch(&mut self, simulation: &Simulation<Store>) {
        for (vm, version) in self.versions.iter_mut().enumerate() {
            let replica = simulation.vms[vm].replica.as_ref();
            if let Some(replica) = replica.filter(|replica| replica.is_leader()) {
                let number = replica.state().configuration.number();
                // A new leader teaches once it has committed in its own term.
                if replica.is_ready_leader() {
                    assert!(number >= *version, "version went back");
                    *version = number;
                }
            }
        }
    }

    fn check(&self, simulation: &Simulation<Store>) {
        let mut granted: BTreeMap<u64, u64> = BTreeMap::new();
        let mut accepted = 0;
        for (call, outcome) in &simulation.outcomes {
            match outcome {
                Outcome::Claimed {
                    outcome: claim::Outcome::Granted,
                } => {
                    let key = self.claims[call];
                    let first = *granted.entry(key).or_insert(*call);
                    assert_eq!(first, *call, "claim {key} granted twice");
                }
                Outcome::Configured {
                    acceptance: Acceptance::Accepted { number, .. },
                } => accepted = accepted.max(*number),
                _ => {}
            }
        }
        let leader = simulation.leader().expect("a leader after the repair");
        let state = simulation.vms[leader].replica.as_ref().unwrap().state();
        assert!(
            state.configuration.number() >= accepted,
            "accepted version lost"
        );
        for (key, call) in granted {
            let wish = wish(key, u64::MAX, u64::MAX / 2);
            let held = state.claims.rows().find(|(held, _)| *held == wish.key);
            assert_eq!(held.unwrap().1.holder.number, call, "claim {key} lost");
        }
    }
}

fn survives((seed, loss, twice, delay): (u64, u32, u32, u64), faults: &[(u64, Fault)]) {
    let weather = Weather { loss, twice, delay };
    let mut simulation = Simulation::open(3, seed, weather);
    let mut witness = Witness::default();
    simulation.run(Duration::from_secs(3));
    for &(gap, fault) in faults {
        witness.act(&mut simulation, fault);
        for _ in 0..=gap / 20 {
            simulation.run(Duration::from_millis(20));
            witness.watch(&simulation);
        }
    }
    simulation.cut.clear();
    simulation.weather = CALM;
    for vm in 0..3 {
        simulation.vms[vm].full = false;
        simulation.start(vm);
    }
    simulation.run(REPAIR);
    witness.watch(&simulation);
    witness.check(&simulation);
    let commit = |vm: usize| {
        simulation.vms[vm]
            .replica
            .as_ref()
            .map(Replica::commit_index)
    };
    assert_eq!(commit(0), commit(1), "all replicas caught up");
    assert_eq!(commit(1), commit(2), "all replicas caught up");
    assert_eq!(simulation.membership.voters().count(), 3);
}

fn variable(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |text| text.parse().expect("a whole number"))
}

#[test]
fn nothing_acknowledged_is_lost_under_faults() {
    let cases = u32::try_from(variable("NUTMEGYOKE_CASES", 60)).unwrap();
    let mut runner = TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(variable("NUTMEGYOKE_SEED", 20_261_204)),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    });
    let weather = (any::<u64>(), 0..20_u32, 0..20_u32, 1..80_u64);
    let run = runner.run(&(weather, faults()), |(weather, faults)| {
        survives(weather, &faults);
        Ok(())
    });
    if let Err(error) = run {
        panic!("{error}");
    }
}

/// A group that has accepted version 1.
fn group(count: usize) -> Simulation<Store> {
    let mut simulation = Simulation::open(count, 1, CALM);
    simulation.run(Duration::from_secs(10));
    apply(&mut simulation, 1);
    simulation
}

fn apply(simulation: &mut Simulation<Store>, number: u64) {
    let leader = simulation.leader().expect("a leader");
    let change = Change::Configure {
        configuration: configuration(number),
    };
    let event = Event::Proposed {
        call: number,
        change: &change,
    };
    simulation.feed(leader, event);
    simulation.run(Duration::from_secs(1));
    assert!(
        simulation.outcomes.contains_key(&number),
        "{number} is accepted"
    );
}

fn number(simulation: &Simulation<Store>, vm: usize) -> u64 {
    let replica = simulation.vms[vm].replica.as_ref().unwrap();
    replica.state().configuration.number()
}

fn founds(count: usize) {
    let simulation = group(count);
    assert_eq!(simulation.membership.voters().count(), count);
    for vm in 0..count {
        assert_eq!(number(&simulation, vm), 1);
    }
}

cases!(founds {
    one: (1),
    three: (3),
    five: (5),
});

#[test]
fn isolated_leader_steps_down_before_another_is_elected() {
    let mut simulation = group(3);
    let old = simulation.leader().unwrap();
    simulation.cut = [old].into();
    for _ in 0..10_000 {
        simulation.run(Duration::from_millis(1));
        let leads = |vm: usize| simulation.vms[vm].replica.as_ref().unwrap().is_leader();
        if !leads(old) {
            break;
        }
        assert!(
            (0..3).all(|vm| vm == old || !leads(vm)),
            "two lead at a time"
        );
    }
    simulation.run(Duration::from_secs(10));
    assert_ne!(simulation.leader(), Some(old));
    apply(&mut simulation, 2);
    simulation.cut.clear();
    let term = simulation.vms[simulation.leader().unwrap()]
        .replica
        .as_ref()
        .unwrap()
        .term();
    simulation.run(Duration::from_secs(5));
    assert_eq!(number(&simulation, old), 2);
    let leader = simulation.leader().unwrap();
    let replica = simulation.vms[leader].replica.as_ref().unwrap();
    assert_eq!(replica.term(), term, "the returned replica deposed nobody");
}

#[test]
fn second_vm_lost_right_after_a_repair() {
    let mut simulation = group(3);
    simulation.wipe(0);
    simulation.run(Duration::from_secs(5));
    simulation.start(0);
    let repaired = simulation.vms[0].id;
    for _ in 0..20_000 {
        simulation.run(Duration::from_millis(1));
        if simulation.membership.is_voter(repaired) {
            break;
        }
    }
    assert!(simulation.membership.is_voter(repaired));
    simulation.wipe(1);
    simulation.run(Duration::from_secs(10));
    apply(&mut simulation, 2);
    assert_eq!(number(&simulation, 0), 2);
    assert_eq!(simulation.membership.voters().count(), 3);
}

#[test]
fn empty_disk_does_not_vote_for_a_group_without_majority() {
    let mut simulation = group(3);
    simulation.kill(1);
    simulation.kill(2);
    simulation.wipe(0);
    simulation.start(0);
    simulation.start(1);
    simulation.run(Duration::from_secs(20));
    assert_eq!(
        simulation.leader(),
        None,
        "one disk of three is no majority"
    );
    simulation.start(2);
    simulation.run(Duration::from_secs(20));
    assert_eq!(number(&simulation, simulation.leader().unwrap()), 1);
}

/// Found under faults: a voter in a higher term refused the only replica with
/// the whole log for ever.
#[test]
fn higher_term_of_a_shorter_log_blocks_no_election() {
    let mut simulation = group(3);
    let ahead = simulation.leader().unwrap();
    let behind = (ahead + 1) % 3;
    simulation.kill(behind);
    apply(&mut simulation, 2);
    simulation.kill(ahead);
    simulation.kill((ahead + 2) % 3);
    simulation.vms[behind].disk.vote.term += 10;
    simulation.start(behind);
    simulation.start(ahead);
    simulation.run(Duration::from_secs(20));
    assert_eq!(simulation.leader(), Some(ahead));
    assert_eq!(number(&simulation, behind), 2);
}

#[test]
fn replica_far_behind_catches_up_by_snapshot() {
    let mut simulation = group(3);
    let behind = (simulation.leader().unwrap() + 1) % 3;
    simulation.kill(behind);
    simulation.run(Duration::from_secs(5));
    let leader = simulation.leader().unwrap();
    for number in 2..1600 {
        let change = Change::Configure {
            configuration: configuration(number),
        };
        let event = Event::Proposed {
            call: number,
            change: &change,
        };
        simulation.feed(leader, event);
    }
    simulation.run(Duration::from_secs(2));
    for vm in 0..3 {
        if let Some(replica) = &mut simulation.vms[vm].replica {
            replica.force_snapshot();
        }
    }
    simulation.run(Duration::from_secs(1));
    let base = simulation.vms[leader]
        .replica
        .as_ref()
        .unwrap()
        .log()
        .base();
    assert!(base.index > 0, "the log is truncated");
    simulation.start(behind);
    simulation.run(Duration::from_secs(10));
    assert_eq!(number(&simulation, behind), 1599);
    // What was installed survives a restart.
    simulation.kill(behind);
    simulation.start(behind);
    let replica = simulation.vms[behind].replica.as_ref().unwrap();
    assert!(replica.state().configuration.number() > 0);
}

#[test]
fn full_disk_refuses_and_recovers() {
    let mut simulation = group(3);
    for vm in 0..3 {
        simulation.vms[vm].full = true;
    }
    let leader = simulation.leader().unwrap();
    let change = Change::Configure {
        configuration: configuration(2),
    };
    let event = Event::Proposed {
        call: 2,
        change: &change,
    };
    simulation.feed(leader, event);
    simulation.run(Duration::from_secs(5));
    assert!(simulation.lost.contains(&2), "nothing is acknowledged");
    for vm in 0..3 {
        simulation.vms[vm].full = false;
    }
    simulation.run(Duration::from_secs(10));
    apply(&mut simulation, 3);
}

/// Tells the leader something in the name of the new replica `from`.
fn tell(simulation: &mut Simulation<Store>, from: replica::Id, body: Body<Store>) {
    let leader = simulation.leader().unwrap();
    let message = Message {
        from,
        reply: simulation.address(0),
        to: Some(simulation.vms[leader].id),
        term: simulation.vms[leader].replica.as_ref().unwrap().term(),
        body,
    };
    simulation.feed(leader, Event::Received { message: &message });
    simulation.run(Duration::from_millis(100));
}

#[test]
fn learner_votes_only_with_all_that_is_committed_on_its_disk() {
    let mut simulation = group(3);
    simulation.wipe(0);
    simulation.run(Duration::from_secs(5));
    let learner = simulation.vms[0].id;
    let seed = Seed {
        name: "control-0".to_owned(),
        address: simulation.address(0),
        observer: false,
    };
    tell(&mut simulation, learner, Body::Join { seed });
    let commit = *simulation.committed.keys().next_back().unwrap();
    for matched in [0, 1, commit - 1] {
        let stamp = 0;
        tell(&mut simulation, learner, Body::Appended { matched, stamp });
        assert!(simulation.membership.peer(learner).is_some(), "it joined");
        assert!(
            !simulation.membership.is_voter(learner),
            "at {matched} of {commit}"
        );
    }
    let matched = *simulation.committed.keys().next_back().unwrap();
    let earlier = simulation.membership.voters().count();
    for _ in 0..2 {
        // First the earlier life of the disk leaves, then this one votes.
        let stamp = 0;
        tell(
            &mut simulation,
            learner,
            Body::Appended {
                matched: matched + 1,
                stamp,
            },
        );
    }
    assert!(simulation.membership.is_voter(learner));
    assert_eq!(simulation.membership.voters().count(), earlier);
}

/// A replica of three that has an entry of term 2 which nobody committed.
fn uncommitted() -> (Instant, Replica<Store>) {
    let seed = |vm: u16| Seed {
        name: format!("control-{vm}"),
        address: ([127, 0, 0, 1], vm).into(),
        observer: false,
    };
    let peers = (1..=3).map(|vm| Peer {
        id: replica::Id(vm.into()),
        seed: seed(vm),
        voter: true,
    });
    let membership = Membership {
        open: false,
        names: (1..=3).map(|vm| seed(vm).name).collect(),
        peers: peers.collect(),
    };
    let entry = |term, index, content| Entry {
        position: Position { term, index },
        content,
    };
    let change = Change::Configure {
        configuration: configuration(1),
    };
    let setup = Setup {
        id: replica::Id(1),
        seed: seed(1),
        roster: Roster::default(),
        election_timeout: support::ELECTION,
        random_seed: 1,
    };
    let recovered = Recovered {
        vote: Vote {
            term: 2,
            candidate: None,
        },
        snapshot: None,
        entries: vec![
            entry(1, 1, Content::Membership(membership)),
            entry(2, 2, Content::Change(change)),
        ],
    };
    let now = Instant::now();
    (now, Replica::open(now, setup, recovered))
}

/// Feeds one event and reports every batch as synced.
fn feed(replica: &mut Replica<Store>, now: Instant, event: Event<'_, Store>) -> Vec<Body<Store>> {
    let mut out = Vec::new();
    replica.handle(now, event, &mut out);
    let mut sent = Vec::new();
    while !out.is_empty() {
        for command in std::mem::take(&mut out) {
            match command {
                replica::Command::Send { message, .. } => sent.push(message.body),
                replica::Command::Persist { batch } => {
                    let ticket = batch.ticket;
                    replica.handle(now, Event::Synced { ticket }, &mut out);
                }
                _ => {}
            }
        }
    }
    sent
}

/// A configuration of about 320 kB.
fn large(number: u64) -> Rc<Configuration> {
    const PLANS: u32 = 2_000;
    let plan = |index: u32| Plan {
        name: format!("plan-{index}"),
        customer: "kayal".into(),
        key: format!("key-{index}"),
        requests_per_second: 1,
        concurrency: 1,
        tokens_per_minute: 1,
        priority: 5,
        first_token: Duration::from_secs(1),
        between_tokens: Duration::from_secs(1),
        deadline: Duration::from_secs(1),
    };
    let lists = Lists {
        number,
        plans: (0..PLANS).map(plan).collect(),
        grants: Vec::new(),
    };
    Configuration::open(lists).unwrap()
}

/// The entries kept in memory are bounded by their size.
#[test]
fn large_entries_are_not_kept_behind_a_snapshot() {
    let setup = Setup {
        id: replica::Id(1),
        seed: Seed {
            name: "control-1".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            observer: false,
        },
        roster: Roster::default(),
        election_timeout: support::ELECTION,
        random_seed: 1,
    };
    let mut now = Instant::now();
    let mut replica: Replica<Store> = Replica::open(now, setup, Recovered::default());
    while !replica.is_ready_leader() {
        feed(&mut replica, now, Event::Ticked);
        now = replica.deadline().unwrap();
    }
    for number in 1..=60 {
        let change = Change::Configure {
            configuration: large(number),
        };
        let event = Event::Proposed {
            call: number,
            change: &change,
        };
        feed(&mut replica, now, event);
    }
    assert_eq!(replica.state().configuration.number(), 60);
    let held = replica.log().last().index - replica.log().base().index;
    // 4 MiB behind the snapshot, and at most as much since.
    assert!(held <= 2 * 14, "{held} entries are held");
}

fn from_second(term: u64, body: Body<Store>) -> Message<Store> {
    Message {
        from: replica::Id(2),
        reply: ([127, 0, 0, 1], 2).into(),
        to: None,
        term,
        body,
    }
}

#[test]
fn entry_of_an_earlier_term_is_committed_only_with_one_of_the_own_term() {
    let (start, mut replica) = uncommitted();
    let now = start + 3 * support::ELECTION;
    feed(&mut replica, now, Event::Ticked);
    for body in [Body::Polled { granted: true }, Body::Voted] {
        let message = from_second(replica.term(), body);
        feed(&mut replica, now, Event::Received { message: &message });
    }
    assert!(replica.is_leader());
    for (matched, commit) in [(2, 0), (3, 3)] {
        let stamp = 0;
        let message = from_second(replica.term(), Body::Appended { matched, stamp });
        feed(&mut replica, now, Event::Received { message: &message });
        assert_eq!(replica.commit_index(), commit);
    }
}

fn votes(term: u64, last: Position, expected: bool) {
    let (start, mut replica) = uncommitted();
    let forced = true;
    let message = from_second(term, Body::Solicit { last, forced });
    let sent = feed(&mut replica, start, Event::Received { message: &message });
    let voted = sent.iter().any(|body| matches!(body, Body::Voted));
    assert_eq!(voted, expected);
}

cases!(votes {
    same_log: (3, Position { term: 2, index: 2 }, true),
    longer_log: (3, Position { term: 2, index: 9 }, true),
    later_term_of_a_shorter_log: (4, Position { term: 3, index: 1 }, true),
    shorter_log: (3, Position { term: 2, index: 1 }, false),
    earlier_term_of_a_longer_log: (3, Position { term: 1, index: 9 }, false),
    term_that_is_over: (1, Position { term: 2, index: 9 }, false),
});

#[test]
fn apply_outcomes_of_the_state() {
    let mut store = Store::default();
    let configure = |store: &mut Store, configuration: &Rc<Configuration>| {
        let configuration = Rc::clone(configuration);
        store.apply(&Change::Configure { configuration })
    };
    let five = configuration(5);
    let accepted = configure(&mut store, &five);
    assert_eq!(configure(&mut store, &five), accepted, "resent");
    let stale = Outcome::Configured {
        acceptance: Acceptance::Stale { number: 5 },
    };
    assert_eq!(configure(&mut store, &configuration(4)), stale);
}

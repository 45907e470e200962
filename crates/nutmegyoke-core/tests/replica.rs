//! Tests of the replicated log under message loss, delay, duplication and reordering,
//! crashes, full disks, lost disks and partitions.
//!
//! To run more cases with another seed:
//! `NUTMEGYOKE_CASES=2000 NUTMEGYOKE_SEED=7 cargo test --release -p nutmegyoke-core --test replica`

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
use support::{Link, Simulation};

const RELIABLE: Link = Link {
    loss_percent: 0,
    duplicate_percent: 0,
    max_delay_ms: 2,
};

/// Time within which a group without further faults recovers.
const REPAIR_TIME: Duration = Duration::from_secs(30);

/// A fault or its end, a call, or time passing.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Kill(usize),
    Start(usize),
    Wipe(usize),
    Isolate(usize),
    Freeze(usize),
    Heal,
    FillDisk(usize),
    FreeDisk(usize),
    Advance,
    Stop(usize),
    Configure { vm: usize, number: u64 },
    Claim { vm: usize, key: u64 },
}

fn faults() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let vm = || 0..3_usize;
    let fault = prop_oneof![
        2 => vm().prop_map(Fault::Kill),
        3 => vm().prop_map(Fault::Start),
        1 => vm().prop_map(Fault::Wipe),
        2 => vm().prop_map(Fault::Isolate),
        2 => vm().prop_map(Fault::Freeze),
        3 => Just(Fault::Heal),
        1 => vm().prop_map(Fault::FillDisk),
        2 => vm().prop_map(Fault::FreeDisk),
        2 => Just(Fault::Advance),
        1 => vm().prop_map(Fault::Stop),
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

fn claim_request(key: u64, holder: u64, requested_at: u64) -> Request {
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

/// Injects faults and calls, and checks the outcomes of the calls and the configurations
/// that leaders distribute.
#[derive(Default)]
struct Checker {
    next_call: u64,
    /// The key that each call claimed.
    claim_keys: BTreeMap<u64, u64>,
    /// The highest configuration number that each VM showed as leader.
    configuration_numbers: [u64; 3],
}

impl Checker {
    fn inject(&mut self, simulation: &mut Simulation<Store>, fault: Fault) {
        match fault {
            Fault::Kill(vm) => simulation.kill(vm),
            Fault::Start(vm) => {
                // A restarted process has applied nothing yet. Its configuration is
                // checked again once it leads and has committed an entry.
                simulation.start(vm);
            }
            Fault::Wipe(vm) if simulation.may_wipe(vm) => {
                simulation.wipe(vm);
                self.configuration_numbers[vm] = 0;
            }
            Fault::Wipe(_) => {}
            Fault::Isolate(vm) => {
                simulation.isolated = [vm].into();
            }
            Fault::Freeze(vm) => {
                simulation.frozen.insert(vm);
            }
            Fault::Heal => {
                simulation.isolated.clear();
                simulation.frozen.clear();
            }
            Fault::FillDisk(vm) => simulation.vms[vm].disk_full = true,
            Fault::FreeDisk(vm) => simulation.vms[vm].disk_full = false,
            Fault::Advance => simulation.run(Duration::from_secs(2)),
            Fault::Stop(vm) => simulation.feed(vm, Event::Stopping),
            Fault::Configure { vm, number } => {
                let configuration = configuration(number);
                self.propose(simulation, vm, &Change::Configure { configuration });
            }
            Fault::Claim { vm, key } => {
                self.claim_keys.insert(self.next_call, key);
                let request = claim_request(key, self.next_call, self.next_call);
                self.propose(simulation, vm, &Change::Claim { request });
            }
        }
    }

    fn propose(&mut self, simulation: &mut Simulation<Store>, vm: usize, change: &Change) {
        let vm = simulation.leader().unwrap_or(vm);
        let call = self.next_call;
        self.next_call += 1;
        simulation.feed(vm, Event::Proposed { call, change });
    }

    /// Checks that the configuration distributed by a leader never goes back.
    fn check_configuration_numbers(&mut self, simulation: &Simulation<Store>) {
        for (vm, latest) in self.configuration_numbers.iter_mut().enumerate() {
            let replica = simulation.vms[vm].replica.as_ref();
            if let Some(replica) = replica.filter(|replica| replica.is_leader()) {
                let number = replica.state().configuration.number();
                // A new leader distributes its state only once it has committed an
                // entry of its own term.
                if replica.is_ready_leader() {
                    assert!(
                        number >= *latest,
                        "the configuration number of VM {vm} went back from {latest} to {number}"
                    );
                    *latest = number;
                }
            }
        }
    }

    fn check_outcomes(&self, simulation: &Simulation<Store>) {
        let mut granted: BTreeMap<u64, u64> = BTreeMap::new();
        let mut accepted = 0;
        for (call, outcome) in &simulation.outcomes {
            match outcome {
                Outcome::Claimed {
                    outcome: claim::Outcome::Granted,
                } => {
                    let key = self.claim_keys[call];
                    let first = *granted.entry(key).or_insert(*call);
                    assert_eq!(
                        first, *call,
                        "claim {key} granted to calls {first} and {call}"
                    );
                }
                Outcome::Configured {
                    acceptance: Acceptance::Accepted { number, .. },
                } => accepted = accepted.max(*number),
                _ => {}
            }
        }
        let leader = simulation.leader().expect("no leader after the recovery");
        let state = simulation.vms[leader].replica.as_ref().unwrap().state();
        assert!(
            state.configuration.number() >= accepted,
            "accepted configuration {accepted} was lost"
        );
        for (key, call) in granted {
            let request = claim_request(key, u64::MAX, u64::MAX / 2);
            let held = state.claims.rows().find(|(held, _)| *held == request.key);
            assert_eq!(
                held.unwrap().1.holder.number,
                call,
                "claim {key} is not held by call {call}"
            );
        }
    }
}

fn run_with_faults(
    (seed, loss_percent, duplicate_percent, max_delay_ms): (u64, u32, u32, u64),
    faults: &[(u64, Fault)],
) {
    let link = Link {
        loss_percent,
        duplicate_percent,
        max_delay_ms,
    };
    let mut simulation = Simulation::open(3, seed, link);
    let mut checker = Checker::default();
    simulation.run(Duration::from_secs(3));
    for &(gap, fault) in faults {
        checker.inject(&mut simulation, fault);
        for _ in 0..=gap / 20 {
            simulation.run(Duration::from_millis(20));
            checker.check_configuration_numbers(&simulation);
        }
    }
    simulation.isolated.clear();
    simulation.frozen.clear();
    simulation.link = RELIABLE;
    for vm in 0..3 {
        simulation.vms[vm].disk_full = false;
        simulation.start(vm);
    }
    simulation.run(REPAIR_TIME);
    checker.check_configuration_numbers(&simulation);
    checker.check_outcomes(&simulation);
    let commit = |vm: usize| {
        simulation.vms[vm]
            .replica
            .as_ref()
            .map(Replica::commit_index)
    };
    assert_eq!(commit(0), commit(1), "replicas 0 and 1 differ");
    assert_eq!(commit(1), commit(2), "replicas 1 and 2 differ");
    assert_eq!(simulation.membership.voters().count(), 3);
}

/// The environment variable `name`, or `default` if it is not set. Panics if it is not a
/// whole number.
fn variable_or(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |text| {
        text.parse()
            .expect("the environment variable must be a whole number")
    })
}

#[test]
fn no_acknowledged_change_is_lost_under_faults() {
    let cases = u32::try_from(variable_or("NUTMEGYOKE_CASES", 60)).unwrap();
    let mut runner = TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(variable_or("NUTMEGYOKE_SEED", 20_261_204)),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    });
    let conditions = (any::<u64>(), 0..20_u32, 0..20_u32, 1..80_u64);
    let run = runner.run(&(conditions, faults()), |(conditions, faults)| {
        run_with_faults(conditions, &faults);
        Ok(())
    });
    if let Err(error) = run {
        panic!("{error}");
    }
}

/// A group of replicas that has accepted configuration 1.
fn group(count: usize) -> Simulation<Store> {
    let mut simulation = Simulation::open(count, 1, RELIABLE);
    simulation.run(Duration::from_secs(10));
    configure(&mut simulation, 1);
    simulation
}

fn configure(simulation: &mut Simulation<Store>, number: u64) {
    let leader = simulation.leader().expect("no leader");
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
        "configuration {number} got no outcome"
    );
}

fn configuration_number(simulation: &Simulation<Store>, vm: usize) -> u64 {
    let replica = simulation.vms[vm].replica.as_ref().unwrap();
    replica.state().configuration.number()
}

fn bootstrap(count: usize) {
    let simulation = group(count);
    assert_eq!(simulation.membership.voters().count(), count);
    for vm in 0..count {
        assert_eq!(configuration_number(&simulation, vm), 1);
    }
}

cases!(bootstrap {
    one_replica: (1),
    three_replicas: (3),
    five_replicas: (5),
});

#[test]
fn isolated_leader_steps_down_before_another_is_elected() {
    let mut simulation = group(3);
    let isolated = simulation.leader().unwrap();
    simulation.isolated = [isolated].into();
    for _ in 0..10_000 {
        simulation.run(Duration::from_millis(1));
        let leads = |vm: usize| simulation.vms[vm].replica.as_ref().unwrap().is_leader();
        if !leads(isolated) {
            break;
        }
        assert!(
            (0..3).all(|vm| vm == isolated || !leads(vm)),
            "two leaders at the same time"
        );
    }
    simulation.run(Duration::from_secs(10));
    assert_ne!(simulation.leader(), Some(isolated));
    configure(&mut simulation, 2);
    simulation.isolated.clear();
    let term = simulation.vms[simulation.leader().unwrap()]
        .replica
        .as_ref()
        .unwrap()
        .term();
    simulation.run(Duration::from_secs(5));
    assert_eq!(configuration_number(&simulation, isolated), 2);
    let leader = simulation.leader().unwrap();
    let replica = simulation.vms[leader].replica.as_ref().unwrap();
    assert_eq!(
        replica.term(),
        term,
        "the returned replica must not depose the leader"
    );
}

/// Guards against a replacement that counts as a voter before it has the whole log: the
/// loss of a second disk would then lose committed changes.
#[test]
fn second_disk_may_be_lost_once_the_first_is_replaced() {
    let mut simulation = group(3);
    simulation.wipe(0);
    simulation.run(Duration::from_secs(5));
    simulation.start(0);
    let replacement = simulation.vms[0].id;
    for _ in 0..20_000 {
        simulation.run(Duration::from_millis(1));
        if simulation.membership.is_voter(replacement) {
            break;
        }
    }
    assert!(simulation.membership.is_voter(replacement));
    simulation.wipe(1);
    simulation.run(Duration::from_secs(10));
    configure(&mut simulation, 2);
    assert_eq!(configuration_number(&simulation, 0), 2);
    assert_eq!(simulation.membership.voters().count(), 3);
}

#[test]
fn replica_with_an_empty_disk_does_not_complete_a_majority() {
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
        "a leader was elected with only one of three disks"
    );
    simulation.start(2);
    simulation.run(Duration::from_secs(20));
    assert_eq!(
        configuration_number(&simulation, simulation.leader().unwrap()),
        1
    );
}

/// Regression test: a voter in a higher term refused forever to vote for the only
/// replica with the whole log.
#[test]
fn higher_term_with_a_shorter_log_does_not_block_elections() {
    let mut simulation = group(3);
    let ahead = simulation.leader().unwrap();
    let behind = (ahead + 1) % 3;
    simulation.kill(behind);
    configure(&mut simulation, 2);
    simulation.kill(ahead);
    simulation.kill((ahead + 2) % 3);
    simulation.vms[behind].disk.vote.term += 10;
    simulation.start(behind);
    simulation.start(ahead);
    simulation.run(Duration::from_secs(20));
    assert_eq!(simulation.leader(), Some(ahead));
    assert_eq!(configuration_number(&simulation, behind), 2);
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
    assert!(base.index > 0, "the log was not truncated");
    simulation.start(behind);
    simulation.run(Duration::from_secs(10));
    assert_eq!(configuration_number(&simulation, behind), 1599);
    // The installed snapshot survives a restart.
    simulation.kill(behind);
    simulation.start(behind);
    let replica = simulation.vms[behind].replica.as_ref().unwrap();
    assert!(replica.state().configuration.number() > 0);
}

#[test]
fn full_disks_reject_changes_until_space_is_freed() {
    let mut simulation = group(3);
    for vm in 0..3 {
        simulation.vms[vm].disk_full = true;
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
    assert!(
        simulation.redirected.contains(&2),
        "the call was not redirected while the disks were full"
    );
    for vm in 0..3 {
        simulation.vms[vm].disk_full = false;
    }
    simulation.run(Duration::from_secs(10));
    configure(&mut simulation, 3);
}

/// Sends a message to the leader on behalf of the new replica `from` on VM 0.
fn send_to_leader(simulation: &mut Simulation<Store>, from: replica::Id, body: Body<Store>) {
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
fn learner_becomes_a_voter_only_with_all_committed_entries_on_disk() {
    let mut simulation = group(3);
    simulation.wipe(0);
    simulation.run(Duration::from_secs(5));
    let learner = simulation.vms[0].id;
    let seed = Seed {
        name: "control-0".to_owned(),
        address: simulation.address(0),
        observer: false,
    };
    send_to_leader(&mut simulation, learner, Body::Join { seed });
    let commit = *simulation.committed.keys().next_back().unwrap();
    for matched in [0, 1, commit - 1] {
        let stamp = 0;
        send_to_leader(&mut simulation, learner, Body::Appended { matched, stamp });
        assert!(
            simulation.membership.peer(learner).is_some(),
            "the learner did not join"
        );
        assert!(
            !simulation.membership.is_voter(learner),
            "the learner votes with only {matched} of {commit} entries"
        );
    }
    let voters_before = simulation.membership.voters().count();
    for _ in 0..2 {
        // The first message removes the voter with the wiped disk, the second makes the
        // learner a voter. Each acknowledges all that is committed, with the entry by which the
        // leader confirms the removal.
        let matched = *simulation.committed.keys().next_back().unwrap();
        let stamp = 0;
        send_to_leader(&mut simulation, learner, Body::Appended { matched, stamp });
    }
    assert!(simulation.membership.is_voter(learner));
    assert_eq!(simulation.membership.voters().count(), voters_before);
}

/// Replica 1 of three, whose last entry, of term 2, is not committed.
fn replica_with_uncommitted_entry() -> (Instant, Replica<Store>) {
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
        election_timeout: support::ELECTION_TIMEOUT,
        tolerated_losses: None,
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

/// Feeds one event, reports every batch as synced, and returns the messages sent.
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
fn large_configuration(number: u64) -> Rc<Configuration> {
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

/// Without a limit in bytes, the entries kept for followers that are a little behind
/// would fill the memory.
#[test]
fn entries_kept_behind_a_snapshot_are_limited_in_bytes() {
    let setup = Setup {
        id: replica::Id(1),
        seed: Seed {
            name: "control-1".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            observer: false,
        },
        roster: Roster::default(),
        election_timeout: support::ELECTION_TIMEOUT,
        tolerated_losses: None,
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
            configuration: large_configuration(number),
        };
        let event = Event::Proposed {
            call: number,
            change: &change,
        };
        feed(&mut replica, now, event);
    }
    assert_eq!(replica.state().configuration.number(), 60);
    let retained = replica.log().last().index - replica.log().base().index;
    // 14 entries exceed 4 MiB, the limit both of the entries kept behind a snapshot and of
    // those since the snapshot.
    assert!(retained <= 2 * 14, "{retained} entries are retained");
}

fn message_from_replica_2(term: u64, body: Body<Store>) -> Message<Store> {
    Message {
        from: replica::Id(2),
        reply: ([127, 0, 0, 1], 2).into(),
        to: None,
        term,
        body,
    }
}

#[test]
fn entry_of_an_earlier_term_is_committed_only_with_one_of_the_current_term() {
    let (start, mut replica) = replica_with_uncommitted_entry();
    let now = start + 3 * support::ELECTION_TIMEOUT;
    feed(&mut replica, now, Event::Ticked);
    for body in [Body::Polled { granted: true }, Body::Voted] {
        let message = message_from_replica_2(replica.term(), body);
        feed(&mut replica, now, Event::Received { message: &message });
    }
    assert!(replica.is_leader());
    for (matched, commit) in [(2, 0), (3, 3)] {
        let stamp = 0;
        let message = message_from_replica_2(replica.term(), Body::Appended { matched, stamp });
        feed(&mut replica, now, Event::Received { message: &message });
        assert_eq!(replica.commit_index(), commit);
    }
}

fn vote(term: u64, last: Position, expected: bool) {
    let (start, mut replica) = replica_with_uncommitted_entry();
    let forced = true;
    let message = message_from_replica_2(term, Body::Solicit { last, forced });
    let sent = feed(&mut replica, start, Event::Received { message: &message });
    let voted = sent.iter().any(|body| matches!(body, Body::Voted));
    assert_eq!(voted, expected);
}

cases!(vote {
    same_log: (3, Position { term: 2, index: 2 }, true),
    longer_log: (3, Position { term: 2, index: 9 }, true),
    later_term_of_a_shorter_log: (4, Position { term: 3, index: 1 }, true),
    shorter_log: (3, Position { term: 2, index: 1 }, false),
    earlier_term_of_a_longer_log: (3, Position { term: 1, index: 9 }, false),
    outdated_term: (1, Position { term: 2, index: 9 }, false),
});

#[test]
fn repeated_configuration_is_accepted_and_older_one_is_stale() {
    let mut store = Store::default();
    let configure = |store: &mut Store, configuration: &Rc<Configuration>| {
        let configuration = Rc::clone(configuration);
        store.apply(&Change::Configure { configuration })
    };
    let five = configuration(5);
    let accepted = configure(&mut store, &five);
    assert_eq!(
        configure(&mut store, &five),
        accepted,
        "the same configuration again"
    );
    let stale = Outcome::Configured {
        acceptance: Acceptance::Stale { number: 5 },
    };
    assert_eq!(configure(&mut store, &configuration(4)), stale);
}

//! Measures the cost of control: commits with sync, failover, configuration changes,
//! heartbeats and snapshots. Commits, configuration changes and failover are printed
//! with a baseline from the same run.
//!
//! `cargo bench --bench control` prints all figures. To count instructions, run the
//! built bench under callgrind with `change N`, `whole N` or `heartbeat N` and
//! take the difference between two values of N.

#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegyoke_core::process::control::claims::{Claims, Row};
use nutmegyoke_core::process::control::replica::{
    Batch, Command, Event, Id, Membership, Position, Recovered, Replica, Roster, Seed, Setup,
    Snapshot,
};
use nutmegyoke_core::process::control::store::Change;
use nutmegyoke_core::process::control::{Store, claims};
use nutmegyoke_core::process::directory::{Cursor, Delta};
use nutmegyoke_core::process::member::Role;
use nutmegyoke_core::process::update::{Known, Update};
use nutmegyoke_core::process::{Machine, Member, Vm};
use nutmegyoke_core::request;
use nutmegyoke_core::request::claim::{Key, Name};
use nutmegyoke_core::version::configuration::Lists;
use nutmegyoke_core::version::diff::Diff;
use nutmegyoke_core::version::grant::Item;
use nutmegyoke_core::version::{Configuration, Grant, Plan};
use nutmegyoke_host::process::journal::{Folder, Journal, frame};
use nutmegyoke_wire::connection::link_capnp;
use nutmegyoke_wire::process::{member, record, update};
use support::replicas::Replicas;

/// The models in a configuration of the target size.
const MODELS: u64 = 520;
/// The adapters in a configuration of the target size.
const ADAPTERS: u64 = 2080;
/// The plans in a configuration of the target size.
const PLANS: u32 = 200;

/// The claims that a replica holds at the target's peak, when all requests are keyed: the
/// requests per second times the sum of the retention (120 s) and the maximum clock skew
/// (10 s).
const CLAIMS: u64 = 4_300 * 130;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let count = arguments.get(1).and_then(|text| text.parse().ok());
    match (arguments.first().map(String::as_str), count) {
        (Some("change"), Some(count)) => repeat_change(count),
        (Some("whole"), Some(count)) => repeat_full_lists(count),
        (Some("heartbeat"), Some(count)) => repeat_heartbeat(count),
        _ => run_all(),
    }
}

fn run_all() {
    println!("## Commits with sync, one replica, one disk");
    for outstanding in [1, 16, 256] {
        measure_commits(outstanding);
    }
    println!("## Teaching one changed grant of {} rows", row_count());
    measure_update();
    println!("## Heartbeat of an agent with 12 endpoints, nothing new");
    measure_heartbeat();
    println!("## Snapshot with {CLAIMS} claims and {} rows", row_count());
    measure_snapshot();
    println!("## Fail-over of three replicas, election timeout 500 ms");
    measure_failover();
}

/// The number of rows in a configuration.
fn row_count() -> u64 {
    MODELS + ADAPTERS + u64::from(PLANS)
}

/// A configuration of the target size, in which the size of one model depends on `number`.
fn configuration(number: u64) -> Rc<Configuration> {
    let plan = |index: u32| Plan {
        name: format!("plan-{index:03}"),
        customer: format!("customer-{:02}", index % 50).as_str().into(),
        key: format!("key-{index:024}"),
        requests_per_second: 100,
        concurrency: 100,
        tokens_per_minute: 1_000_000,
        priority: 5,
        first_token: Duration::from_secs(1),
        between_tokens: Duration::from_millis(50),
        deadline: Duration::from_secs(30),
    };
    let model = |index: u64| format!("model-{index:03}");
    let plans =
        |index: u64| (0..4).map(move |step| format!("plan-{:03}", (index + step * 37) % 200));
    let models = (0..MODELS).map(|index| Grant {
        item: Item::Model {
            name: model(index).as_str().into(),
            bytes: 7_000_000_000 + if index == 260 { number } else { 0 },
        },
        plans: plans(index).collect(),
    });
    let adapters = (0..ADAPTERS).map(|index| Grant {
        item: Item::Adapter {
            name: format!("adapter-{index:04}").as_str().into(),
            model: model(index % MODELS).as_str().into(),
            bytes: 120_000_000,
        },
        plans: plans(index).collect(),
    });
    let lists = Lists {
        number,
        plans: (0..PLANS).map(plan).collect(),
        grants: models.chain(adapters).collect(),
    };
    Configuration::open(lists).expect("the lists are valid")
}

fn seed() -> Seed {
    Seed {
        name: "control-1".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        observer: false,
    }
}

fn claim_request(number: u64) -> claims::Request {
    let name = Name {
        customer: "kayal".into(),
        key: format!("lot-{number}"),
    };
    claims::Request {
        key: name.key(),
        holder: request::Id { entry: 1, number },
        digest: number,
        requested_at: 1,
    }
}

/// Commits claims for a second with `outstanding` of them in flight. With one in flight, each
/// log entry takes a sync of its own, which is the baseline.
fn measure_commits(outstanding: u64) {
    let runtime = compio::runtime::Runtime::new().expect("the runtime can be created");
    runtime.block_on(async {
        let folder = tempfile::TempDir::new().expect("the temporary folder can be created");
        let medium = Folder::open(folder.path()).expect("the folder can be opened");
        let (mut journal, recovered) = Journal::open(medium, Id(1))
            .await
            .expect("the journal can be opened");
        let setup = Setup {
            id: Id(1),
            seed: seed(),
            roster: Roster::default(),
            election_timeout: Duration::from_millis(100),
            tolerated_losses: None,
            random_seed: 1,
        };
        let mut replica: Replica<Store> = Replica::open(Instant::now(), setup, recovered);
        let mut batches: VecDeque<Batch<Store>> = VecDeque::new();
        let (mut proposed, mut committed, mut syncs) = (0, 0, 0_u64);
        let mut start = Instant::now();
        let mut offset = journal.length();
        let mut leading = false;
        while start.elapsed() < Duration::from_secs(1) || !leading {
            let mut out = Vec::new();
            let now = Instant::now();
            replica.handle(now, Event::Ticked, &mut out);
            if replica.is_ready_leader() && !leading {
                leading = true;
                start = now;
                offset = journal.length();
                syncs = 0;
            }
            while leading && proposed < committed + outstanding {
                proposed += 1;
                let change = Change::Claim {
                    request: claim_request(proposed),
                };
                let event = Event::Proposed {
                    call: proposed,
                    change: &change,
                };
                replica.handle(now, event, &mut out);
            }
            collect(out, &mut batches, &mut committed);
            if let Some(batch) = batches.pop_front() {
                journal.append(&batch).await.expect("the journal can be written");
                syncs += 1;
                let mut out = Vec::new();
                let ticket = batch.ticket;
                replica.handle(Instant::now(), Event::Synced { ticket }, &mut out);
                collect(out, &mut batches, &mut committed);
            }
        }
        let seconds = start.elapsed().as_secs_f64();
        println!(
            "{outstanding:>4} outstanding: {:>8.0} commits/s, {:>6.1} entries a sync, {:>5.0} bytes a commit",
            ratio(committed, 1) / seconds,
            ratio(committed, syncs),
            ratio(journal.length() - offset, committed)
        );
    });
}

/// The ratio of two counts that fit into 32 bits in a run of this length.
fn ratio(numerator: u64, denominator: u64) -> f64 {
    let [numerator, denominator] =
        [numerator, denominator].map(|number| u32::try_from(number).unwrap_or(u32::MAX));
    f64::from(numerator) / f64::from(denominator)
}

/// Queues the batches to persist and counts the committed claims.
fn collect(out: Vec<Command<Store>>, batches: &mut VecDeque<Batch<Store>>, committed: &mut u64) {
    for command in out {
        match command {
            Command::Persist { batch } => batches.push_back(batch),
            Command::Outcome { .. } => *committed += 1,
            _ => {}
        }
    }
}

/// Runs `round_trip` `count` times, and prints the mean time and the size that it returns.
fn time(name: &str, count: u32, mut round_trip: impl FnMut() -> usize) {
    let start = Instant::now();
    let mut encoded_bytes = 0;
    for _ in 0..count {
        encoded_bytes = round_trip();
    }
    let mean_time = start.elapsed() / count;
    println!(
        "{name:<34} {encoded_bytes:>9} bytes, {mean_time:>10.1?} to make, encode, decode and apply"
    );
}

/// Encodes an update, decodes it on a process with the configuration `base` and returns the
/// encoded size in bytes.
fn round_trip(update: &Update, base: &Rc<Configuration>) -> usize {
    let mut message = capnp::message::Builder::new_default();
    update::write(update, message.init_root::<link_capnp::news::Builder<'_>>());
    let bytes = capnp::serialize::write_message_to_words(&message);
    let options = capnp::message::ReaderOptions::new();
    let reader = capnp::serialize::read_message(&mut &bytes[..], options)
        .expect("the message is well-formed");
    let root = reader
        .get_root::<link_capnp::news::Reader<'_>>()
        .expect("the message holds an update");
    let decoded = update::read(root, base).expect("the update is valid");
    assert!(decoded.configuration.is_some());
    bytes.len()
}

/// The update of a process with the configuration `old` to `new`, as a difference.
fn diff_update(old: &Rc<Configuration>, new: &Rc<Configuration>) -> Update {
    Update {
        changes: vec![Rc::new(Diff::between(old, new))],
        ..Update::default()
    }
}

/// Compares an update with the full lists to one with the difference.
fn measure_update() {
    let (old, new) = (configuration(1), configuration(2));
    let full = Update {
        configuration: Some(Rc::clone(&new)),
        ..Update::default()
    };
    time("whole lists (baseline)", 50, || round_trip(&full, &old));
    time("change", 50, || round_trip(&diff_update(&old, &new), &old));
}

/// Runs the round trip of a difference `count` times, to count instructions.
fn repeat_change(count: u64) {
    let (old, new) = (configuration(1), configuration(2));
    let update = diff_update(&old, &new);
    for _ in 0..count {
        round_trip(&update, &old);
    }
}

/// Runs the round trip of full lists `count` times, to count instructions.
fn repeat_full_lists(count: u64) {
    let (old, new) = (configuration(1), configuration(2));
    let update = Update {
        configuration: Some(new),
        ..Update::default()
    };
    for _ in 0..count {
        round_trip(&update, &old);
    }
}

/// A VM's agent with 12 engines.
fn agent() -> Member {
    let endpoint = |index: u32| nutmegyoke_core::process::Endpoint {
        name: format!("engine-{index}"),
        holding: nutmegyoke_core::process::endpoint::Holding::Engine {
            models: vec!["model-001".into()],
            adapters: (0..4)
                .map(|number| format!("adapter-{number:04}").as_str().into())
                .collect(),
        },
        slots: 16,
        phase: nutmegyoke_core::process::endpoint::Phase::Ready,
    };
    Member {
        vm: Vm {
            name: "engine-vm-001".to_owned(),
            incarnation: 1_700_000_000_000,
        },
        role: Role::Agent,
        data_centre: "alp-a".into(),
        address: ([127, 0, 0, 1], 1).into(),
        endpoints: (0..12).map(endpoint).collect(),
        configuration: 7,
    }
}

/// Encodes and decodes a heartbeat and encodes an answer without changes. Returns the size of
/// both in bytes.
fn heartbeat_round_trip(member: &Member) -> usize {
    let mut message = capnp::message::Builder::new_default();
    let mut params = message.init_root::<link_capnp::control::exchange_params::Builder<'_>>();
    member::write(member, params.reborrow().init_member());
    update::write_known(Known::default(), params.init_known());
    let bytes = capnp::serialize::write_message_to_words(&message);
    let options = capnp::message::ReaderOptions::new();
    let reader = capnp::serialize::read_message(&mut &bytes[..], options)
        .expect("the message is well-formed");
    let root = reader.get_root::<link_capnp::control::exchange_params::Reader<'_>>();
    let decoded = member::read(
        root.expect("the message holds the parameters")
            .get_member()
            .expect("the parameters hold a member"),
    );
    assert_eq!(&decoded.expect("the member is valid"), member);
    let answer = Update {
        directory: Delta {
            cursor: Cursor {
                epoch: 1,
                revision: 1,
            },
            ..Delta::default()
        },
        ..Update::default()
    };
    let mut message = capnp::message::Builder::new_default();
    update::write(
        &answer,
        message.init_root::<link_capnp::news::Builder<'_>>(),
    );
    bytes.len() + capnp::serialize::write_message_to_words(&message).len()
}

fn measure_heartbeat() {
    let member = agent();
    let start = Instant::now();
    let count = 2000;
    let mut bytes = 0;
    for _ in 0..count {
        bytes = heartbeat_round_trip(&member);
    }
    println!("{bytes} bytes both ways, {:.1?}", start.elapsed() / count);
}

/// Runs the round trip of a heartbeat `count` times, to count instructions.
fn repeat_heartbeat(count: u64) {
    let member = agent();
    for _ in 0..count {
        heartbeat_round_trip(&member);
    }
}

/// The resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().nth(1));
    field.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0) * 1024
}

/// Measures the memory of the claims, and copying, encoding, writing and loading a snapshot.
fn measure_snapshot() {
    let before = resident_bytes();
    let row = |number| Row {
        granted_at: 1,
        holder: request::Id { entry: 1, number },
        digest: number,
        verdict: Some(request::Verdict::Ran),
        vm: Some("engine-vm-001".into()),
    };
    let key = |number: u64| Key {
        hash: [number.wrapping_mul(0x9e37_79b9_7f4a_7c15), number],
        born: None,
    };
    let claims = Claims::open(1, (0..CLAIMS).map(|number| (key(number), row(number))));
    let claim_bytes = resident_bytes() - before;
    println!(
        "{} bytes of memory a claim, {} MB in all",
        claim_bytes / CLAIMS,
        claim_bytes / 1_000_000
    );
    let start = Instant::now();
    let copy = claims.clone();
    println!("copied in {:.1?}", start.elapsed());
    drop(copy);
    let snapshot = Snapshot {
        position: Position { term: 1, index: 1 },
        membership: Membership::default(),
        state: Store {
            document: None,
            configuration: configuration(1),
            claims,
            demand: Rc::default(),
        },
    };
    let batch = Batch {
        ticket: 1,
        vote: nutmegyoke_core::process::control::replica::Vote::default(),
        snapshot: Some(Rc::new(snapshot)),
        entries: Vec::new(),
    };
    let start = Instant::now();
    let frame = frame::encode(&record::encode(Id(1), &batch));
    println!("{} bytes, encoded in {:.1?}", frame.len(), start.elapsed());
    let runtime = compio::runtime::Runtime::new().expect("the runtime can be created");
    runtime.block_on(async {
        let folder = tempfile::TempDir::new().expect("the temporary folder can be created");
        let medium = Folder::open(folder.path()).expect("the folder can be opened");
        let (mut journal, _) = Journal::open(medium, Id(1))
            .await
            .expect("the journal can be opened");
        let start = Instant::now();
        journal
            .append(&batch)
            .await
            .expect("the journal can be written");
        println!("encoded, written and synced in {:.1?}", start.elapsed());
        drop(journal);
        let medium = Folder::open(folder.path()).expect("the folder can be opened");
        let start = Instant::now();
        let (_, recovered): (_, Recovered<Store>) = Journal::open(medium, Id(1))
            .await
            .expect("the journal can be opened");
        let claims = recovered
            .snapshot
            .map_or(0, |snapshot| snapshot.state.claims.len());
        println!("loaded in {:.1?}, {claims} claims", start.elapsed());
    });
}

/// Measures the time from killing the leader to the next acknowledged configuration.
fn measure_failover() {
    const ROUNDS: u64 = 8;
    let mut replicas = Replicas::spawn(3);
    let mut failover_times = Vec::new();
    let mut baseline_times = Vec::new();
    for round in 1..=ROUNDS {
        let leader = replicas.leader();
        let follower = (leader + 1) % 3;
        let start = Instant::now();
        assert!(replicas.apply(follower, round * 2).status.success());
        baseline_times.push(start.elapsed());
        replicas.kill(leader);
        let start = Instant::now();
        while !replicas.apply(follower, round * 2 + 1).status.success() {}
        failover_times.push(start.elapsed());
        replicas.start(leader);
        replicas.wait_for_voters();
    }
    failover_times.sort();
    baseline_times.sort();
    println!(
        "apply without a fault (baseline): median {:.0?}",
        baseline_times[baseline_times.len() / 2]
    );
    println!(
        "kill to the next acknowledged apply: least {:.0?}, median {:.0?}, most {:.0?}",
        failover_times[0],
        failover_times[failover_times.len() / 2],
        failover_times[failover_times.len() - 1]
    );
}

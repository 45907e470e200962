//! Measures how the costs behind docs/CAPACITY.md grow with the size of the fleet.
//!
//! `cargo bench --bench capacity` measures real state and real encoded messages at several
//! sizes, prints a linear fit for each figure, and then the totals that follow for the target
//! size. CPU time is that of the measured process alone. Memory is measured in a new process
//! for each size.

mod support;

use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};

use capnp::message::{Builder, HeapAllocator, ReaderOptions};
use capnp::serialize;
use nutmegyoke_core::process::control::claims::{Claims, RETENTION, Request};
use nutmegyoke_core::process::control::replica::{
    Body, Content, Id, Message, Position, Recovered, Roster, Seed, Setup, log,
};
use nutmegyoke_core::process::control::store::Change;
use nutmegyoke_core::process::control::{Command as ControlCommand, Event};
use nutmegyoke_core::process::directory::Cursor;
use nutmegyoke_core::process::update::{Known, Update};
use nutmegyoke_core::process::{Control, Directory, Entry, Machine, entry};
use nutmegyoke_core::request::fingerprint::{self, Fingerprint};
use nutmegyoke_core::request::{self, claim::Key};
use nutmegyoke_core::version::Configuration;
use nutmegyoke_core::version::diff::Diff;
use nutmegyoke_wire::connection::link_capnp::control;
use nutmegyoke_wire::process::{member, replica, update};
use support::client::{Client, Delivery};
use support::fit::Fit;
use support::fleet::Fleet;
use support::{cpu_time, engine, target};

/// The minimum CPU time over which a mean is taken.
const MIN_SAMPLE_TIME: Duration = Duration::from_millis(120);

/// The numbers of VMs at which state and snapshots are measured.
const VM_COUNTS: [u32; 4] = [40, 85, 170, 340];
/// The numbers of engines per VM at which heartbeats are measured.
const ENGINE_COUNTS: [u32; 4] = [0, 4, 8, 16];
/// The numbers of models at which configurations are measured.
const MODEL_COUNTS: [u32; 3] = [130, 260, 520];
/// The numbers of claims at which their memory is measured.
const CLAIM_COUNTS: [u32; 3] = [50_000, 100_000, 200_000];
/// The numbers of tokens per request at which the data path is measured.
const TOKEN_COUNTS: [u32; 3] = [8, 32, 128];
/// The KiB of a body with a prompt of 9,000 tokens, at 4 bytes a token.
const PROMPT_KIB: f64 = 36.0;
/// The KiB of a request's body at which its fingerprint is measured, up to the longest body.
const BODY_SIZES_KIB: [u32; 4] = [1, 16, 256, 4096];

/// The number of requests that are sent for each of [`TOKEN_COUNTS`].
const REQUESTS_PER_POINT: u32 = 1_600;

fn main() {
    let runtime = compio::runtime::Runtime::new().expect("the runtime can be created");
    if let Some(agent) = engine::agent_argument() {
        return runtime.block_on(engine::serve(agent));
    }
    let arguments: Vec<String> = std::env::args().collect();
    if let Some(index) = arguments.iter().position(|argument| argument == "--memory") {
        let size = arguments[index + 2]
            .parse()
            .expect("the argument after the kind of state is a size");
        return print_memory_growth(&arguments[index + 1], size);
    }
    println!("{}", support::load_average());
    let costs = measure_costs();
    let memory = measure_state();
    let requests = runtime.block_on(measure_requests());
    print_totals(&costs, &memory, &requests);
}

/// The sizes of control messages, and the CPU time to process them in microseconds.
struct Costs {
    /// A heartbeat, by engines of the VM.
    heartbeat_bytes: Fit,
    /// The answer to a heartbeat when nothing has changed.
    answer_bytes: f64,
    /// A delta of the directory, by changed VMs.
    vm_delta_bytes: Fit,
    /// A delta of the directory, by VMs with one changed engine.
    engine_delta_bytes: Fit,
    /// A snapshot of the directory, by VMs.
    snapshot_bytes: Fit,
    /// A full configuration, by models.
    configuration_bytes: Fit,
    /// A difference of the configuration, by changed rows.
    diff_bytes: Fit,
    /// A replication message, by claims.
    append_bytes: Fit,
    /// A heartbeat at control, by engines of the VM.
    heartbeat_us: Fit,
    /// A delta of the directory at an entry, by changed VMs.
    delta_us: Fit,
    /// A full configuration at an entry, by models.
    configuration_us: Fit,
    /// The fingerprint of a request, by KiB of its body.
    fingerprint_us: Fit,
}

fn measure_costs() -> Costs {
    Costs {
        heartbeat_bytes: Fit::measure(
            "B1 heartbeat, by engines",
            "bytes",
            &ENGINE_COUNTS,
            |engines| to_f64(encode_heartbeat(engines).len()),
        ),
        answer_bytes: {
            let bytes = to_f64(encode(&Update::default()).len());
            println!("B2 answer without news = {bytes:.0} bytes");
            bytes
        },
        vm_delta_bytes: Fit::measure("B3 delta, by changed VMs", "bytes", &[1, 4, 16], |vms| {
            to_f64(encode(&vm_delta(vms)).len())
        }),
        engine_delta_bytes: Fit::measure(
            "B6 delta, by changed engines",
            "bytes",
            &[1, 4, 16],
            |vms| to_f64(encode(&engine_delta(vms)).len()),
        ),
        snapshot_bytes: Fit::measure("B4 snapshot, by VMs", "bytes", &VM_COUNTS, |vms| {
            to_f64(encode(&directory_snapshot(vms)).len())
        }),
        configuration_bytes: Fit::measure(
            "B5 configuration, by models",
            "bytes",
            &MODEL_COUNTS,
            |models| to_f64(encode(&full_configuration(models)).len()),
        ),
        diff_bytes: Fit::measure(
            "B7 configuration as a difference, by changed rows",
            "bytes",
            &[1, 4, 16],
            |rows| to_f64(encode(&configuration_diff(rows)).len()),
        ),
        append_bytes: Fit::measure(
            "B8 replication message, by claims",
            "bytes",
            &[1, 4, 16],
            |claims| to_f64(encode_append(claims).len()),
        ),
        heartbeat_us: Fit::measure(
            "T1 heartbeat at control, by engines",
            "us",
            &ENGINE_COUNTS,
            measure_heartbeat,
        ),
        delta_us: Fit::measure(
            "T2 delta at an entry, by changed VMs",
            "us",
            &[1, 4, 16],
            |vms| measure_delta(&encode(&vm_delta(vms)), &encode(&next_vm_delta(vms))),
        ),
        configuration_us: Fit::measure(
            "T3 configuration at an entry, by models",
            "us",
            &MODEL_COUNTS,
            |models| {
                let bytes = encode(&full_configuration(models));
                mean_cpu_us(|| drop(decode(&bytes)))
            },
        ),
        fingerprint_us: Fit::measure(
            "T4 fingerprint of a request, by KiB of its body",
            "us",
            &BODY_SIZES_KIB,
            measure_fingerprint,
        ),
    }
}

fn measure_fingerprint(body_kib: u32) -> f64 {
    let body = vec![b'a'; usize::try_from(body_kib).expect("a body fits into memory") * 1024];
    let content = fingerprint::Content {
        method: "POST",
        host: "desk.example",
        path: "/reports/2026/new?draft=1",
        caller: Some(b"Bearer 0123456789abcdef"),
        target: None,
        prompt: &[],
        body: &body,
    };
    mean_cpu_us(|| {
        std::hint::black_box(Fingerprint::open(std::hint::black_box(&content)));
    })
}

#[allow(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
fn to_f64(bytes: usize) -> f64 {
    bytes as f64
}

/// The mean CPU time of `operation` in microseconds.
fn mean_cpu_us(mut operation: impl FnMut()) -> f64 {
    let start = cpu_time("self");
    let mut calls = 0.0;
    loop {
        for _ in 0..16 {
            operation();
            calls += 1.0;
        }
        let total = cpu_time("self").saturating_sub(start);
        if total > MIN_SAMPLE_TIME {
            return total.as_secs_f64() * 1e6 / calls;
        }
    }
}

/// Encodes the heartbeat of an agent with `engines` engines.
fn encode_heartbeat(engines: u32) -> Vec<u8> {
    let mut message = Builder::new_default();
    let mut params = message.init_root::<control::exchange_params::Builder<'_>>();
    member::write(
        &target::member(1, 0, engines),
        params.reborrow().init_member(),
    );
    let known = Known {
        configuration: 2_100,
        directory: Cursor::UNSUBSCRIBED,
    };
    update::write_known(known, params.init_known());
    serialize::write_message_to_words(&message)
}

/// Encodes the answer to a heartbeat.
fn encode(update: &Update) -> Vec<u8> {
    let mut message: Builder<HeapAllocator> = Builder::new_default();
    let results = message.init_root::<control::exchange_results::Builder<'_>>();
    update::write(update, results.init_news());
    serialize::write_message_to_words(&message)
}

fn decode(bytes: &[u8]) -> Update {
    let options = ReaderOptions::default();
    let message = serialize::read_message(bytes, options).expect("the message is well-formed");
    let results = message.get_root::<control::exchange_results::Reader<'_>>();
    let update = results.and_then(control::exchange_results::Reader::get_news);
    update::read(update.expect("the answer holds an update"), &Rc::default())
        .expect("the update is valid")
}

/// The average number of engines per VM at the target size, rounded down.
fn whole_engines_per_vm() -> u32 {
    target::ENGINES / target::VMS
}

/// Control's directory of `vms` VMs.
fn directory(vms: u32) -> Directory {
    let mut directory = Directory::open(1);
    let now = Instant::now();
    for number in 0..vms {
        directory.renew(now, &target::member(number, 0, whole_engines_per_vm()));
    }
    directory
}

/// The snapshot of a directory of `vms` VMs.
fn directory_snapshot(vms: u32) -> Update {
    Update {
        directory: directory(vms).since(Cursor::default()),
        ..Update::default()
    }
}

/// The delta when the first `vms` VMs of the target size have restarted once.
fn vm_delta(vms: u32) -> Update {
    last_vm_delta(vms, 1)
}

/// The delta when the same VMs have restarted a second time.
fn next_vm_delta(vms: u32) -> Update {
    last_vm_delta(vms, 2)
}

/// The delta of the last of `rounds` rounds, in each of which the first `vms` VMs restart.
fn last_vm_delta(vms: u32, rounds: u64) -> Update {
    let mut directory = directory(target::VMS);
    let mut cursor = directory.cursor();
    for round in 1..=rounds {
        cursor = directory.cursor();
        for number in 0..vms {
            directory.renew(
                Instant::now(),
                &target::member(number, round, whole_engines_per_vm()),
            );
        }
    }
    Update {
        directory: directory.since(cursor),
        ..Update::default()
    }
}

/// The delta when one engine has changed on each of `vms` VMs of the target size.
fn engine_delta(vms: u32) -> Update {
    let mut directory = directory(target::VMS);
    let cursor = directory.cursor();
    for number in 0..vms {
        let mut member = target::member(number, 0, whole_engines_per_vm());
        member.endpoints[3].slots += 1;
        directory.renew(Instant::now(), &member);
    }
    Update {
        directory: directory.since(cursor),
        ..Update::default()
    }
}

/// The update with a full configuration of `models` models.
fn full_configuration(models: u32) -> Update {
    Update {
        configuration: Some(target::configuration(1, models)),
        ..Update::default()
    }
}

/// The update when `rows` plans in the configuration of the target size have changed.
fn configuration_diff(rows: u32) -> Update {
    let old = target::configuration(1, target::MODELS);
    let mut lists = old.lists().clone();
    lists.number = 2;
    for plan in lists.plans.iter_mut().take(rows as usize) {
        plan.concurrency += 1;
    }
    let new = Configuration::open(lists).expect("the lists are valid");
    Update {
        changes: vec![Rc::new(Diff::between(&old, &new))],
        ..Update::default()
    }
}

/// A request for the claim of request `number`.
fn claim_request(number: u32) -> Request {
    let unique = u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    Request {
        key: Key {
            hash: [unique, !unique],
            born: None,
        },
        holder: request::Id {
            entry: 7,
            number: u64::from(number),
        },
        digest: unique,
        requested_at: 1_800_000_000_000,
    }
}

/// Encodes a replication message of the leader with `count` claims.
fn encode_append(count: u32) -> Vec<u8> {
    let entry = |number: u32| log::Entry {
        position: Position {
            term: 3,
            index: u64::from(number),
        },
        content: Content::Change(Change::Claim {
            request: claim_request(number),
        }),
    };
    let body = Body::Append {
        previous: Position::default(),
        entries: (0..count).map(entry).collect(),
        commit: 1,
        stamp: 1,
    };
    let append = Message {
        from: Id(1),
        reply: ([10, 0, 0, 1], 8480).into(),
        to: Some(Id(2)),
        term: 3,
        body,
    };
    let mut message = Builder::new_default();
    replica::write(&append, message.init_root());
    serialize::write_message_to_words(&message)
}

/// The claims after `count` grants.
fn build_claims(count: u32) -> Claims {
    let mut claims = Claims::default();
    for number in 0..count {
        claims.grant(claim_request(number));
    }
    claims
}

/// The CPU time in microseconds that control takes, at the target size, to decode, process and
/// answer a heartbeat.
fn measure_heartbeat(engines: u32) -> f64 {
    let bytes = encode_heartbeat(engines);
    let mut machine = build_control(target::VMS);
    let mut out: Vec<ControlCommand> = Vec::new();
    mean_cpu_us(|| {
        let options = ReaderOptions::default();
        let message =
            serialize::read_message(bytes.as_slice(), options).expect("the message is well-formed");
        let params = message.get_root::<control::exchange_params::Reader<'_>>();
        let params = params.expect("the message holds the parameters");
        let member = member::read(params.get_member().expect("the parameters hold a member"))
            .expect("the member is valid");
        let known = update::read_known(
            params
                .get_known()
                .expect("the parameters hold what is known"),
        )
        .expect("what is known is valid");
        let event = Event::Heartbeat {
            call: 1,
            member: &member,
            known,
        };
        machine.handle(Instant::now(), event, &mut out);
        for command in out.drain(..) {
            if let ControlCommand::AnswerHeartbeat { update, .. } = command {
                drop(encode(&update));
            }
        }
    })
}

/// Control with a single replica, which is the leader.
fn leading_control() -> Control {
    let setup = Setup {
        id: Id(1),
        seed: Seed {
            name: "control-1".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            observer: false,
        },
        roster: Roster::default(),
        election_timeout: Duration::from_secs(1),
        tolerated_losses: None,
        random_seed: 1,
    };
    let mut machine = Control::open(Instant::now(), 1, setup, Recovered::default());
    let mut out: Vec<ControlCommand> = Vec::new();
    while machine.leading_term().is_none() {
        let election_at = machine.deadline().expect("an election is scheduled");
        machine.handle(election_at, Event::Ticked, &mut out);
        let mut index = 0;
        // `out` may grow, as a synced batch can produce another one.
        while let Some(command) = out.get(index) {
            if let ControlCommand::Persist { batch } = command {
                let ticket = batch.ticket;
                machine.handle(election_at, Event::Synced { ticket }, &mut out);
            }
            index += 1;
        }
        out.clear();
    }
    machine
}

/// The leader after a heartbeat from each of `vms` VMs.
fn build_control(vms: u32) -> Control {
    let mut machine = leading_control();
    let mut out: Vec<ControlCommand> = Vec::new();
    for number in 0..vms {
        let member = target::member(number, 0, whole_engines_per_vm());
        let event = Event::Heartbeat {
            call: 1,
            member: &member,
            known: Known {
                configuration: 0,
                directory: Cursor::UNSUBSCRIBED,
            },
        };
        machine.handle(Instant::now(), event, &mut out);
        out.clear();
    }
    machine
}

/// The CPU time in microseconds that an entry takes, at the target size, to decode and apply a
/// delta.
fn measure_delta(first: &[u8], second: &[u8]) -> f64 {
    let mut machine = build_entry(target::VMS);
    let mut out: Vec<entry::Command> = Vec::new();
    let mut alternate = false;
    mean_cpu_us(|| {
        alternate = !alternate;
        let mut update = decode(if alternate { first } else { second });
        // Alternates between two states, each as the next revision, so that every delta is new.
        let cursor = machine.directory().cursor();
        update.directory.base = cursor.revision;
        update.directory.cursor.revision = cursor.revision + 1;
        let event = entry::Event::Updated { update: &update };
        machine.handle(Instant::now(), event, &mut out);
    })
}

/// An entry with a directory of `vms` VMs.
fn build_entry(vms: u32) -> Entry {
    let mut machine = Entry::open(1, &"dc-01".into(), 1);
    let update = decode(&encode(&directory_snapshot(vms)));
    let mut out: Vec<entry::Command> = Vec::new();
    let event = entry::Event::Updated { update: &update };
    machine.handle(Instant::now(), event, &mut out);
    machine
}

/// The resident memory of each kind of state, in KiB.
struct Memory {
    /// The directory of an entry, by VMs.
    entry: Fit,
    /// The directory of control, by VMs.
    control: Fit,
    /// A configuration, by models.
    configuration: Fit,
    /// The claims, by number.
    claims: Fit,
}

fn measure_state() -> Memory {
    let growth_kib = |name: &'static str| move |size| measure_memory_growth(name, size) / 1024.0;
    Memory {
        entry: Fit::measure(
            "M1 entry's directory, by VMs",
            "KiB",
            &VM_COUNTS,
            growth_kib("entry"),
        ),
        control: Fit::measure(
            "M2 control's directory, by VMs",
            "KiB",
            &VM_COUNTS,
            growth_kib("control"),
        ),
        claims: Fit::measure("M4 claims", "KiB", &CLAIM_COUNTS, growth_kib("claims")),
        configuration: Fit::measure(
            "M3 configuration, by models",
            "KiB",
            &MODEL_COUNTS,
            growth_kib("configuration"),
        ),
    }
}

/// The memory of a kind of state in bytes, measured in a new process. See [`print_memory_growth`].
fn measure_memory_growth(name: &str, size: u32) -> f64 {
    let mut command =
        Command::new(std::env::current_exe().expect("the path of the executable is known"));
    command.args(["--memory", name, &size.to_string()]);
    let output = command.output().expect("the process can be started");
    let text = String::from_utf8(output.stdout).expect("the output is text");
    text.trim()
        .parse()
        .expect("the output is a number of bytes")
}

/// Builds state of `kind` and prints by how many bytes the resident memory grew.
fn print_memory_growth(kind: &str, size: u32) {
    let before = support::resident_bytes("self");
    match kind {
        "entry" => print_growth(before, &build_entry(size)),
        "claims" => print_growth(before, &build_claims(size)),
        "control" => print_growth(before, &build_control(size)),
        _ => print_growth(before, &target::configuration(1, size)),
    }
}

/// Prints by how many bytes the resident memory exceeds `before` while `state` is alive.
fn print_growth<T>(before: u64, state: &T) {
    println!("{}", support::resident_bytes("self").saturating_sub(before));
    std::hint::black_box(state);
}

/// The CPU time of a streamed request in microseconds, by tokens.
struct Requests {
    entry: Fit,
    agent: Fit,
}

async fn measure_requests() -> Requests {
    let fleet = Fleet::spawn(engine::command);
    let client = Client::open(fleet.entry_address);
    while !client.request_completion(Delivery::Whole, 1).await {
        compio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut points = Vec::new();
    for tokens in TOKEN_COUNTS {
        let before = cpu_times(&fleet);
        let requests_per_client = REQUESTS_PER_POINT / engine::SLOTS;
        let clients = (0..engine::SLOTS).map(|_| async {
            for _ in 0..requests_per_client {
                assert!(
                    client.request_completion(Delivery::Streamed, tokens).await,
                    "the answer failed or was incomplete"
                );
            }
        });
        futures_util::future::join_all(clients).await;
        let after = cpu_times(&fleet);
        let cpu_us_per_request = |index: usize| {
            let cpu_time = after[index].saturating_sub(before[index]);
            cpu_time.as_secs_f64() * 1e6 / f64::from(REQUESTS_PER_POINT)
        };
        points.push((tokens, cpu_us_per_request(0), cpu_us_per_request(1)));
    }
    let point = |tokens| {
        points
            .iter()
            .find(|point| point.0 == tokens)
            .expect("every number of tokens was measured")
    };
    Requests {
        entry: Fit::measure(
            "D1 streamed request at an entry, by tokens",
            "us",
            &TOKEN_COUNTS,
            |tokens| point(tokens).1,
        ),
        agent: Fit::measure(
            "D2 streamed request at an agent, by tokens",
            "us",
            &TOKEN_COUNTS,
            |tokens| point(tokens).2,
        ),
    }
}

/// The CPU times of the entry and of the agent.
fn cpu_times(fleet: &Fleet) -> [Duration; 2] {
    [&fleet.entry_process, &fleet.agent_process].map(support::Process::cpu_time)
}

/// Prints the totals at the target size. docs/CAPACITY.md refers to them by their labels.
fn print_totals(costs: &Costs, memory: &Memory, requests: &Requests) {
    let engines_per_vm = target::engines_per_vm();
    let vms = f64::from(target::VMS);
    let tokens = target::TOKENS_PER_SECOND / target::REQUESTS_PER_SECOND;
    let models = f64::from(target::MODELS);
    let percent = |us_per_second: f64| us_per_second / 1e4;
    let entry_cores = percent(requests.entry.at(tokens) * target::REQUESTS_PER_SECOND) / 100.0;
    let agent_cores = percent(requests.agent.at(tokens) * target::REQUESTS_PER_SECOND) / 100.0;
    println!(
        "S1 tokens a request = {tokens:.0} (fit up to {:.0})",
        requests.entry.max_size
    );
    println!("S2 data path, all entries = {entry_cores:.1} cores");
    println!(
        "S3 data path, all agents = {agent_cores:.1} cores, {:.3} of a core each",
        agent_cores / vms
    );
    let entries = (entry_cores / 0.6).ceil();
    println!("S4 entries at 60% of a core = {entries:.0}");
    let heartbeat_bytes = costs.heartbeat_bytes.at(engines_per_vm);
    println!(
        "S5 agent, control traffic = {:.0} bytes/s out, {:.0} in",
        heartbeat_bytes, costs.answer_bytes
    );
    let configuration_bytes = costs.configuration_bytes.at(models);
    let diff_bytes = costs.diff_bytes.at(1.0);
    let configuration_rate = diff_bytes * target::CHANGES_PER_DAY / target::SECONDS_PER_DAY;
    println!(
        "S6 configuration = {configuration_bytes:.0} bytes whole, {diff_bytes:.0} as a difference of one row; \
         at {} changes a day {configuration_rate:.1} bytes/s to each process",
        target::CHANGES_PER_DAY
    );
    let bytes_per_vm = costs.vm_delta_bytes.slope;
    let bytes_per_engine = costs.engine_delta_bytes.slope;
    let remaining_budget = target::TRAFFIC_BUDGET_BYTES_PER_SECOND
        - configuration_rate
        - costs.heartbeat_bytes.at(0.0)
        - costs.answer_bytes;
    println!(
        "S7 directory change = {bytes_per_engine:.0} bytes of one engine or {bytes_per_vm:.0} of a whole VM to each entry; \
         beside the rest the budget allows {:.0} engine changes/s or {:.1} VM changes/s",
        remaining_budget / bytes_per_engine,
        remaining_budget / bytes_per_vm
    );
    println!(
        "S8 snapshot = {:.0} bytes, {:.0} s of an entry's budget",
        costs.snapshot_bytes.at(vms),
        costs.snapshot_bytes.at(vms) / target::TRAFFIC_BUDGET_BYTES_PER_SECOND
    );
    let processes = vms + entries;
    let inbound_rate = vms * heartbeat_bytes + entries * costs.heartbeat_bytes.at(0.0);
    println!(
        "S9 leader, heartbeats = {processes:.0}/s, {inbound_rate:.0} bytes/s in, {:.2}% of a core",
        percent(vms * costs.heartbeat_us.at(engines_per_vm) + entries * costs.heartbeat_us.at(0.0))
    );
    println!(
        "S10 leader, a changed row to all = {:.2} MB, whole lists to all = {:.1} MB; over a day {:.0} bytes/s",
        diff_bytes * processes / 1e6,
        configuration_bytes * processes / 1e6,
        configuration_rate * processes
    );
    println!(
        "S11 leader, one directory change a second to all entries = {:.0} bytes/s",
        bytes_per_engine * entries
    );
    println!(
        "S12 entry, one directory change = {:.1} us; 14 a second = {:.3}% of a core",
        costs.delta_us.at(1.0),
        percent(14.0 * costs.delta_us.at(1.0))
    );
    println!(
        "S13 configuration at a process = {:.0} us; over a day {:.4}% of a core",
        costs.configuration_us.at(models),
        percent(
            costs.configuration_us.at(models) * target::CHANGES_PER_DAY / target::SECONDS_PER_DAY
        )
    );
    println!(
        "S14 entry's state = {:.1} MiB of directory + {:.1} MiB of configuration",
        memory.entry.at(vms) / 1024.0,
        memory.configuration.at(models) / 1024.0
    );
    println!(
        "S15 control's state = {:.1} MiB of directory + {:.1} MiB of configuration",
        memory.control.at(vms) / 1024.0,
        memory.configuration.at(models) / 1024.0
    );
    for keyed_share in [0.1, 0.5, 1.0] {
        let keyed_rate = target::REQUESTS_PER_SECOND * keyed_share;
        let claims = keyed_rate * RETENTION.as_secs_f64();
        // A claim takes two log entries, its grant and its conclusion. With batching, the fixed
        // size of a message is negligible.
        println!(
            "S16 {:.0}% of the requests keyed = {claims:.0} claims in {:.0} MiB, {:.0} bytes/s to each other voter",
            keyed_share * 100.0,
            memory.claims.at(claims) / 1024.0,
            2.0 * keyed_rate * costs.append_bytes.slope
        );
    }
    print_fingerprints(costs);
    print_faults(costs, entries, bytes_per_vm, engines_per_vm);
}

/// Prints what the fingerprints of all requests cost.
fn print_fingerprints(costs: &Costs) {
    let us_per_second = target::REQUESTS_PER_SECOND * costs.fingerprint_us.at(PROMPT_KIB);
    println!(
        "S17 fingerprints of all requests, with bodies of {PROMPT_KIB:.0} KiB = {:.3}% of a core",
        us_per_second / 1e4
    );
}

/// Prints what the faults of a day cost in directory messages.
fn print_faults(costs: &Costs, entries: f64, bytes_per_vm: f64, engines_per_vm: f64) {
    // A lost VM is sent by name only. A returning VM is sent first without engines, then with them.
    let bytes_per_loss = 2.0 * bytes_per_vm;
    let row = |name: &str, vms: f64| {
        let bytes = vms * bytes_per_loss;
        println!(
            "{name} = {:.0} engines, {:.0} directory changes, {bytes:.0} bytes to each entry ({:.1} s of its budget), {:.1} MB from the leader",
            vms * engines_per_vm,
            vms * 3.0,
            bytes / target::TRAFFIC_BUDGET_BYTES_PER_SECOND,
            bytes * entries / 1e6
        );
    };
    row("F1 25 lost VMs", 25.0);
    row("F2 490 restarts", 490.0);
    row("F3 a rack of 17 VMs", 17.0);
    row("F4 a data centre", f64::from(target::VMS) / 10.0);
    let vms = f64::from(target::VMS);
    println!(
        "F5 an hour between regions = {:.0} VMs of the smaller part lost and back; leader change: snapshots of {:.1} MB in all",
        vms / 3.0,
        costs.snapshot_bytes.at(vms) * entries / 1e6
    );
}

//! The slopes behind docs/CAPACITY.md, on real state and real encoded messages.
//!
//! `cargo bench --bench capacity` prints each slope with its points, then the sums
//! at the target size. Processor time is the process's own; memory is that of a
//! process of its own for each size.

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
use nutmegyoke_core::process::control::{Command as Reply, Event};
use nutmegyoke_core::process::directory::Cursor;
use nutmegyoke_core::process::update::{Known, Update};
use nutmegyoke_core::process::{Control, Directory, Entry, Machine, entry};
use nutmegyoke_core::request::{self, claim::Key};
use nutmegyoke_core::version::Configuration;
use nutmegyoke_core::version::diff::Diff;
use nutmegyoke_wire::connection::link_capnp::control;
use nutmegyoke_wire::process::{member, replica, update};
use support::caller::{Caller, Form};
use support::fit::Fit;
use support::fleet::Fleet;
use support::{engine, processor_time, target};

/// Processor time over which one point is taken, at the least.
const SAMPLE: Duration = Duration::from_millis(120);

const VMS: [u32; 4] = [40, 85, 170, 340];
const ENGINES: [u32; 4] = [0, 4, 8, 16];
const MODELS: [u32; 3] = [130, 260, 520];
const CLAIMS: [u32; 3] = [50_000, 100_000, 200_000];
const TOKENS: [u32; 3] = [8, 32, 128];

/// Requests for one point of the data path.
const REQUESTS: u32 = 1_600;

fn main() {
    let runtime = compio::runtime::Runtime::new().expect("a loop");
    if let Some(agent) = engine::wanted() {
        return runtime.block_on(engine::serve(agent));
    }
    let arguments: Vec<String> = std::env::args().collect();
    if let Some(place) = arguments.iter().position(|argument| argument == "--memory") {
        let size = arguments[place + 2].parse().expect("a size");
        return hold(&arguments[place + 1], size);
    }
    println!("{}", support::load());
    let control = control_slopes();
    let state = state_slopes();
    let data = runtime.block_on(data_slopes());
    sums(&control, &state, &data);
}

/// What control messages weigh and cost.
struct Messages {
    heartbeat: Fit,
    answer: f64,
    delta: Fit,
    change: Fit,
    snapshot: Fit,
    configuration: Fit,
    diff: Fit,
    claims: Fit,
    judge: Fit,
    learn: Fit,
    configure: Fit,
}

fn control_slopes() -> Messages {
    Messages {
        heartbeat: Fit::measure("B1 heartbeat, by engines", "bytes", &ENGINES, |engines| {
            size(heartbeat(engines).len())
        }),
        answer: {
            let bytes = size(encode(&Update::default()).len());
            println!("B2 answer without news = {bytes:.0} bytes");
            bytes
        },
        delta: Fit::measure("B3 delta, by changed VMs", "bytes", &[1, 4, 16], |vms| {
            size(encode(&delta(vms)).len())
        }),
        change: Fit::measure(
            "B6 delta, by changed engines",
            "bytes",
            &[1, 4, 16],
            |vms| size(encode(&engines_changed(vms)).len()),
        ),
        snapshot: Fit::measure("B4 snapshot, by VMs", "bytes", &VMS, |vms| {
            size(encode(&snapshot(vms)).len())
        }),
        configuration: Fit::measure("B5 configuration, by models", "bytes", &MODELS, |models| {
            size(encode(&configured(models)).len())
        }),
        diff: Fit::measure(
            "B7 configuration as a difference, by changed rows",
            "bytes",
            &[1, 4, 16],
            |rows| size(encode(&difference(rows)).len()),
        ),
        claims: Fit::measure(
            "B8 replication message, by claims",
            "bytes",
            &[1, 4, 16],
            |claims| size(appended(claims).len()),
        ),
        judge: Fit::measure("T1 heartbeat at control, by engines", "us", &ENGINES, judge),
        learn: Fit::measure(
            "T2 delta at an entry, by changed VMs",
            "us",
            &[1, 4, 16],
            |vms| learn(&encode(&delta(vms)), &encode(&delta_back(vms))),
        ),
        configure: Fit::measure(
            "T3 configuration at an entry, by models",
            "us",
            &MODELS,
            |models| {
                let bytes = encode(&configured(models));
                micros(|| drop(decode(&bytes)))
            },
        ),
    }
}

#[allow(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
fn size(bytes: usize) -> f64 {
    bytes as f64
}

/// Processor time of one call of `work`, in microseconds.
fn micros(mut work: impl FnMut()) -> f64 {
    let start = processor_time("self");
    let mut calls = 0.0;
    loop {
        for _ in 0..16 {
            work();
            calls += 1.0;
        }
        let used = processor_time("self").saturating_sub(start);
        if used > SAMPLE {
            return used.as_secs_f64() * 1e6 / calls;
        }
    }
}

fn heartbeat(engines: u32) -> Vec<u8> {
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

fn encode(told: &Update) -> Vec<u8> {
    let mut message: Builder<HeapAllocator> = Builder::new_default();
    let results = message.init_root::<control::exchange_results::Builder<'_>>();
    update::write(told, results.init_news());
    serialize::write_message_to_words(&message)
}

fn decode(bytes: &[u8]) -> Update {
    let options = ReaderOptions::default();
    let message = serialize::read_message(bytes, options).expect("a message");
    let results = message.get_root::<control::exchange_results::Reader<'_>>();
    let told = results.and_then(control::exchange_results::Reader::get_news);
    update::read(told.expect("news"), &Rc::default()).expect("news")
}

fn engines() -> u32 {
    target::ENGINES / target::NODES
}

/// A source of the directory with `vms` VMs.
fn source(vms: u32) -> Directory {
    let mut source = Directory::open(1);
    let now = Instant::now();
    for number in 0..vms {
        source.renew(now, &target::member(number, 0, engines()));
    }
    source
}

fn snapshot(vms: u32) -> Update {
    Update {
        directory: source(vms).since(Cursor::default()),
        ..Update::default()
    }
}

/// What an entry learns when `vms` of the target's VMs changed.
fn delta(vms: u32) -> Update {
    changed(vms, 1)
}

fn delta_back(vms: u32) -> Update {
    changed(vms, 2)
}

fn changed(vms: u32, rounds: u64) -> Update {
    let mut source = source(target::NODES);
    let mut mark = source.cursor();
    for round in 1..=rounds {
        mark = source.cursor();
        for number in 0..vms {
            source.renew(Instant::now(), &target::member(number, round, engines()));
        }
    }
    Update {
        directory: source.since(mark),
        ..Update::default()
    }
}

/// What an entry learns when one engine changed on each of `vms` VMs.
fn engines_changed(vms: u32) -> Update {
    let mut source = source(target::NODES);
    let mark = source.cursor();
    for number in 0..vms {
        let mut member = target::member(number, 0, engines());
        member.endpoints[3].slots += 1;
        source.renew(Instant::now(), &member);
    }
    Update {
        directory: source.since(mark),
        ..Update::default()
    }
}

fn configured(models: u32) -> Update {
    Update {
        configuration: Some(target::configuration(1, models)),
        ..Update::default()
    }
}

/// What a process learns when `rows` plans of the target's configuration changed.
fn difference(rows: u32) -> Update {
    let old = target::configuration(1, target::MODELS);
    let mut lists = old.lists().clone();
    lists.number = 2;
    for plan in lists.plans.iter_mut().take(rows as usize) {
        plan.concurrency += 1;
    }
    let new = Configuration::open(lists).expect("valid lists");
    Update {
        changes: vec![Rc::new(Diff::between(&old, &new))],
        ..Update::default()
    }
}

fn wish(number: u32) -> Request {
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

/// A leader's message to another replica with `count` claims.
fn appended(count: u32) -> Vec<u8> {
    let entry = |number: u32| log::Entry {
        position: Position {
            term: 3,
            index: u64::from(number),
        },
        content: Content::Change(Change::Claim {
            request: wish(number),
        }),
    };
    let body = Body::Append {
        previous: Position::default(),
        entries: (0..count).map(entry).collect(),
        commit: 1,
        stamp: 1,
    };
    let sent = Message {
        from: Id(1),
        reply: ([10, 0, 0, 1], 8480).into(),
        to: Some(Id(2)),
        term: 3,
        body,
    };
    let mut message = Builder::new_default();
    replica::write(&sent, message.init_root());
    serialize::write_message_to_words(&message)
}

fn claims_of(count: u32) -> Claims {
    let mut claims = Claims::default();
    for number in 0..count {
        claims.grant(wish(number));
    }
    claims
}

/// Control takes a heartbeat in and answers: decode, judge, encode.
fn judge(engines: u32) -> f64 {
    let bytes = heartbeat(engines);
    let mut machine = control_of(target::NODES);
    let mut out: Vec<Reply> = Vec::new();
    micros(|| {
        let options = ReaderOptions::default();
        let message = serialize::read_message(bytes.as_slice(), options).expect("a message");
        let params = message.get_root::<control::exchange_params::Reader<'_>>();
        let params = params.expect("params");
        let member = member::read(params.get_member().expect("a member")).expect("a member");
        let known = update::read_known(params.get_known().expect("known")).expect("known");
        let event = Event::Heartbeat {
            call: 1,
            member: &member,
            known,
        };
        machine.handle(Instant::now(), event, &mut out);
        for reply in out.drain(..) {
            if let Reply::AnswerHeartbeat { update, .. } = reply {
                drop(encode(&update));
            }
        }
    })
}

/// Control as a single replica that leads.
fn leader() -> Control {
    let setup = Setup {
        id: Id(1),
        seed: Seed {
            name: "control-1".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            observer: false,
        },
        roster: Roster::default(),
        election_timeout: Duration::from_secs(1),
        random_seed: 1,
    };
    let mut machine = Control::open(Instant::now(), 1, setup, Recovered::default());
    let mut out: Vec<Reply> = Vec::new();
    while machine.leading_term().is_none() {
        let due = machine.deadline().expect("an election is due");
        machine.handle(due, Event::Ticked, &mut out);
        let mut next = 0;
        // A synced batch may lead to the next one.
        while let Some(reply) = out.get(next) {
            if let Reply::Persist { batch } = reply {
                let ticket = batch.ticket;
                machine.handle(due, Event::Synced { ticket }, &mut out);
            }
            next += 1;
        }
        out.clear();
    }
    machine
}

fn control_of(vms: u32) -> Control {
    let mut machine = leader();
    let mut out: Vec<Reply> = Vec::new();
    for number in 0..vms {
        let member = target::member(number, 0, engines());
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

/// An entry at the target size takes one delta in and then another.
fn learn(first: &[u8], second: &[u8]) -> f64 {
    let mut machine = entry_of(target::NODES);
    let mut out: Vec<entry::Command> = Vec::new();
    let mut turn = false;
    micros(|| {
        turn = !turn;
        let mut told = decode(if turn { first } else { second });
        // The same two states in turn, each as the next revision.
        let mark = machine.directory().cursor();
        told.directory.base = mark.revision;
        told.directory.cursor.revision = mark.revision + 1;
        let event = entry::Event::Updated { update: &told };
        machine.handle(Instant::now(), event, &mut out);
    })
}

fn entry_of(vms: u32) -> Entry {
    let mut machine = Entry::open(1, &"dc-01".into(), 1);
    let told = decode(&encode(&snapshot(vms)));
    let mut out: Vec<entry::Command> = Vec::new();
    let event = entry::Event::Updated { update: &told };
    machine.handle(Instant::now(), event, &mut out);
    machine
}

/// What state weighs.
struct State {
    entry: Fit,
    control: Fit,
    configuration: Fit,
    claims: Fit,
}

fn state_slopes() -> State {
    let kib = |name: &'static str| move |size| grown(name, size) / 1024.0;
    State {
        entry: Fit::measure("M1 entry's directory, by VMs", "KiB", &VMS, kib("entry")),
        control: Fit::measure(
            "M2 control's directory, by VMs",
            "KiB",
            &VMS,
            kib("control"),
        ),
        claims: Fit::measure("M4 claims", "KiB", &CLAIMS, kib("claims")),
        configuration: Fit::measure(
            "M3 configuration, by models",
            "KiB",
            &MODELS,
            kib("configuration"),
        ),
    }
}

/// Memory that a process of its own grew by, in bytes.
fn grown(name: &str, size: u32) -> f64 {
    let mut command = Command::new(std::env::current_exe().expect("a path"));
    command.args(["--memory", name, &size.to_string()]);
    let output = command.output().expect("the process runs");
    let text = String::from_utf8(output.stdout).expect("text");
    text.trim().parse().expect("a number")
}

/// Builds state, holds it and prints what the process grew by.
fn hold(name: &str, count: u32) {
    let before = support::memory("self");
    match name {
        "entry" => report(before, &entry_of(count)),
        "claims" => report(before, &claims_of(count)),
        "control" => report(before, &control_of(count)),
        _ => report(before, &target::configuration(1, count)),
    }
}

/// Prints what the process grew by while `held` is alive.
fn report<T>(before: u64, held: &T) {
    println!("{}", support::memory("self").saturating_sub(before));
    std::hint::black_box(held);
}

/// What requests and tokens cost, in processor time.
struct Path {
    entry: Fit,
    agent: Fit,
}

async fn data_slopes() -> Path {
    let fleet = Fleet::spawn(engine::command);
    let caller = Caller::open(fleet.callers);
    while !caller.call(Form::Whole, 1).await {
        compio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut points = Vec::new();
    for tokens in TOKENS {
        let before = used(&fleet);
        let each = REQUESTS / engine::SLOTS;
        let callers = (0..engine::SLOTS).map(|_| async {
            for _ in 0..each {
                assert!(caller.call(Form::Streamed, tokens).await, "not whole");
            }
        });
        futures_util::future::join_all(callers).await;
        let after = used(&fleet);
        let cost = |index: usize| {
            let spent = after[index].saturating_sub(before[index]);
            spent.as_secs_f64() * 1e6 / f64::from(REQUESTS)
        };
        points.push((tokens, cost(0), cost(1)));
    }
    let point = |tokens| {
        points
            .iter()
            .find(|point| point.0 == tokens)
            .expect("a point")
    };
    Path {
        entry: Fit::measure(
            "D1 streamed request at an entry, by tokens",
            "us",
            &TOKENS,
            |tokens| point(tokens).1,
        ),
        agent: Fit::measure(
            "D2 streamed request at an agent, by tokens",
            "us",
            &TOKENS,
            |tokens| point(tokens).2,
        ),
    }
}

fn used(fleet: &Fleet) -> [Duration; 2] {
    [&fleet.entry_process, &fleet.agent_process].map(support::Process::processor_time)
}

/// The sums at the target size; the names are those of docs/CAPACITY.md.
fn sums(control: &Messages, state: &State, data: &Path) {
    let each = target::engines_each();
    let nodes = f64::from(target::NODES);
    let tokens = target::TOKENS / target::REQUESTS;
    let models = f64::from(target::MODELS);
    let core = |micros: f64| micros / 1e4;
    let entry_cores = core(data.entry.at(tokens) * target::REQUESTS) / 100.0;
    let agent_cores = core(data.agent.at(tokens) * target::REQUESTS) / 100.0;
    println!(
        "S1 tokens a request = {tokens:.0} (fit up to {:.0})",
        data.entry.largest
    );
    println!("S2 data path, all entries = {entry_cores:.1} cores");
    println!(
        "S3 data path, all agents = {agent_cores:.1} cores, {:.3} of a core each",
        agent_cores / nodes
    );
    let entries = (entry_cores / 0.6).ceil();
    println!("S4 entries at 60% of a core = {entries:.0}");
    let beat = control.heartbeat.at(each);
    println!(
        "S5 agent, control traffic = {:.0} bytes/s out, {:.0} in",
        beat, control.answer
    );
    let lists = control.configuration.at(models);
    let diff = control.diff.at(1.0);
    let lists_rate = diff * target::CHANGES / target::DAY;
    println!(
        "S6 configuration = {lists:.0} bytes whole, {diff:.0} as a difference of one row; \
         at {} changes a day {lists_rate:.1} bytes/s to each process",
        target::CHANGES
    );
    let per_vm = control.delta.slope;
    let per_change = control.change.slope;
    let left = target::TRAFFIC - lists_rate - control.heartbeat.at(0.0) - control.answer;
    println!(
        "S7 directory change = {per_change:.0} bytes of one engine or {per_vm:.0} of a whole VM to each entry; \
         beside the rest the budget allows {:.0} engine changes/s or {:.1} VM changes/s",
        left / per_change,
        left / per_vm
    );
    println!(
        "S8 snapshot = {:.0} bytes, {:.0} s of an entry's budget",
        control.snapshot.at(nodes),
        control.snapshot.at(nodes) / target::TRAFFIC
    );
    let beats = nodes + entries;
    let inbound = nodes * beat + entries * control.heartbeat.at(0.0);
    println!(
        "S9 leader, heartbeats = {beats:.0}/s, {inbound:.0} bytes/s in, {:.2}% of a core",
        core(nodes * control.judge.at(each) + entries * control.judge.at(0.0))
    );
    println!(
        "S10 leader, a changed row to all = {:.2} MB, whole lists to all = {:.1} MB; over a day {:.0} bytes/s",
        diff * beats / 1e6,
        lists * beats / 1e6,
        lists_rate * beats
    );
    println!(
        "S11 leader, one directory change a second to all entries = {:.0} bytes/s",
        per_change * entries
    );
    println!(
        "S12 entry, one directory change = {:.1} us; 14 a second = {:.3}% of a core",
        control.learn.at(1.0),
        core(14.0 * control.learn.at(1.0))
    );
    println!(
        "S13 configuration at a process = {:.0} us; over a day {:.4}% of a core",
        control.configure.at(models),
        core(control.configure.at(models) * target::CHANGES / target::DAY)
    );
    println!(
        "S14 entry's state = {:.1} MiB of directory + {:.1} MiB of configuration",
        state.entry.at(nodes) / 1024.0,
        state.configuration.at(models) / 1024.0
    );
    println!(
        "S15 control's state = {:.1} MiB of directory + {:.1} MiB of configuration",
        state.control.at(nodes) / 1024.0,
        state.configuration.at(models) / 1024.0
    );
    for share in [0.1, 0.5, 1.0] {
        let rate = target::REQUESTS * share;
        let held = rate * RETENTION.as_secs_f64();
        // A grant and an end are two entries; batches make the base small.
        println!(
            "S16 {:.0}% of the requests keyed = {held:.0} claims in {:.0} MiB, {:.0} bytes/s to each other voter",
            share * 100.0,
            state.claims.at(held) / 1024.0,
            2.0 * rate * control.claims.slope
        );
    }
    faults(control, entries, per_vm, each);
}

/// What a day's faults cost in directory messages.
fn faults(control: &Messages, entries: f64, per_vm: f64, each: f64) {
    // A loss is a name; a return is the VM without engines, then with them.
    let back = 2.0 * per_vm;
    let row = |name: &str, vms: f64| {
        let bytes = vms * back;
        println!(
            "{name} = {:.0} engines, {:.0} directory changes, {bytes:.0} bytes to each entry ({:.1} s of its budget), {:.1} MB from the leader",
            vms * each,
            vms * 3.0,
            bytes / target::TRAFFIC,
            bytes * entries / 1e6
        );
    };
    row("F1 25 lost VMs", 25.0);
    row("F2 490 restarts", 490.0);
    row("F3 a rack of 17 VMs", 17.0);
    row("F4 a data centre", f64::from(target::NODES) / 10.0);
    let nodes = f64::from(target::NODES);
    println!(
        "F5 an hour between regions = {:.0} VMs of the smaller part lost and back; leader change: snapshots of {:.1} MB in all",
        nodes / 3.0,
        control.snapshot.at(nodes) * entries / 1e6
    );
}

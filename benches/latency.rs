//! What one entry and one agent add to a direct call of the same stand-in engine.
//!
//! `cargo bench --bench latency` prints the figures of docs/MEASURES.md. Each part
//! is a process of its own: control, agent, entry, engine; this one calls.
//! `BENCH_PROFILE=entry` (or `agent`) runs that process under callgrind instead and
//! leaves `callgrind.out` in the working folder; the figures printed then mean nothing.

mod support;

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hdrhistogram::Histogram;
use support::caller::{Caller, Form};
use support::engine;
use support::fleet::Fleet;

/// Requests by callers at once, for the rate.
const CALLERS: u32 = engine::SLOTS;

/// Requests one after the other, for the latency.
fn sequential() -> u32 {
    if support::fleet::profiled() { 20 } else { 2000 }
}

/// Requests of all callers together.
fn concurrent() -> u32 {
    if support::fleet::profiled() {
        1600
    } else {
        8000
    }
}

/// Requests before the clock starts.
const WARM_UP: u32 = 200;

const TOKENS: u32 = 8;
const TRIES: u32 = 200;
const PERIOD: Duration = Duration::from_millis(50);

/// Calls one after the other; latencies in microseconds.
async fn sequence(caller: &Caller, form: Form, count: u32) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("a histogram");
    for _ in 0..count {
        let start = Instant::now();
        assert!(caller.call(form, TOKENS).await, "an answer is not whole");
        let latency = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        histogram.record(latency).expect("a latency in range");
    }
    histogram
}

/// Calls from many callers at once; requests a second.
async fn throughput(caller: &Caller, form: Form) -> f64 {
    let start = Instant::now();
    let each = concurrent() / CALLERS;
    join_all((0..CALLERS).map(|_| sequence(caller, form, each))).await;
    f64::from(each * CALLERS) / start.elapsed().as_secs_f64()
}

fn main() {
    let runtime = compio::runtime::Runtime::new().expect("a loop");
    if let Some(agent) = engine::wanted() {
        return runtime.block_on(engine::serve(agent));
    }
    runtime.block_on(measure(&Fleet::spawn(engine::command)));
}

async fn measure(fleet: &Fleet) {
    let direct = Caller::open(fleet.engine);
    let through = Caller::open(fleet.callers);
    let mut tries = 0;
    while !through.call(Form::Whole, TOKENS).await {
        tries += 1;
        assert!(tries < TRIES, "the fleet never served");
        compio::time::sleep(PERIOD).await;
    }
    println!("{}; {TOKENS} tokens an answer", support::load());
    for form in [Form::Whole, Form::Streamed] {
        for caller in [&direct, &through] {
            sequence(caller, form, WARM_UP).await;
        }
        latency(form, &direct, &through).await;
        rate(form, fleet, &direct, &through).await;
    }
}

async fn latency(form: Form, direct: &Caller, through: &Caller) {
    let direct = sequence(direct, form, sequential()).await;
    let through = sequence(through, form, sequential()).await;
    for quantile in [0.5, 0.99] {
        let (near, far) = (
            direct.value_at_quantile(quantile),
            through.value_at_quantile(quantile),
        );
        println!(
            "{form:?} latency p{:.0}: direct {near} us, through entry and agent {far} us, added {} us",
            quantile * 100.0,
            far.saturating_sub(near)
        );
    }
}

async fn rate(form: Form, fleet: &Fleet, direct: &Caller, through: &Caller) {
    let near = throughput(direct, form).await;
    let processes = [&fleet.entry_process, &fleet.agent_process];
    let before = processes.map(support::Process::processor_time);
    let far = throughput(through, form).await;
    let after = processes.map(support::Process::processor_time);
    let each = |index: usize| {
        let used = after[index].saturating_sub(before[index]);
        used.as_secs_f64() * 1e6 / f64::from(concurrent())
    };
    println!(
        "{form:?} rate, {CALLERS} callers: direct {near:.0}/s, through entry and agent {far:.0}/s; \
         processor time a request: entry {:.0} us, agent {:.0} us",
        each(0),
        each(1)
    );
}

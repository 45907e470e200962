//! Measures the latency that an entry and an agent add to a direct request to an engine.
//!
//! `cargo bench --bench latency` prints the figures of docs/MEASURES.md. Control, the
//! agent, the entry and the stand-in engine run in separate processes; this process is
//! the client. `BENCH_PROFILE=entry` (or `agent`) runs that process under callgrind and
//! writes `callgrind.out` to the working folder; the printed figures are then meaningless.

mod support;

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hdrhistogram::Histogram;
use support::client::{Client, Delivery};
use support::engine;
use support::fleet::Fleet;

/// The number of concurrent clients in the throughput measurement.
const CLIENTS: u32 = engine::SLOTS;

/// The number of sequential requests in the latency measurement.
fn sequential_requests() -> u32 {
    if support::fleet::is_profiled() {
        20
    } else {
        2000
    }
}

/// The number of requests of all clients together in the throughput measurement.
fn concurrent_requests() -> u32 {
    if support::fleet::is_profiled() {
        1600
    } else {
        8000
    }
}

/// The number of requests before the first measurement.
const WARM_UP_REQUESTS: u32 = 200;

/// The number of tokens that each request asks for.
const TOKENS_PER_ANSWER: u32 = 8;
/// The number of requests that may fail before the fleet serves.
const MAX_READY_ATTEMPTS: u32 = 200;
/// The time between two requests while the fleet is not ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Sends `count` requests one after the other and returns their latencies in microseconds.
async fn measure_latencies(client: &Client, delivery: Delivery, count: u32) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("the precision of the histogram is valid");
    for _ in 0..count {
        let start = Instant::now();
        assert!(
            client.request_completion(delivery, TOKENS_PER_ANSWER).await,
            "the answer failed or was incomplete"
        );
        let latency_us = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
        histogram
            .record(latency_us)
            .expect("the histogram resizes itself");
    }
    histogram
}

/// Sends requests from concurrent clients and returns the requests per second.
async fn measure_throughput(client: &Client, delivery: Delivery) -> f64 {
    let start = Instant::now();
    let requests_per_client = concurrent_requests() / CLIENTS;
    join_all((0..CLIENTS).map(|_| measure_latencies(client, delivery, requests_per_client))).await;
    f64::from(requests_per_client * CLIENTS) / start.elapsed().as_secs_f64()
}

fn main() {
    let runtime = compio::runtime::Runtime::new().expect("the runtime can be created");
    if let Some(agent) = engine::agent_argument() {
        return runtime.block_on(engine::serve(agent));
    }
    runtime.block_on(measure(&Fleet::spawn(engine::command)));
}

/// Waits until the fleet serves, then measures whole and streamed answers.
async fn measure(fleet: &Fleet) {
    let direct = Client::open(fleet.engine_address);
    let via_fleet = Client::open(fleet.entry_address);
    let mut attempts = 0;
    while !via_fleet
        .request_completion(Delivery::Whole, TOKENS_PER_ANSWER)
        .await
    {
        attempts += 1;
        assert!(
            attempts < MAX_READY_ATTEMPTS,
            "the fleet did not serve any of {MAX_READY_ATTEMPTS} requests"
        );
        compio::time::sleep(READY_POLL_INTERVAL).await;
    }
    println!(
        "{}; {TOKENS_PER_ANSWER} tokens an answer",
        support::load_average()
    );
    for delivery in [Delivery::Whole, Delivery::Streamed] {
        for client in [&direct, &via_fleet] {
            measure_latencies(client, delivery, WARM_UP_REQUESTS).await;
        }
        report_latency(delivery, &direct, &via_fleet).await;
        report_throughput(delivery, fleet, &direct, &via_fleet).await;
    }
}

/// Prints the latencies of direct requests and of requests through the fleet.
async fn report_latency(delivery: Delivery, direct: &Client, via_fleet: &Client) {
    let direct = measure_latencies(direct, delivery, sequential_requests()).await;
    let via_fleet = measure_latencies(via_fleet, delivery, sequential_requests()).await;
    for quantile in [0.5, 0.99] {
        let (direct_us, fleet_us) = (
            direct.value_at_quantile(quantile),
            via_fleet.value_at_quantile(quantile),
        );
        println!(
            "{delivery:?} latency p{:.0}: direct {direct_us} us, through entry and agent {fleet_us} us, added {} us",
            quantile * 100.0,
            fleet_us.saturating_sub(direct_us)
        );
    }
}

/// Prints the throughput of direct requests and of requests through the fleet, and the CPU time
/// that the entry and the agent use per request.
async fn report_throughput(delivery: Delivery, fleet: &Fleet, direct: &Client, via_fleet: &Client) {
    let direct_rate = measure_throughput(direct, delivery).await;
    let processes = [&fleet.entry_process, &fleet.agent_process];
    let before = processes.map(support::Process::cpu_time);
    let fleet_rate = measure_throughput(via_fleet, delivery).await;
    let after = processes.map(support::Process::cpu_time);
    let cpu_us_per_request = |index: usize| {
        let cpu_time = after[index].saturating_sub(before[index]);
        cpu_time.as_secs_f64() * 1e6 / f64::from(concurrent_requests())
    };
    println!(
        "{delivery:?} rate, {CLIENTS} callers: direct {direct_rate:.0}/s, through entry and agent {fleet_rate:.0}/s; \
         processor time a request: entry {:.0} us, agent {:.0} us",
        cpu_us_per_request(0),
        cpu_us_per_request(1)
    );
}

//! What one entry and one agent add to a direct call of the same stand-in engine.
//!
//! `cargo bench --bench latency` prints the figures of docs/MEASURES.md. Each part
//! is a process of its own: control, agent, entry, engine; this one calls.
//! `BENCH_PROFILE=entry` (or `agent`) runs that process under callgrind instead and
//! leaves `callgrind.out` in the working folder; the figures printed then mean nothing.

mod support;

use std::net::SocketAddr;
use std::process::Command;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hdrhistogram::Histogram;
use nutmegyoke_standin::engine::Behaviour;
use nutmegyoke_standin::{Engine, announcer};
use support::fleet::{Fleet, key};

/// Requests by callers at once, for the rate.
const CALLERS: u32 = 32;

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

/// How the answer comes.
#[derive(Clone, Copy, Debug)]
enum Form {
    Whole,
    Streamed,
}

impl Form {
    fn body(self) -> String {
        let stream = matches!(self, Self::Streamed);
        format!(r#"{{"model":"price-ml","max_tokens":{TOKENS},"stream":{stream}}}"#)
    }
}

/// Calls one address with one pooled client.
struct Caller {
    client: cyper::Client,
    url: String,
}

impl Caller {
    fn open(address: SocketAddr) -> Self {
        Self {
            client: cyper::Client::new().expect("a client"),
            url: format!("http://{address}/v1/completions"),
        }
    }

    async fn call(&self, form: Form) -> bool {
        let request = self.client.post(&self.url).expect("a URL");
        let request = request.bearer_auth(key()).expect("a key").body(form.body());
        let Ok(response) = request.send().await else {
            return false;
        };
        let done = response.status().as_u16() == 200;
        let Ok(body) = response.bytes().await else {
            return false;
        };
        let end: &[u8] = match form {
            Form::Whole => b"}",
            Form::Streamed => b"[DONE]\n\n",
        };
        done && body.ends_with(end)
    }

    /// Calls one after the other; latencies in microseconds.
    async fn sequence(&self, form: Form, count: u32) -> Histogram<u64> {
        let mut histogram = Histogram::new(3).expect("a histogram");
        for _ in 0..count {
            let start = Instant::now();
            assert!(self.call(form).await, "an answer is not whole");
            let latency = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
            histogram.record(latency).expect("a latency in range");
        }
        histogram
    }

    /// Calls from many callers at once; requests a second.
    async fn rate(&self, form: Form) -> f64 {
        let start = Instant::now();
        let each = concurrent() / CALLERS;
        join_all((0..CALLERS).map(|_| self.sequence(form, each))).await;
        f64::from(each * CALLERS) / start.elapsed().as_secs_f64()
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let runtime = compio::runtime::Runtime::new().expect("a loop");
    if let Some(place) = arguments.iter().position(|argument| argument == "--engine") {
        let agent = arguments[place + 1].parse().expect("an address");
        runtime.block_on(serve(agent));
    }
    let fleet = Fleet::spawn(|agent| {
        let mut command = Command::new(std::env::current_exe().expect("a path"));
        command.args(["--engine", &agent.to_string()]);
        command
    });
    runtime.block_on(measure(&fleet));
}

/// Runs the stand-in engine until the process is killed.
async fn serve(agent: SocketAddr) {
    let engine = Engine::bind(Behaviour {
        name: "engine-1".to_owned(),
        models: vec!["price-ml"],
        slots: CALLERS,
        token: Duration::ZERO,
    });
    let engine = engine.await.expect("a port");
    println!("engine {}", engine.address());
    announcer::spawn(&engine, agent);
    std::future::pending::<()>().await;
}

async fn measure(fleet: &Fleet) {
    let direct = Caller::open(fleet.engine);
    let through = Caller::open(fleet.callers);
    let mut tries = 0;
    while !through.call(Form::Whole).await {
        tries += 1;
        assert!(tries < TRIES, "the fleet never served");
        compio::time::sleep(PERIOD).await;
    }
    println!("{}; {TOKENS} tokens an answer", support::load());
    for form in [Form::Whole, Form::Streamed] {
        for caller in [&direct, &through] {
            caller.sequence(form, WARM_UP).await;
        }
        latency(form, &direct, &through).await;
        rate(form, fleet, &direct, &through).await;
    }
}

async fn latency(form: Form, direct: &Caller, through: &Caller) {
    let direct = direct.sequence(form, sequential()).await;
    let through = through.sequence(form, sequential()).await;
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
    let near = direct.rate(form).await;
    let processes = [&fleet.entry_process, &fleet.agent_process];
    let before = processes.map(support::Process::processor_time);
    let far = through.rate(form).await;
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

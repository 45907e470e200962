//! A fleet of two entries and two agents, with a scripted endpoint beside each agent.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nutmegyoke_core::process::endpoint::Holding;
use nutmegyoke_standin::{Script, announcer};

use super::Daemon;
use super::fleet::{Entry, Fleet};

/// The number of polls, [`POLL_INTERVAL`] apart, after which a wait fails.
const MAX_POLLS: usize = 200;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The deadline of the plan in [`PLANS`].
pub const DEADLINE: Duration = Duration::from_secs(2);

/// A plan with a short deadline and with limits that the tests do not reach.
pub const PLANS: &str = "[plan demo]
customer = demo
key = demo-key
requests-per-second = 2000
concurrency = 1000
tokens-per-minute = 20000000
priority = 5
first-token-ms = 1000
between-tokens-ms = 50
deadline-ms = 2000
";

/// A model and a service for the plan in [`PLANS`].
pub const GRANTS: &str = "[model price-ml]
memory-mb = 7000
plans = demo

[service desk]
plans = demo
repeatable = GET /bookings
not-repeatable = POST /bookings
";

/// The kind of the scripted endpoints.
pub enum Kind {
    /// The service `desk`.
    Service,
    /// A model engine that holds `price-ml`.
    Engine,
}

/// A fleet with two scripted endpoints.
pub struct Fixture {
    /// The control process, the first agent and the first entry.
    pub fleet: Fleet,
    /// The addresses of the two entries for callers.
    pub callers: [SocketAddr; 2],
    /// The second entry.
    pub second_entry: Daemon,
    /// The second agent.
    pub second_agent: Daemon,
    /// The endpoints beside the first and the second agent.
    pub scripts: [Rc<Script>; 2],
}

/// The answer to a request.
#[derive(Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body, or the part of it that arrived.
    pub body: String,
    /// Whether the body arrived in full.
    pub complete: bool,
}

impl Answer {
    /// Returns a field of the JSON error in the body.
    pub fn error(&self, field: &str) -> String {
        let error: serde_json::Value = serde_json::from_str(&self.body).unwrap();
        error["error"][field].as_str().unwrap().to_owned()
    }
}

impl Fixture {
    /// Spawns the fleet and waits until each entry has reached both endpoints.
    pub async fn spawn(kind: Kind) -> Self {
        let fleet = Fleet::spawn();
        assert!(fleet.apply_lists(1, PLANS, GRANTS).status.success());
        let (second_agent, agent_operators) = fleet.add_agent("agent-2", "");
        let Entry {
            daemon, callers, ..
        } = fleet.spawn_entry("entry-2");
        let first = bind(&kind, fleet.agent_operators).await;
        let second = bind(&kind, agent_operators).await;
        let fixture = Self {
            callers: [fleet.callers, callers],
            fleet,
            second_entry: daemon,
            second_agent,
            scripts: [first, second],
        };
        for callers in fixture.callers {
            fixture.wait_until_reachable(callers, &kind).await;
        }
        fixture.set_actions(&[]);
        fixture
    }

    /// Sets the actions for the next requests at each endpoint and resets the counts.
    pub fn set_actions(&self, actions: &[nutmegyoke_standin::script::Action]) {
        for script in &self.scripts {
            script.set_actions(actions);
        }
    }

    /// The number of requests that the two endpoints have received since the actions were
    /// last set.
    pub fn runs(&self) -> u64 {
        self.scripts.iter().map(|script| script.runs()).sum()
    }

    /// The number of stalled requests that were cancelled at the two endpoints since the
    /// actions were last set.
    pub fn abandoned(&self) -> u64 {
        self.scripts.iter().map(|script| script.abandoned()).sum()
    }

    /// Kills the agent beside the endpoint that has received a request.
    pub fn kill_busy_agent(&mut self) {
        if self.scripts[0].runs() > 0 {
            self.fleet.agent.kill();
        } else {
            self.second_agent.kill();
        }
    }

    /// Waits until the endpoints have received `runs` requests since the actions were last set.
    pub async fn wait_for_runs(&self, runs: u64) {
        self.wait_until("an endpoint receives the request", || self.runs() >= runs)
            .await;
    }

    /// Waits until `done` returns true. `condition` describes it if the wait fails.
    pub async fn wait_until(&self, condition: &str, done: impl Fn() -> bool) {
        for _ in 0..MAX_POLLS {
            if done() {
                return;
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("timed out before {condition}");
    }

    /// Waits until requests to one entry reach both endpoints.
    async fn wait_until_reachable(&self, callers: SocketAddr, kind: &Kind) {
        for _ in 0..MAX_POLLS {
            self.set_actions(&[]);
            // Enough requests that routing by sampling picks each endpoint.
            for _ in 0..16 {
                match kind {
                    Kind::Service => list_bookings(callers).await,
                    Kind::Engine => complete(callers, false).await,
                };
            }
            if self.scripts.iter().all(|script| script.runs() > 0) {
                return;
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("no request reached one of the endpoints through {callers}");
    }
}

/// Binds a scripted endpoint that announces itself to the agent.
async fn bind(kind: &Kind, agent_operators: SocketAddr) -> Rc<Script> {
    let holding = match kind {
        Kind::Service => Holding::Service {
            service: "desk".into(),
        },
        Kind::Engine => Holding::Engine {
            models: vec!["price-ml".into()],
            adapters: Vec::new(),
        },
    };
    let script = Script::bind(holding).await.unwrap();
    announcer::spawn(&script, agent_operators);
    script
}

/// Sends a repeatable request to the desk.
pub async fn list_bookings(callers: SocketAddr) -> Answer {
    let url = format!("http://{callers}/services/desk/bookings");
    send(cyper::Client::new().unwrap().get(url).unwrap()).await
}

/// Sends a request to the desk that must not run twice.
pub async fn book(callers: SocketAddr, key: Option<&str>, body: &str) -> Answer {
    let url = format!("http://{callers}/services/desk/bookings");
    let mut request = cyper::Client::new().unwrap().post(url).unwrap();
    if let Some(key) = key {
        request = request.header("idempotency-key", key).unwrap();
    }
    send(request.body(body.to_owned())).await
}

/// Requests a completion.
pub async fn complete(callers: SocketAddr, stream: bool) -> Answer {
    let url = format!("http://{callers}/v1/chat/completions");
    let body = format!(r#"{{"model":"price-ml","stream":{stream}}}"#);
    let request = cyper::Client::new().unwrap().post(url).unwrap();
    send(request.body(body)).await
}

async fn send(request: cyper::RequestBuilder) -> Answer {
    let request = request.bearer_auth("demo-key").unwrap();
    let response = request.send().await.unwrap();
    let status = response.status().as_u16();
    let mut chunks = response.bytes_stream();
    let mut body = Vec::new();
    let mut complete = true;
    while let Some(chunk) = futures_util::StreamExt::next(&mut chunks).await {
        match chunk {
            Ok(chunk) => body.extend_from_slice(&chunk),
            Err(_) => complete = false,
        }
    }
    Answer {
        status,
        body: String::from_utf8(body).unwrap(),
        complete,
    }
}

//! A fleet of two entries and two agents with a scripted endpoint each.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nutmegyoke_core::process::endpoint::Holding;
use nutmegyoke_standin::{Script, announcer};

use super::Daemon;
use super::fleet::{Entrance, Fleet};

/// Tries before a fleet counts as not serving, a period apart.
const TRIES: usize = 200;
const PERIOD: Duration = Duration::from_millis(50);

/// The plan's deadline.
pub const DEADLINE: Duration = Duration::from_secs(2);

/// A plan with a short deadline and wide limits.
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

/// A model and a service for that plan.
pub const GRANTS: &str = "[model price-ml]
memory-mb = 7000
plans = demo

[service desk]
plans = demo
repeatable = GET /bookings
not-repeatable = POST /bookings
";

/// What the scripted endpoints stand for.
pub enum Kind {
    /// The service `desk`.
    Service,
    /// An engine that holds `price-ml`.
    Engine,
}

/// The fleet and its endpoints.
pub struct Pair {
    /// The processes of a fleet of one each.
    pub fleet: Fleet,
    /// Where callers reach the two entries.
    pub callers: [SocketAddr; 2],
    /// The second entry.
    pub entry: Daemon,
    /// The second agent.
    pub agent: Daemon,
    /// The endpoints beside the two agents.
    pub scripts: [Rc<Script>; 2],
}

/// How a request was answered.
#[derive(Debug, PartialEq, Eq)]
pub struct Answered {
    /// The HTTP status.
    pub status: u16,
    /// The body, or as much of it as came.
    pub text: String,
    /// Whether the body came to its end.
    pub whole: bool,
}

impl Answered {
    /// A field of the JSON error.
    pub fn error(&self, field: &str) -> String {
        let error: serde_json::Value = serde_json::from_str(&self.text).unwrap();
        error["error"][field].as_str().unwrap().to_owned()
    }
}

impl Pair {
    /// Spawns the fleet and waits until each entry reaches each endpoint.
    pub async fn spawn(kind: Kind) -> Self {
        let fleet = Fleet::spawn();
        assert!(fleet.apply_lists(1, PLANS, GRANTS).status.success());
        let (agent, announce) = fleet.add_agent("agent-2", "");
        let Entrance {
            daemon, callers, ..
        } = fleet.spawn_entry("entry-2");
        let first = bind(&kind, fleet.announce).await;
        let second = bind(&kind, announce).await;
        let pair = Self {
            callers: [fleet.callers, callers],
            fleet,
            entry: daemon,
            agent,
            scripts: [first, second],
        };
        for callers in pair.callers {
            pair.reach(callers, &kind).await;
        }
        pair.play(&[]);
        pair
    }

    /// Sets the same acts at both endpoints.
    pub fn play(&self, acts: &[nutmegyoke_standin::script::Action]) {
        for script in &self.scripts {
            script.set_actions(acts);
        }
    }

    /// Requests begun at both endpoints.
    pub fn runs(&self) -> u64 {
        self.scripts.iter().map(|script| script.runs()).sum()
    }

    /// Stalled requests that were cancelled at both endpoints.
    pub fn left(&self) -> u64 {
        self.scripts.iter().map(|script| script.abandoned()).sum()
    }

    /// Kills the agent beside the endpoint that has a request.
    pub fn kill_busy(&mut self) {
        if self.scripts[0].runs() > 0 {
            self.fleet.agent.kill();
        } else {
            self.agent.kill();
        }
    }

    /// Waits until `runs` requests have begun.
    pub async fn running(&self, runs: u64) {
        self.until("the request runs", || self.runs() >= runs).await;
    }

    /// Waits until `done`.
    pub async fn until(&self, what: &str, done: impl Fn() -> bool) {
        for _ in 0..TRIES {
            if done() {
                return;
            }
            compio::time::sleep(PERIOD).await;
        }
        panic!("never: {what}");
    }

    async fn reach(&self, callers: SocketAddr, kind: &Kind) {
        for _ in 0..TRIES {
            self.play(&[]);
            // Enough that a route which samples passes by no endpoint.
            for _ in 0..16 {
                match kind {
                    Kind::Service => look(callers).await,
                    Kind::Engine => complete(callers, false).await,
                };
            }
            if self.scripts.iter().all(|script| script.runs() > 0) {
                return;
            }
            compio::time::sleep(PERIOD).await;
        }
        panic!("an endpoint was never reached");
    }
}

async fn bind(kind: &Kind, agent: SocketAddr) -> Rc<Script> {
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
    announcer::spawn(&script, agent);
    script
}

/// A repeatable call of the desk.
pub async fn look(callers: SocketAddr) -> Answered {
    let url = format!("http://{callers}/services/desk/bookings");
    send(cyper::Client::new().unwrap().get(url).unwrap()).await
}

/// A call of the desk that must not run twice.
pub async fn book(callers: SocketAddr, key: Option<&str>, body: &str) -> Answered {
    let url = format!("http://{callers}/services/desk/bookings");
    let mut request = cyper::Client::new().unwrap().post(url).unwrap();
    if let Some(key) = key {
        request = request.header("idempotency-key", key).unwrap();
    }
    send(request.body(body.to_owned())).await
}

/// A completion.
pub async fn complete(callers: SocketAddr, stream: bool) -> Answered {
    let url = format!("http://{callers}/v1/chat/completions");
    let body = format!(r#"{{"model":"price-ml","stream":{stream}}}"#);
    let request = cyper::Client::new().unwrap().post(url).unwrap();
    send(request.body(body)).await
}

async fn send(request: cyper::RequestBuilder) -> Answered {
    let request = request.bearer_auth("demo-key").unwrap();
    let response = request.send().await.unwrap();
    let status = response.status().as_u16();
    let mut parts = response.bytes_stream();
    let mut text = Vec::new();
    let mut whole = true;
    while let Some(part) = futures_util::StreamExt::next(&mut parts).await {
        match part {
            Ok(part) => text.extend_from_slice(&part),
            Err(_) => whole = false,
        }
    }
    Answered {
        status,
        text: String::from_utf8(text).unwrap(),
        whole,
    }
}

//! Graceful stops of real processes, under load.

mod support;

use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use compio::runtime::Runtime;
use futures_util::StreamExt;
use futures_util::future::join_all;
use nutmegyoke_cases::cases;
use nutmegyoke_standin::engine::Behaviour;
use nutmegyoke_standin::{Desk, Engine, announcer};
use support::Daemon;
use support::fleet::Fleet;

/// Tries before a fleet counts as not serving, a period apart.
const TRIES: usize = 100;
const PERIOD: Duration = Duration::from_millis(100);

/// After this time a leaving endpoint gets no new work.
const NO_NEW_WORK: Duration = Duration::from_secs(2);

/// The exit code of a process that cut off requests.
const CUT_OFF: i32 = 3;

async fn book(fleet: &Fleet) -> (u16, String) {
    let client = cyper::Client::new().unwrap();
    let url = format!("http://{}/services/desk/bookings", fleet.callers);
    let request = client.post(url).unwrap().bearer_auth("demo-key").unwrap();
    let response = request.send().await.unwrap();
    (response.status().as_u16(), response.text().await.unwrap())
}

/// Books until both desks have served, so that the entry knows both.
async fn warm_up(fleet: &Fleet, desks: &[Rc<Desk>]) -> u64 {
    let mut booked = 0;
    for _ in 0..TRIES {
        if book(fleet).await.0 == 200 {
            booked += 1;
        }
        if desks.iter().all(|desk| desk.bookings() > 0) {
            return booked;
        }
        compio::time::sleep(PERIOD).await;
    }
    panic!("the fleet never served from both desks");
}

/// A stream of 40 tokens, 25 ms apart.
async fn stream(fleet: &Fleet) -> cyper::Response {
    let client = cyper::Client::new().unwrap();
    let url = format!("http://{}/v1/chat/completions", fleet.callers);
    let body = r#"{"model":"price-ml","max_tokens":40,"stream":true}"#;
    for _ in 0..TRIES {
        let request = client.post(&url).unwrap().bearer_auth("demo-key").unwrap();
        let response = request.body(body).send().await.unwrap();
        if response.status().as_u16() == 200 {
            return response;
        }
        compio::time::sleep(PERIOD).await;
    }
    panic!("the fleet never served");
}

async fn rest(response: cyper::Response) -> String {
    let mut parts = response.bytes_stream();
    let mut text = Vec::new();
    while let Some(Ok(part)) = parts.next().await {
        text.extend_from_slice(&part);
    }
    String::from_utf8(text).unwrap()
}

async fn engine(agent: SocketAddr) -> Rc<Engine> {
    let engine = Engine::bind(Behaviour {
        name: "engine-1".to_owned(),
        models: vec!["price-ml"],
        slots: 4,
        token_interval: Duration::from_millis(25),
    });
    let engine = engine.await.unwrap();
    announcer::spawn(&engine, agent);
    engine
}

/// SIGTERM to one role while a stream runs: it arrives whole, and the process
/// exits with 0.
fn stream_survives(role: fn(&mut Fleet) -> &mut Daemon) {
    let mut fleet = Fleet::spawn();
    assert!(fleet.apply(1).status.success());
    Runtime::new().unwrap().block_on(async {
        let _engine = engine(fleet.announce).await;
        let response = stream(&fleet).await;
        role(&mut fleet).terminate();
        let text = rest(response).await;
        assert_eq!(text.matches("data: {").count(), 40, "{text}");
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    });
    assert_eq!(role(&mut fleet).wait(), Some(0));
}

cases!(stream_survives {
    sigterm_of_entry: (|fleet| &mut fleet.entry),
    sigterm_of_agent: (|fleet| &mut fleet.agent),
    sigterm_of_control: (|fleet| &mut fleet.control),
});

#[test]
fn entry_closes_idle_connections() {
    let mut fleet = Fleet::spawn();
    assert!(fleet.apply(1).status.success());
    // Never sends a request, and would hold the process for good.
    let _idle = TcpStream::connect(fleet.callers).unwrap();
    fleet.entry.terminate();
    assert_eq!(fleet.entry.wait(), Some(0));
}

/// Bookings go on while one of two agents leaves: none fails, none is made twice,
/// and the leaving one gets none after two seconds.
#[test]
fn bookings_go_on_while_an_agent_leaves() {
    const AT_ONCE: usize = 24;
    let mut fleet = Fleet::spawn();
    assert!(fleet.apply(1).status.success());
    let (_second, announce) = fleet.add_agent("agent-2", "");
    Runtime::new().unwrap().block_on(async {
        let desks = [Desk::bind().await.unwrap(), Desk::bind().await.unwrap()];
        announcer::spawn(&desks[0], fleet.announce);
        announcer::spawn(&desks[1], announce);
        let mut booked = warm_up(&fleet, &desks).await;
        // More than both desks run at once, so that some are queued at the agent.
        let burst = join_all((0..AT_ONCE).map(|_| book(&fleet)));
        let leave = async {
            compio::time::sleep(PERIOD).await;
            fleet.agent.terminate();
        };
        let (answers, ()) = futures_util::join!(burst, leave);
        for (status, text) in answers {
            assert_eq!(status, 200, "{text}");
            booked += 1;
        }
        compio::time::sleep(NO_NEW_WORK).await;
        let before = desks[0].bookings();
        for _ in 0..10 {
            let (status, text) = book(&fleet).await;
            assert_eq!(status, 200, "{text}");
            booked += 1;
        }
        assert_eq!(desks[0].bookings(), before);
        assert_eq!(desks[0].bookings() + desks[1].bookings(), booked);
    });
    assert_eq!(fleet.agent.wait(), Some(0));
}

#[test]
fn withdrawn_endpoint_gets_no_work_until_put_back() {
    let fleet = Fleet::spawn();
    assert!(fleet.apply(1).status.success());
    let (_second, announce) = fleet.add_agent("agent-2", "");
    Runtime::new().unwrap().block_on(async {
        let desks = [Desk::bind().await.unwrap(), Desk::bind().await.unwrap()];
        announcer::spawn(&desks[0], fleet.announce);
        announcer::spawn(&desks[1], announce);
        warm_up(&fleet, &desks).await;
        let named = ["--vm", "agent-2", "--endpoint", "desk"];
        assert_eq!(fleet.tool("drain", &named).status.code(), Some(0));
        let before = desks[1].bookings();
        for _ in 0..10 {
            assert_eq!(book(&fleet).await.0, 200);
        }
        assert_eq!(desks[1].bookings(), before);
        let undo = fleet.tool("drain", &["--vm", "agent-2", "--undo"]);
        assert_eq!(undo.status.code(), Some(0));
        for _ in 0..TRIES {
            assert_eq!(book(&fleet).await.0, 200);
            if desks[1].bookings() > before {
                return;
            }
        }
        panic!("the endpoint never came back");
    });
}

fn drain_is_refused(options: &[&str], why: &str) {
    let fleet = Fleet::spawn();
    // The first heartbeats have been answered once the lists are in force.
    assert!(fleet.apply(1).status.success());
    for _ in 0..TRIES {
        let status = fleet.tool("status", &[]);
        let text = String::from_utf8(status.stdout).unwrap();
        if text.contains("agent-1") && text.contains("entry-1") {
            break;
        }
        std::thread::sleep(PERIOD);
    }
    let output = fleet.tool("drain", options);
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains(why), "{text}");
}

cases!(drain_is_refused {
    unknown_vm: (&["--vm", "agent-9"], "no VM `agent-9` is listed"),
    unknown_endpoint: (
        &["--vm", "agent-1", "--endpoint", "none"],
        "has no such endpoint"
    ),
    of_an_entry: (&["--vm", "entry-1"], "send SIGTERM"),
});

#[test]
fn second_signal_cuts_off() {
    let mut fleet = Fleet::spawn();
    assert!(fleet.apply(1).status.success());
    Runtime::new().unwrap().block_on(async {
        let _engine = engine(fleet.announce).await;
        let response = stream(&fleet).await;
        fleet.entry.terminate();
        compio::time::sleep(PERIOD).await;
        fleet.entry.terminate();
        let text = rest(response).await;
        assert!(!text.contains("[DONE]"), "{text}");
    });
    assert_eq!(fleet.entry.wait(), Some(CUT_OFF));
}

#[test]
fn drain_limit_cuts_off() {
    let fleet = Fleet::spawn();
    assert!(fleet.apply(1).status.success());
    let (mut agent, announce) = fleet.add_agent("agent-2", "drain-limit-s = 1\n");
    Runtime::new().unwrap().block_on(async {
        let engine = Engine::bind(Behaviour {
            name: "slow".to_owned(),
            models: vec!["price-ml"],
            slots: 4,
            token_interval: Duration::from_millis(250),
        });
        let engine = engine.await.unwrap();
        announcer::spawn(&engine, announce);
        let response = stream(&fleet).await;
        agent.terminate();
        let text = rest(response).await;
        assert!(!text.contains("[DONE]"), "{text}");
        assert!(text.contains(r#""code":"link_lost""#), "{text}");
    });
    assert_eq!(agent.wait(), Some(CUT_OFF));
}

//! Graceful shutdown of real processes under load.

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

/// The number of polls, [`POLL_INTERVAL`] apart, after which a wait for the fleet fails.
const MAX_POLLS: usize = 100;
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The time after which a draining endpoint receives no new requests.
const DRAIN_PROPAGATION: Duration = Duration::from_secs(2);

/// The exit code of a process that cut off requests in flight.
const CUT_OFF_EXIT_CODE: i32 = 3;

async fn book(fleet: &Fleet) -> (u16, String) {
    let client = cyper::Client::new().unwrap();
    let url = format!("http://{}/services/desk/bookings", fleet.callers);
    let request = client.post(url).unwrap().bearer_auth("demo-key").unwrap();
    let response = request.send().await.unwrap();
    (response.status().as_u16(), response.text().await.unwrap())
}

/// Books until both desks have served, so that the entry routes to both. Returns the
/// number of bookings made.
async fn warm_up(fleet: &Fleet, desks: &[Rc<Desk>]) -> u64 {
    let mut booked = 0;
    for _ in 0..MAX_POLLS {
        if book(fleet).await.0 == 200 {
            booked += 1;
        }
        if desks.iter().all(|desk| desk.bookings() > 0) {
            return booked;
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("the fleet did not serve from both desks in time");
}

/// Requests a stream of 40 tokens. The engine of [`engine`] sends one every 25 ms.
async fn stream(fleet: &Fleet) -> cyper::Response {
    let client = cyper::Client::new().unwrap();
    let url = format!("http://{}/v1/chat/completions", fleet.callers);
    let body = r#"{"model":"price-ml","max_tokens":40,"stream":true}"#;
    for _ in 0..MAX_POLLS {
        let request = client.post(&url).unwrap().bearer_auth("demo-key").unwrap();
        let response = request.body(body).send().await.unwrap();
        if response.status().as_u16() == 200 {
            return response;
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("the fleet did not start to serve in time");
}

/// Reads the body until its end or an error.
async fn read_to_end(response: cyper::Response) -> String {
    let mut chunks = response.bytes_stream();
    let mut text = Vec::new();
    while let Some(Ok(chunk)) = chunks.next().await {
        text.extend_from_slice(&chunk);
    }
    String::from_utf8(text).unwrap()
}

/// Binds an engine that announces itself to the agent.
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

/// Sends SIGTERM to one process while a stream runs. The stream must complete and the
/// process exit with 0.
fn stream_completes_after(process: fn(&mut Fleet) -> &mut Daemon) {
    let mut fleet = Fleet::spawn();
    assert!(fleet.apply(1).status.success());
    Runtime::new().unwrap().block_on(async {
        let _engine = engine(fleet.agent_operators).await;
        let response = stream(&fleet).await;
        process(&mut fleet).terminate();
        let text = read_to_end(response).await;
        assert_eq!(text.matches("data: {").count(), 40, "{text}");
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    });
    assert_eq!(process(&mut fleet).wait(), Some(0));
}

cases!(stream_completes_after {
    sigterm_of_entry: (|fleet| &mut fleet.entry),
    sigterm_of_agent: (|fleet| &mut fleet.agent),
    sigterm_of_control: (|fleet| &mut fleet.control),
});

/// An open connection without a request must not keep the process from exiting.
#[test]
fn entry_closes_idle_connections_on_sigterm() {
    let mut fleet = Fleet::spawn();
    assert!(fleet.apply(1).status.success());
    let _idle = TcpStream::connect(fleet.callers).unwrap();
    fleet.entry.terminate();
    assert_eq!(fleet.entry.wait(), Some(0));
}

/// While one of two agents drains, no booking fails or is made twice, and after two seconds
/// that agent receives none.
#[test]
fn no_booking_fails_or_repeats_while_an_agent_drains() {
    const CONCURRENT_BOOKINGS: usize = 24;
    let mut fleet = Fleet::spawn();
    assert!(fleet.apply(1).status.success());
    let (_second, agent_operators) = fleet.add_agent("agent-2", "");
    Runtime::new().unwrap().block_on(async {
        let desks = [Desk::bind().await.unwrap(), Desk::bind().await.unwrap()];
        announcer::spawn(&desks[0], fleet.agent_operators);
        announcer::spawn(&desks[1], agent_operators);
        let mut booked = warm_up(&fleet, &desks).await;
        // More than both desks run concurrently, so that some wait in the agents' queues.
        let burst = join_all((0..CONCURRENT_BOOKINGS).map(|_| book(&fleet)));
        let drain = async {
            compio::time::sleep(POLL_INTERVAL).await;
            fleet.agent.terminate();
        };
        let (answers, ()) = futures_util::join!(burst, drain);
        for (status, text) in answers {
            assert_eq!(status, 200, "{text}");
            booked += 1;
        }
        compio::time::sleep(DRAIN_PROPAGATION).await;
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
fn withdrawn_endpoint_receives_no_requests_until_restored() {
    let fleet = Fleet::spawn();
    assert!(fleet.apply(1).status.success());
    let (_second, agent_operators) = fleet.add_agent("agent-2", "");
    Runtime::new().unwrap().block_on(async {
        let desks = [Desk::bind().await.unwrap(), Desk::bind().await.unwrap()];
        announcer::spawn(&desks[0], fleet.agent_operators);
        announcer::spawn(&desks[1], agent_operators);
        warm_up(&fleet, &desks).await;
        let options = ["--vm", "agent-2", "--endpoint", "desk"];
        assert_eq!(fleet.run_tool("drain", &options).status.code(), Some(0));
        let before = desks[1].bookings();
        for _ in 0..10 {
            assert_eq!(book(&fleet).await.0, 200);
        }
        assert_eq!(desks[1].bookings(), before);
        let undo = fleet.run_tool("drain", &["--vm", "agent-2", "--undo"]);
        assert_eq!(undo.status.code(), Some(0));
        for _ in 0..MAX_POLLS {
            assert_eq!(book(&fleet).await.0, 200);
            if desks[1].bookings() > before {
                return;
            }
        }
        panic!("the restored endpoint received no request in time");
    });
}

fn drain_is_refused(options: &[&str], expected: &str) {
    let fleet = Fleet::spawn();
    // A process can be named once its first heartbeat has been answered.
    assert!(fleet.apply(1).status.success());
    for _ in 0..MAX_POLLS {
        let status = fleet.run_tool("status", &[]);
        let text = String::from_utf8(status.stdout).unwrap();
        if text.contains("agent-1") && text.contains("entry-1") {
            break;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    let output = fleet.run_tool("drain", options);
    assert_eq!(output.status.code(), Some(3));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains(expected), "{text}");
}

cases!(drain_is_refused {
    unknown_vm: (&["--vm", "agent-9"], "no VM `agent-9` is listed"),
    unknown_endpoint: (
        &["--vm", "agent-1", "--endpoint", "none"],
        "has no such endpoint"
    ),
    entry_vm: (&["--vm", "entry-1"], "send SIGTERM"),
});

#[test]
fn second_sigterm_aborts_requests_in_flight() {
    let mut fleet = Fleet::spawn();
    assert!(fleet.apply(1).status.success());
    Runtime::new().unwrap().block_on(async {
        let _engine = engine(fleet.agent_operators).await;
        let response = stream(&fleet).await;
        fleet.entry.terminate();
        compio::time::sleep(POLL_INTERVAL).await;
        fleet.entry.terminate();
        let text = read_to_end(response).await;
        assert!(!text.contains("[DONE]"), "{text}");
    });
    assert_eq!(fleet.entry.wait(), Some(CUT_OFF_EXIT_CODE));
}

/// A stream that takes longer than the drain limit must not keep the process running.
#[test]
fn drain_limit_aborts_requests_in_flight() {
    let fleet = Fleet::spawn();
    assert!(fleet.apply(1).status.success());
    let (mut agent, agent_operators) = fleet.add_agent("agent-2", "drain-limit-s = 1\n");
    Runtime::new().unwrap().block_on(async {
        let engine = Engine::bind(Behaviour {
            name: "slow".to_owned(),
            models: vec!["price-ml"],
            slots: 4,
            token_interval: Duration::from_millis(250),
        });
        let engine = engine.await.unwrap();
        announcer::spawn(&engine, agent_operators);
        let response = stream(&fleet).await;
        agent.terminate();
        let text = read_to_end(response).await;
        assert!(!text.contains("[DONE]"), "{text}");
        assert!(text.contains(r#""code":"link_lost""#), "{text}");
    });
    assert_eq!(agent.wait(), Some(CUT_OFF_EXIT_CODE));
}

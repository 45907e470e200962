//! The agent's interface to entries, called over a real link.

mod support;

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use nutmegyoke_cases::cases;
use nutmegyoke_core::process::Endpoint;
use nutmegyoke_core::process::endpoint::{Holding, Phase};
use nutmegyoke_core::request::arrival::Destination;
use nutmegyoke_core::request::{Id, Reason, Submission, Verdict};
use nutmegyoke_core::version::grant::Repeat;
use nutmegyoke_host::connection::link::{self, Link};
use nutmegyoke_wire::connection::link_capnp::{agent, answer};
use nutmegyoke_wire::process::Announcement;
use nutmegyoke_wire::request::{Payload, submission, verdict};
use support::fleet::Agent;

const COMPLETE_RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const ENDPOINT_FAILED: Verdict = Verdict::MayHaveRun {
    reason: Reason::EndpointFailed,
};

/// The answer as the calling side received it.
#[derive(Debug, Default)]
struct Received {
    status: u16,
    sequences: Vec<u64>,
    body: Vec<u8>,
}

/// Records the calls of the answer interface.
struct Receiver {
    received: Rc<RefCell<Received>>,
}

impl answer::Server for Receiver {
    async fn head(
        self: Rc<Self>,
        params: answer::HeadParams,
        _: answer::HeadResults,
    ) -> capnp::Result<()> {
        self.received.borrow_mut().status = params.get()?.get_status();
        Ok(())
    }

    async fn chunk(
        self: Rc<Self>,
        params: answer::ChunkParams,
        _: answer::ChunkResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let mut received = self.received.borrow_mut();
        received.sequences.push(params.get_sequence());
        received.body.extend_from_slice(params.get_data()?);
        Ok(())
    }
}

/// Spawns an endpoint that sends the same bytes on each connection and closes it. Returns
/// its address.
fn endpoint(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = [0; 4096];
            let _ = stream.read(&mut request);
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    address
}

fn block_on<F: Future>(future: F) -> F::Output {
    compio::runtime::Runtime::new().unwrap().block_on(future)
}

async fn announce(agent: &Agent, address: SocketAddr) {
    let endpoint = Endpoint {
        name: "desk".to_owned(),
        holding: Holding::Service {
            service: "desk".into(),
        },
        slots: 1,
        phase: Phase::Ready,
    };
    let text = Announcement {
        address,
        endpoint,
        capacity: None,
    }
    .encode();
    let client = cyper::Client::new().unwrap();
    let request = client.post(format!("http://{}/v1/endpoints", agent.operators));
    let response = request.unwrap().body(text).send().await.unwrap();
    assert_eq!(response.status().as_u16(), 204);
}

async fn dial(agent: &Agent) -> Link<agent::Client> {
    link::dial(agent.listen).await.unwrap()
}

fn submission_for(agent: &Agent, number: u64, endpoint: &str) -> Submission {
    Submission {
        id: Id { entry: 1, number },
        attempt: 0,
        customer: "kayal".into(),
        priority: 5,
        endpoint: endpoint.to_owned(),
        destination: Destination::Service {
            service: "desk".into(),
        },
        repeat: Repeat::Once,
        remaining: Duration::from_secs(5),
        first_token: None,
        tokens: 0,
        configuration: 1,
        incarnation: agent.daemon.incarnation(),
        keyed: false,
    }
}

/// Builds the call that submits a request, and the record of its answer.
fn request(
    client: &agent::Client,
    submission: &Submission,
) -> (
    capnp::capability::Request<agent::submit_params::Owned, agent::submit_results::Owned>,
    Rc<RefCell<Received>>,
) {
    let received = Rc::<RefCell<Received>>::default();
    let mut request = client.submit_request();
    submission::write(submission, request.get().init_submission());
    let payload = Payload {
        method: "POST",
        path: "/bookings",
        content_type: "",
        body: b"{}",
    };
    payload.write(request.get().init_payload());
    request.get().set_answer(capnp_rpc::new_client(Receiver {
        received: Rc::clone(&received),
    }));
    (request, received)
}

/// Submits a request. Returns the verdict, the number of chunks that the agent counted, and
/// the answer.
async fn submit(client: &agent::Client, submission: &Submission) -> (Verdict, u64, Received) {
    let (request, received) = request(client, submission);
    let response = request.send().promise.await.unwrap();
    let results = response.get().unwrap();
    let verdict = verdict::read(results.get_verdict().unwrap()).unwrap();
    (verdict, results.get_chunks(), received.take())
}

#[test]
fn answer_is_forwarded_in_numbered_chunks() {
    let agent = Agent::spawn_standalone();
    let (verdict, chunks, received) = block_on(async {
        announce(&agent, endpoint(COMPLETE_RESPONSE)).await;
        let link = dial(&agent).await;
        submit(&link.client, &submission_for(&agent, 1, "desk")).await
    });
    assert_eq!((verdict, received.status), (Verdict::Ran, 200));
    assert_eq!(received.body, b"ok");
    assert_eq!(received.sequences, (0..chunks).collect::<Vec<_>>());
}

fn reports_verdict(answer: Option<&'static str>, endpoint_name: &str, expected: Verdict) {
    let agent = Agent::spawn_standalone();
    let verdict = block_on(async {
        let address = answer.map_or_else(support::free_address, endpoint);
        announce(&agent, address).await;
        let link = dial(&agent).await;
        submit(&link.client, &submission_for(&agent, 1, endpoint_name))
            .await
            .0
    });
    assert_eq!(verdict, expected);
}

cases!(reports_verdict {
    unknown_endpoint: (
        Some(COMPLETE_RESPONSE),
        "till",
        Verdict::NotRun {
            reason: Reason::NotHeld
        }
    ),
    connection_refused: (
        None,
        "desk",
        Verdict::NotRun {
            reason: Reason::EndpointFailed
        }
    ),
    closes_without_an_answer: (Some(""), "desk", ENDPOINT_FAILED),
    truncated_head: (Some("HTTP/1.1 200 OK\r\ncontent-"), "desk", ENDPOINT_FAILED),
    truncated_body: (
        Some("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok"),
        "desk",
        ENDPOINT_FAILED
    ),
    malformed_http: (Some("husk husk husk\r\n\r\n"), "desk", ENDPOINT_FAILED),
});

/// An entry that lost its link cannot know whether the attempt arrived and may submit it again.
#[test]
fn same_attempt_runs_once() {
    let agent = Agent::spawn_standalone();
    let (first, second) = block_on(async {
        announce(&agent, endpoint(COMPLETE_RESPONSE)).await;
        let link = dial(&agent).await;
        let first = submit(&link.client, &submission_for(&agent, 1, "desk"))
            .await
            .0;
        // The same attempt over another link, as after the loss of the first.
        let link = dial(&agent).await;
        (
            first,
            submit(&link.client, &submission_for(&agent, 1, "desk"))
                .await
                .0,
        )
    });
    let reason = Reason::Duplicate;
    assert_eq!(first, Verdict::Ran);
    assert_eq!(second, Verdict::MayHaveRun { reason });
}

/// Corrupts the parameters of a call that is otherwise valid.
type Corruption = fn(agent::submit_params::Builder<'_>);

fn rejects_malformed_call(corrupt: Corruption) {
    let agent = Agent::spawn_standalone();
    block_on(async {
        announce(&agent, endpoint(COMPLETE_RESPONSE)).await;
        let link = dial(&agent).await;
        let (mut call, received) = request(&link.client, &submission_for(&agent, 1, "desk"));
        corrupt(call.get());
        let response = call.send().promise.await;
        let outcome = response.and_then(|response| verdict::read(response.get()?.get_verdict()?));
        // The call may fail or return a verdict, but the request must not have run.
        assert!(!matches!(outcome, Ok(Verdict::Ran)), "{outcome:?}");
        assert_eq!(received.borrow().status, 0);
        let next = submit(&link.client, &submission_for(&agent, 2, "desk")).await;
        assert_eq!(next.0, Verdict::Ran);
    });
}

cases!(rejects_malformed_call {
    empty_submission: (|params| {
        params.init_submission();
    }),
    broken_answer_capability: (|mut params| params.set_answer(capnp_rpc::new_future_client(
        std::future::ready(Err(capnp::Error::failed("broken".to_owned())))
    ))),
    endpoint_name_not_utf8: (|params| {
        let mut submission = params.get_submission().unwrap();
        let name = capnp::text::Reader(&[0xff, 0xfe]);
        submission.set_endpoint(name);
    }),
});

#[test]
fn malformed_bytes_close_only_their_own_connection() {
    let agent = Agent::spawn_standalone();
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 64], &[0; 8]] {
        let mut stream = TcpStream::connect(agent.listen).unwrap();
        stream.write_all(bytes).unwrap();
    }
    let verdict = block_on(async {
        announce(&agent, endpoint(COMPLETE_RESPONSE)).await;
        let link = dial(&agent).await;
        submit(&link.client, &submission_for(&agent, 1, "desk"))
            .await
            .0
    });
    assert_eq!(verdict, Verdict::Ran);
}

/// A slot that stayed in use after its caller disconnected would block the endpoint for good.
#[test]
fn closed_link_frees_its_slot() {
    let agent = Agent::spawn_standalone();
    // Accepts connections and never answers, so that the only slot stays in use until the link
    // closes.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    block_on(async {
        announce(&agent, silent.local_addr().unwrap()).await;
        let link = dial(&agent).await;
        let (request, _) = request(&link.client, &submission_for(&agent, 1, "desk"));
        let call = request.send().promise;
        let outcome = compio::time::timeout(Duration::from_millis(200), call).await;
        assert!(
            outcome.is_err(),
            "the silent endpoint's request must still be in flight"
        );
        drop(link);
        announce(&agent, endpoint(COMPLETE_RESPONSE)).await;
        let link = dial(&agent).await;
        assert_eq!(
            submit(&link.client, &submission_for(&agent, 2, "desk"))
                .await
                .0,
            Verdict::Ran
        );
    });
}

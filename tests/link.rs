//! The agent's interface over a real link, driven as an entry would.

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
use support::fleet::Lone;

const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const FAILED: Verdict = Verdict::MayHaveRun {
    reason: Reason::EndpointFailed,
};

/// What arrived at the entry's side.
#[derive(Debug, Default)]
struct Taken {
    status: u16,
    numbers: Vec<u64>,
    body: Vec<u8>,
}

struct Taker {
    taken: Rc<RefCell<Taken>>,
}

impl answer::Server for Taker {
    async fn head(
        self: Rc<Self>,
        params: answer::HeadParams,
        _: answer::HeadResults,
    ) -> capnp::Result<()> {
        self.taken.borrow_mut().status = params.get()?.get_status();
        Ok(())
    }

    async fn chunk(
        self: Rc<Self>,
        params: answer::ChunkParams,
        _: answer::ChunkResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let mut taken = self.taken.borrow_mut();
        taken.numbers.push(params.get_sequence());
        taken.body.extend_from_slice(params.get_data()?);
        Ok(())
    }
}

/// An endpoint that gives the same bytes to each connection and closes it.
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

async fn announce(agent: &Lone, address: SocketAddr) {
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

async fn dial(agent: &Lone) -> Link<agent::Client> {
    link::dial(agent.listen).await.unwrap()
}

fn asked(agent: &Lone, number: u64, endpoint: &str) -> Submission {
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
        incarnation: agent.agent.incarnation(),
        keyed: false,
    }
}

fn request(
    client: &agent::Client,
    asked: &Submission,
) -> (
    capnp::capability::Request<agent::submit_params::Owned, agent::submit_results::Owned>,
    Rc<RefCell<Taken>>,
) {
    let taken = Rc::<RefCell<Taken>>::default();
    let mut request = client.submit_request();
    submission::write(asked, request.get().init_submission());
    let payload = Payload {
        method: "POST",
        path: "/bookings",
        content_type: "",
        body: b"{}",
    };
    payload.write(request.get().init_payload());
    request.get().set_answer(capnp_rpc::new_client(Taker {
        taken: Rc::clone(&taken),
    }));
    (request, taken)
}

async fn submit(client: &agent::Client, asked: &Submission) -> (Verdict, u64, Taken) {
    let (request, taken) = request(client, asked);
    let response = request.send().promise.await.unwrap();
    let results = response.get().unwrap();
    let ended = verdict::read(results.get_verdict().unwrap()).unwrap();
    (ended, results.get_chunks(), taken.take())
}

#[test]
fn answer_is_passed_on_in_numbered_chunks() {
    let agent = Lone::spawn();
    let (ended, chunks, taken) = block_on(async {
        announce(&agent, endpoint(WHOLE)).await;
        let link = dial(&agent).await;
        submit(&link.client, &asked(&agent, 1, "desk")).await
    });
    assert_eq!((ended, taken.status), (Verdict::Ran, 200));
    assert_eq!(taken.body, b"ok");
    assert_eq!(taken.numbers, (0..chunks).collect::<Vec<_>>());
}

fn judges(answer: Option<&'static str>, endpoint_name: &str, expected: Verdict) {
    let agent = Lone::spawn();
    let ended = block_on(async {
        let address = answer.map_or_else(support::free_address, endpoint);
        announce(&agent, address).await;
        let link = dial(&agent).await;
        submit(&link.client, &asked(&agent, 1, endpoint_name))
            .await
            .0
    });
    assert_eq!(ended, expected);
}

cases!(judges {
    unknown_endpoint: (
        Some(WHOLE),
        "till",
        Verdict::NotRun {
            reason: Reason::NotHeld
        }
    ),
    nobody_listens: (
        None,
        "desk",
        Verdict::NotRun {
            reason: Reason::EndpointFailed
        }
    ),
    closes_without_answer: (Some(""), "desk", FAILED),
    breaks_off_in_the_head: (Some("HTTP/1.1 200 OK\r\ncontent-"), "desk", FAILED),
    breaks_off_in_the_body: (
        Some("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok"),
        "desk",
        FAILED
    ),
    talks_no_http: (Some("husk husk husk\r\n\r\n"), "desk", FAILED),
});

#[test]
fn same_attempt_runs_once() {
    let agent = Lone::spawn();
    let (first, second) = block_on(async {
        announce(&agent, endpoint(WHOLE)).await;
        let link = dial(&agent).await;
        let first = submit(&link.client, &asked(&agent, 1, "desk")).await.0;
        // Over another link, as after a lost one.
        let link = dial(&agent).await;
        (
            first,
            submit(&link.client, &asked(&agent, 1, "desk")).await.0,
        )
    });
    let reason = Reason::Duplicate;
    assert_eq!(first, Verdict::Ran);
    assert_eq!(second, Verdict::MayHaveRun { reason });
}

/// Spoils a message that is otherwise whole.
type Spoil = fn(agent::submit_params::Builder<'_>);

fn rejects(spoil: Spoil) {
    let agent = Lone::spawn();
    block_on(async {
        announce(&agent, endpoint(WHOLE)).await;
        let link = dial(&agent).await;
        let (mut bad, taken) = request(&link.client, &asked(&agent, 1, "desk"));
        spoil(bad.get());
        let response = bad.send().promise.await;
        let refused = response.and_then(|response| verdict::read(response.get()?.get_verdict()?));
        // An error of the call leaves it open whether the request ran; it did not.
        assert!(!matches!(refused, Ok(Verdict::Ran)), "{refused:?}");
        assert_eq!(taken.borrow().status, 0);
        let after = submit(&link.client, &asked(&agent, 2, "desk")).await;
        assert_eq!(after.0, Verdict::Ran);
    });
}

cases!(rejects {
    no_submission: (|params| {
        params.init_submission();
    }),
    no_answer: (|mut params| params.set_answer(capnp_rpc::new_future_client(std::future::ready(
        Err(capnp::Error::failed("broken".to_owned()))
    )))),
    name_not_utf8: (|params| {
        let mut submission = params.get_submission().unwrap();
        let name = capnp::text::Reader(&[0xff, 0xfe]);
        submission.set_endpoint(name);
    }),
});

#[test]
fn foreign_bytes_end_only_their_own_link() {
    let agent = Lone::spawn();
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xff; 64], &[0; 8]] {
        let mut stream = TcpStream::connect(agent.listen).unwrap();
        stream.write_all(bytes).unwrap();
    }
    let ended = block_on(async {
        announce(&agent, endpoint(WHOLE)).await;
        let link = dial(&agent).await;
        submit(&link.client, &asked(&agent, 1, "desk")).await.0
    });
    assert_eq!(ended, Verdict::Ran);
}

#[test]
fn entry_that_closes_frees_the_slot() {
    let agent = Lone::spawn();
    // Accepts and never answers, so the only slot stays taken until the link closes.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    block_on(async {
        announce(&agent, silent.local_addr().unwrap()).await;
        let link = dial(&agent).await;
        let (request, _) = request(&link.client, &asked(&agent, 1, "desk"));
        let call = request.send().promise;
        let waited = compio::time::timeout(Duration::from_millis(200), call).await;
        assert!(waited.is_err(), "the endpoint is silent");
        drop(link);
        announce(&agent, endpoint(WHOLE)).await;
        let link = dial(&agent).await;
        assert_eq!(
            submit(&link.client, &asked(&agent, 2, "desk")).await.0,
            Verdict::Ran
        );
    });
}

//! Attempts of an entry against a scripted agent: valid answers, and answers with missing,
//! duplicate or reordered chunks, an invalid verdict or a lost link.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use capnp::Error;
use nutmegyoke_cases::cases;
use nutmegyoke_core::request::arrival::Destination;
use nutmegyoke_core::request::{Id, Reason, Submission, Verdict};
use nutmegyoke_core::version::grant::Repeat;
use nutmegyoke_host::request::answer::{Part, Receiver};
use nutmegyoke_host::request::attempt::{Attempt, Step};
use nutmegyoke_wire::connection::link_capnp::{agent, answer};
use nutmegyoke_wire::request::{Payload, verdict};

const RAN: Verdict = Verdict::Ran;
const DRAINING: Verdict = Verdict::NotRun {
    reason: Reason::Draining,
};
const TRUNCATED: Verdict = Verdict::MayHaveRun {
    reason: Reason::Truncated,
};
const LINK_LOST: Verdict = Verdict::MayHaveRun {
    reason: Reason::LinkLost,
};

/// One step of the agent's script.
#[derive(Clone, Copy, Debug)]
enum Action {
    /// Sends the head of the answer.
    Head,
    /// Sends a chunk with this number, whose data is the number.
    Chunk(u64),
    /// Returns the verdict and the number of chunks that the agent claims to have sent.
    End(Verdict, u64),
    /// Returns a verdict whose reason is unknown, as a newer or faulty peer may do.
    UnknownVerdict,
    /// Fails the call, as a lost link does.
    Fail,
}

/// An agent that follows a script.
struct FakeAgent {
    script: &'static [Action],
    /// The number of parts that the entry rejected.
    refused: RefCell<u32>,
}

impl FakeAgent {
    async fn perform(&self, action: Action, answer: &answer::Client) -> capnp::Result<()> {
        let sent = match action {
            Action::Head => {
                let mut head = answer.head_request();
                head.get().set_status(200);
                head.send().promise.await.map(drop)
            }
            Action::Chunk(number) => {
                let mut chunk = answer.chunk_request();
                chunk.get().set_sequence(number);
                chunk.get().set_data(number.to_string().as_bytes());
                chunk.send().promise.await.map(drop)
            }
            Action::Fail => {
                return Err(Error::disconnected("the agent closed the link".to_owned()));
            }
            Action::End(..) | Action::UnknownVerdict => Ok(()),
        };
        if sent.is_err() {
            *self.refused.borrow_mut() += 1;
        }
        Ok(())
    }
}

impl agent::Server for FakeAgent {
    async fn submit(
        self: Rc<Self>,
        params: agent::SubmitParams,
        mut results: agent::SubmitResults,
    ) -> capnp::Result<()> {
        let answer = params.get()?.get_answer()?;
        for &action in self.script {
            self.perform(action, &answer).await?;
            let mut results = results.get();
            match action {
                Action::End(end, chunks) => {
                    results.set_chunks(chunks);
                    verdict::write(end, results.init_verdict());
                }
                Action::UnknownVerdict => results.init_verdict().set_not_run("moon_phase"),
                _ => {}
            }
        }
        Ok(())
    }
}

fn submission() -> Submission {
    Submission {
        id: Id {
            entry: 1,
            number: 2,
        },
        attempt: 0,
        customer: "kayal".into(),
        priority: 5,
        endpoint: "desk".to_owned(),
        destination: Destination::Service {
            service: "desk".into(),
        },
        repeat: Repeat::Once,
        remaining: Duration::from_secs(5),
        first_token: None,
        tokens: 0,
        configuration: 1,
        incarnation: 0,
        keyed: false,
    }
}

fn dropped_counter() -> prometheus::IntCounterVec {
    let opts = prometheus::Opts::new("dropped", "Chunks dropped.");
    prometheus::IntCounterVec::new(opts, &["cause"]).unwrap()
}

/// Checks the verdict, the received body and the count of dropped parts of an attempt at an
/// agent that follows `script`.
///
/// Guards against an incomplete or reordered answer that counts as complete, and against a
/// missing or unknown verdict that counts as one that the request did not run.
fn attempt_ends(script: &'static [Action], expected: Verdict, text: &str, drops: u64) {
    let counter = dropped_counter();
    let runtime = compio::runtime::Runtime::new().unwrap();
    let (verdict, received) = runtime.block_on(async {
        let fake = FakeAgent {
            script,
            refused: RefCell::default(),
        };
        let client: agent::Client = capnp_rpc::new_client(fake);
        let payload = Payload {
            method: "POST",
            path: "/bookings",
            content_type: "",
            body: b"{}",
        };
        let answer = Receiver::open(&counter);
        let mut attempt = Attempt::spawn(&client, &submission(), &payload, answer);
        let mut received = Vec::new();
        loop {
            match attempt.next().await {
                Step::Part {
                    part: Part::Chunk { data },
                } => received.extend_from_slice(&data),
                Step::Part { .. } => {}
                Step::End { verdict } => return (verdict, received),
            }
        }
    });
    assert_eq!(verdict, expected);
    assert_eq!(String::from_utf8(received).unwrap(), text);
    let causes = ["duplicate", "gap"].map(|cause| counter.with_label_values(&[cause]).get());
    assert_eq!(causes.iter().sum::<u64>(), drops);
}

cases!(attempt_ends {
    complete_answer: (
        &[
            Action::Head,
            Action::Chunk(0),
            Action::Chunk(1),
            Action::End(RAN, 2)
        ],
        RAN,
        "01",
        0
    ),
    refused: (&[Action::End(DRAINING, 0)], DRAINING, "", 0),
    duplicate_chunk: (
        &[
            Action::Head,
            Action::Chunk(0),
            Action::Chunk(0),
            Action::Chunk(1),
            Action::End(RAN, 2)
        ],
        RAN,
        "01",
        1
    ),
    missing_chunk: (
        &[
            Action::Head,
            Action::Chunk(0),
            Action::Chunk(2),
            Action::End(RAN, 3)
        ],
        TRUNCATED,
        "0",
        1
    ),
    missing_last_chunk: (
        &[Action::Head, Action::Chunk(0), Action::End(RAN, 2)],
        TRUNCATED,
        "0",
        0
    ),
    duplicate_head: (
        &[
            Action::Head,
            Action::Head,
            Action::Chunk(0),
            Action::End(RAN, 1)
        ],
        RAN,
        "0",
        1
    ),
    late_duplicate_chunk: (
        &[
            Action::Head,
            Action::Chunk(0),
            Action::Chunk(1),
            Action::Chunk(0),
            Action::End(RAN, 2)
        ],
        RAN,
        "01",
        1
    ),
    chunks_reordered: (
        &[
            Action::Head,
            Action::Chunk(1),
            Action::Chunk(0),
            Action::End(RAN, 2)
        ],
        TRUNCATED,
        "0",
        1
    ),
    chunk_of_another_answer: (
        &[
            Action::Head,
            Action::Chunk(0),
            Action::Chunk(9),
            Action::Chunk(1),
            Action::End(RAN, 2)
        ],
        RAN,
        "01",
        1
    ),
    link_lost_before_answer: (&[Action::Fail], LINK_LOST, "", 0),
    link_lost_during_answer: (
        &[Action::Head, Action::Chunk(0), Action::Fail],
        LINK_LOST,
        "0",
        0
    ),
    unknown_verdict: (&[Action::Head, Action::UnknownVerdict], LINK_LOST, "", 0),
    no_verdict: (&[Action::Head], LINK_LOST, "", 0),
});

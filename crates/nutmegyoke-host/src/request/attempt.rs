//! One attempt at a request: submits it to an agent and receives the answer.

use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use capnp::capability::Promise;
use futures_channel::mpsc;
use futures_util::StreamExt;
use futures_util::future::poll_fn;
use nutmegyoke_core::request::{Id, Reason, Submission, Verdict};
use nutmegyoke_wire::connection::link_capnp::{agent, answer};
use nutmegyoke_wire::request::{Payload, id, submission, verdict};

use super::answer::Part;

/// An attempt in flight. Dropping it cancels the request at the agent.
pub struct Attempt {
    result: Option<Promise<Outcome, capnp::Error>>,
    parts: mpsc::Receiver<Part>,
    received: u64,
    outcome: Option<Outcome>,
}

/// The agent's result at the end of an attempt.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    verdict: Verdict,
    /// The number of chunks that the agent sent.
    sent: u64,
    /// The requests queued and running at the endpoint, if reported.
    load: Option<u32>,
    /// The time after which a retry may succeed; zero if unknown.
    retry_after: Duration,
}

/// The next item of an attempt: a part of the answer or the end.
#[derive(Debug)]
pub enum Step {
    /// The next part of the answer.
    Part { part: Part },
    /// The attempt ended. [`Verdict::Ran`] means that every part has been returned.
    End { verdict: Verdict },
}

impl Attempt {
    /// Submits a request to the agent behind `client`.
    ///
    /// The last argument is the result of [`Receiver::open`](super::answer::Receiver::open).
    #[must_use]
    pub fn spawn(
        client: &agent::Client,
        submission: &Submission,
        payload: &Payload<'_>,
        (answer, parts): (answer::Client, mpsc::Receiver<Part>),
    ) -> Self {
        let mut request = client.submit_request();
        let mut params = request.get();
        submission::write(submission, params.reborrow().init_submission());
        payload.write(params.reborrow().init_payload());
        params.set_answer(answer);
        let sent = request.send();
        let result = Promise::from_future(async move {
            let response = sent.promise.await?;
            let results = response.get()?;
            if !results.has_verdict() {
                // An absent verdict would be read as the first variant of its union, `ran`.
                return Err(capnp::Error::failed(
                    "the agent's result has no verdict".to_owned(),
                ));
            }
            Ok(Outcome {
                verdict: verdict::read(results.get_verdict()?)?,
                sent: results.get_chunks(),
                load: Some(results.get_load()),
                retry_after: Duration::from_millis(results.get_retry_after_ms()),
            })
        });
        Self::open(result, parts)
    }

    /// Fetches the cached answer of request `id` from the agent behind `client`.
    ///
    /// If the agent has no such answer, the attempt ends with [`Verdict::Ran`] and no parts.
    #[must_use]
    pub fn fetch(
        client: &agent::Client,
        id: Id,
        (answer, parts): (answer::Client, mpsc::Receiver<Part>),
    ) -> Self {
        let mut request = client.recall_request();
        id::write(id, request.get().init_id());
        request.get().set_answer(answer);
        let sent = request.send();
        let result = Promise::from_future(async move {
            let response = sent.promise.await?;
            Ok(Outcome {
                verdict: Verdict::Ran,
                sent: response.get()?.get_chunks(),
                load: None,
                retry_after: Duration::ZERO,
            })
        });
        Self::open(result, parts)
    }

    fn open(result: Promise<Outcome, capnp::Error>, parts: mpsc::Receiver<Part>) -> Self {
        Self {
            result: Some(result),
            parts,
            received: 0,
            outcome: None,
        }
    }

    /// How long to wait before a retry, as the agent reported it; zero if unknown.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        self.outcome
            .map_or(Duration::ZERO, |outcome| outcome.retry_after)
    }

    /// Waits for the next part of the answer or the end of the attempt.
    pub async fn next(&mut self) -> Step {
        if self.outcome.is_none()
            && let Some(part) = self.next_part().await
        {
            return self.step(part);
        }
        // The agent returns its result after the last part, so the remaining parts are
        // already queued.
        match self.parts.try_recv() {
            Ok(part) => self.step(part),
            Err(_) => Step::End {
                verdict: self.verdict(),
            },
        }
    }

    /// The requests queued and running at the endpoint when the attempt ended, if the
    /// agent reported them.
    #[must_use]
    pub fn load(&self) -> Option<u32> {
        self.outcome?.load
    }

    /// Returns `part` as a step, and counts it if it is a chunk.
    fn step(&mut self, part: Part) -> Step {
        if matches!(part, Part::Chunk { .. }) {
            self.received += 1;
        }
        Step::Part { part }
    }

    /// The agent's verdict, or [`Reason::Truncated`] if fewer or more chunks were received
    /// than the agent sent.
    fn verdict(&self) -> Verdict {
        match self.outcome {
            Some(Outcome {
                verdict: Verdict::Ran,
                sent,
                ..
            }) if sent != self.received => Verdict::MayHaveRun {
                reason: Reason::Truncated,
            },
            Some(Outcome { verdict, .. }) => verdict,
            None => LINK_LOST,
        }
    }

    /// Waits for the next part, or stores the agent's result and returns `None`.
    async fn next_part(&mut self) -> Option<Part> {
        poll_fn(|context| {
            if let Poll::Ready(Some(part)) = self.parts.poll_next_unpin(context) {
                return Poll::Ready(Some(part));
            }
            let Some(result) = &mut self.result else {
                return Poll::Ready(None);
            };
            match Pin::new(result).poll(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(result) => {
                    self.outcome = Some(result.unwrap_or(NO_OUTCOME));
                    self.result = None;
                    Poll::Ready(None)
                }
            }
        })
        .await
    }
}

/// The link failed after the request was sent, so the request may have run.
const LINK_LOST: Verdict = Verdict::MayHaveRun {
    reason: Reason::LinkLost,
};

/// The outcome of an attempt whose agent returned no valid result.
const NO_OUTCOME: Outcome = Outcome {
    verdict: LINK_LOST,
    sent: 0,
    load: None,
    retry_after: Duration::ZERO,
};

//! One attempt at a request: submits it to an agent and takes the answer.

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

/// A submission in progress. Dropping it cancels the request at the agent.
pub struct Attempt {
    result: Option<Promise<Outcome, capnp::Error>>,
    parts: mpsc::Receiver<Part>,
    received: u64,
    outcome: Option<Outcome>,
}

/// What the agent told at the end.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    verdict: Verdict,
    sent: u64,
    load: Option<u32>,
    /// When another try may succeed; zero while that is not known.
    retry_after: Duration,
}

/// What an attempt yields.
#[derive(Debug)]
pub enum Step {
    /// The next part of the answer.
    Part { part: Part },
    /// The end; [`Verdict::Ran`] means that every part has been yielded.
    End { verdict: Verdict },
}

impl Attempt {
    /// Submits a request to the agent behind `client`.
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
                // An empty message reads as the first verdict, which is that it ran.
                return Err(capnp::Error::failed("no verdict".to_owned()));
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

    /// Recalls the kept answer of request `id` from the agent behind `client`.
    ///
    /// An answer that is not kept ends as one that ran without parts.
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

    /// The agent's hint when another try may succeed; zero while that is not known.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        self.outcome
            .map_or(Duration::ZERO, |outcome| outcome.retry_after)
    }

    /// Waits for the next part or the end.
    pub async fn next(&mut self) -> Step {
        if self.outcome.is_none()
            && let Some(part) = self.next_part().await
        {
            return self.step(part);
        }
        // The agent has sent all; what it sent is in the queue already.
        match self.parts.try_recv() {
            Ok(part) => self.step(part),
            Err(_) => Step::End {
                verdict: self.verdict(),
            },
        }
    }

    /// The requests queued and running at the endpoint when the attempt ended.
    #[must_use]
    pub fn load(&self) -> Option<u32> {
        self.outcome?.load
    }

    fn step(&mut self, part: Part) -> Step {
        if matches!(part, Part::Chunk { .. }) {
            self.received += 1;
        }
        Step::Part { part }
    }

    /// The agent's verdict, unless the answer lacks a part.
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

    /// Returns a part, or `None` once the result has been stored.
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

/// The request was sent and the link broke: nobody here knows whether it ran.
const LINK_LOST: Verdict = Verdict::MayHaveRun {
    reason: Reason::LinkLost,
};

const NO_OUTCOME: Outcome = Outcome {
    verdict: LINK_LOST,
    sent: 0,
    load: None,
    retry_after: Duration::ZERO,
};

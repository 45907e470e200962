//! Refuses requests that cannot be served, and ends those whose deadline has passed.

use std::time::{Duration, Instant};

use super::call::Stage;
use super::{Command, Gateway, Halt, Refusal, Sink};
use crate::request::{Reason, Verdict};

/// How long a client should wait before it repeats a request that [`refuse`] ended and that
/// did not run. An unknown path or key gets no such delay, nor does a request body that could not be
/// read, which is refused before it gets here.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(250);

impl Gateway {
    /// Ends the request and refuses it.
    pub(super) fn give_up<S>(&mut self, number: u64, verdict: Verdict, halt: Halt, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        self.remove_call(number);
        refuse(number, verdict, halt, out);
    }

    /// Removes a request that has ended.
    pub(super) fn remove_call(&mut self, number: u64) {
        self.queue.remove(number);
        if let Some(mut call) = self.calls.remove(&number) {
            self.deadlines.remove(&(call.deadline, number));
            if let Some(held) = self.held.get_mut(&call.service) {
                held.remove(call.tokens);
            }
            self.allotments.release(&mut call);
        }
    }

    /// Ends the requests whose deadline has passed: cancels an answer that has begun, and
    /// refuses the others.
    pub(super) fn expire<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        while let Some(&(at, number)) = self.deadlines.first() {
            if at > now {
                return;
            }
            let stage = self.calls.get(&number).map(|call| call.stage.clone());
            self.leave_endpoint(now, number, None);
            let uncertain = self.calls.get(&number).and_then(|call| call.uncertain);
            self.remove_call(number);
            match stage {
                Some(Stage::Answering { .. }) => out.push(Command::Cancel { call: number }),
                Some(Stage::Running { .. }) => {
                    let verdict = Verdict::may_have_run(Reason::DeadlinePassed);
                    refuse(number, verdict, Halt::OutOfTime, out);
                }
                _ => {
                    let expired = Verdict::not_run(Reason::DeadlinePassed);
                    let verdict = uncertain.map_or(expired, Verdict::may_have_run);
                    refuse(number, verdict, Halt::OutOfTime, out);
                }
            }
        }
    }
}

/// Refuses a request. If it did not run and its path and key are known, the refusal says when to try
/// again.
pub(super) fn refuse<S>(call: u64, verdict: Verdict, halt: Halt, out: &mut S)
where
    S: Sink<Command = Command>,
{
    refuse_until(call, verdict, halt, RETRY_AFTER, out);
}

/// Refuses a request like [`refuse`]; it can be served after `delay` at the earliest.
pub(super) fn refuse_until<S>(call: u64, verdict: Verdict, halt: Halt, delay: Duration, out: &mut S)
where
    S: Sink<Command = Command>,
{
    let retry_after = match verdict {
        Verdict::NotRun {
            reason: Reason::UnknownPath | Reason::BadKey,
        } => None,
        Verdict::NotRun { .. } => Some(delay),
        _ => None,
    };
    let refusal = Refusal {
        verdict,
        retry_after,
        halt,
    };
    out.push(Command::Refuse { call, refusal });
}

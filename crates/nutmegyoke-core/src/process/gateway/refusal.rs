//! How a request ends without an answer.

use std::time::{Duration, Instant};

use super::call::Stage;
use super::{Command, Gateway, Halt, Refusal, Sink};
use crate::request::{Reason, Verdict};

/// When a client may try again that was refused for want of an endpoint.
const RETRY_AFTER: Duration = Duration::from_millis(250);

impl Gateway {
    /// Gives the request up and tells its client.
    pub(super) fn give_up<S>(&mut self, number: u64, verdict: Verdict, halt: Halt, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        self.forget(number);
        refuse(number, verdict, halt, out);
    }

    pub(super) fn forget(&mut self, number: u64) {
        self.waiting.remove(number);
        if let Some(call) = self.calls.remove(&number) {
            self.deadlines.remove(&(call.deadline, number));
        }
    }

    /// Ends the requests whose time is over.
    pub(super) fn expire<S>(&mut self, now: Instant, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        while let Some(&(at, number)) = self.deadlines.first() {
            if at > now {
                return;
            }
            let stage = self.calls.get(&number).map(|call| call.stage.clone());
            self.vacate(now, number, None);
            let suspect = self.calls.get(&number).and_then(|call| call.suspect);
            self.forget(number);
            match stage {
                Some(Stage::Begun { .. }) => out.push(Command::Cancel { call: number }),
                Some(Stage::Running { .. }) => {
                    let verdict = Verdict::may_have_run(Reason::DeadlinePassed);
                    refuse(number, verdict, Halt::OutOfTime, out);
                }
                _ => {
                    let late = Verdict::not_run(Reason::DeadlinePassed);
                    let verdict = suspect.map_or(late, Verdict::may_have_run);
                    refuse(number, verdict, Halt::OutOfTime, out);
                }
            }
        }
    }
}

pub(super) fn refuse<S>(call: u64, verdict: Verdict, halt: Halt, out: &mut S)
where
    S: Sink<Command = Command>,
{
    let retry_after = match verdict {
        Verdict::NotRun { reason } if reason != Reason::UnknownPath => Some(RETRY_AFTER),
        _ => None,
    };
    let refusal = Refusal {
        verdict,
        retry_after,
        halt,
    };
    out.push(Command::Refuse { call, refusal });
}

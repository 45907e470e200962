//! Translates the commands of the replica into those of the control process.

use super::store::Outcome;
use super::{Command, Store, replica};
use crate::process::Sink;

/// A sink for a replica's commands that forwards them to the process's sink `out`.
pub struct Relay<'a, S> {
    pub out: &'a mut S,
}

impl<S: Sink<Command = Command>> Sink for Relay<'_, S> {
    type Command = replica::Command<Store>;

    fn push(&mut self, command: replica::Command<Store>) {
        self.out.push(match command {
            replica::Command::Send { address, message } => Command::Send { address, message },
            replica::Command::Persist { batch } => Command::Persist { batch },
            replica::Command::MembershipChanged { call } => Command::AnswerMembership { call },
            replica::Command::Redirect { call } => Command::Redirect { call },
            replica::Command::LeaseLost {
                unacknowledged_bytes,
                late,
            } => Command::LeaseLost {
                unacknowledged_bytes,
                late,
            },
            replica::Command::Reseated { name } => Command::Reseated { name },
            replica::Command::Outcome { call, outcome } => match outcome {
                Outcome::Configured { acceptance } => {
                    Command::AnswerConfiguration { call, acceptance }
                }
                Outcome::Claimed { outcome } => Command::AnswerClaim { call, outcome },
                Outcome::Published { number } => Command::AnswerDocument { call, number },
                Outcome::Recorded => Command::AnswerRecorded { call },
            },
        });
    }
}

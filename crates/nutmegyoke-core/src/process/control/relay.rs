//! Turns a replica's commands into those of the process.

use super::store::Outcome;
use super::{Command, Store, replica};
use crate::process::Sink;

/// Turns a replica's commands into those of the process.
pub struct Relay<'a, S> {
    pub out: &'a mut S,
}

impl<S: Sink<Command = Command>> Sink for Relay<'_, S> {
    type Command = replica::Command<Store>;

    fn push(&mut self, command: replica::Command<Store>) {
        self.out.push(match command {
            replica::Command::Send { address, message } => Command::Send { address, message },
            replica::Command::Persist { batch } => Command::Persist { batch },
            replica::Command::MembershipChanged { call } => Command::Grant { call },
            replica::Command::Redirect { call } => Command::Redirect { call },
            replica::Command::Outcome { call, outcome } => match outcome {
                Outcome::Answered { acceptance } => Command::Answer { call, acceptance },
                Outcome::Judged { outcome } => Command::Judge { call, outcome },
                Outcome::Published { number } => Command::Tell { call, number },
                Outcome::Recorded => Command::Record { call },
            },
        });
    }
}

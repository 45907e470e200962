//! The form of every decision: a state machine without I/O.
//!
//! A host feeds one event at a time and carries out the commands that the
//! machine pushes into the sink. A machine never waits and never reads a
//! clock; it names the time at which it wants to be called again.

use std::time::Instant;

/// A state machine that decides and performs no I/O.
pub trait Machine {
    /// What happened; borrows whatever the host already holds.
    type Event<'a>;
    /// What the host shall do.
    type Command;

    /// Takes one event in and pushes the commands that follow from it.
    fn handle<S>(&mut self, now: Instant, event: Self::Event<'_>, out: &mut S)
    where
        S: Sink<Command = Self::Command>;

    /// The event that tells the machine only that time has passed.
    fn tick() -> Self::Event<'static>;

    /// When to feed the next tick, unless an event comes first.
    fn deadline(&self) -> Option<Instant>;
}

/// Takes the commands of a machine.
pub trait Sink {
    /// The commands taken.
    type Command;

    /// Takes one command; must not call back into the machine.
    fn push(&mut self, command: Self::Command);
}

impl<T> Sink for Vec<T> {
    type Command = T;

    fn push(&mut self, command: T) {
        Vec::push(self, command);
    }
}

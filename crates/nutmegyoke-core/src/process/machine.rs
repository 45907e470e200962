//! The interface of all components: state machines without I/O.
//!
//! A host passes one event at a time to the machine and executes the commands that
//! the machine pushes to the sink. A machine never blocks and never reads a clock.
//! It returns the deadline at which it needs the next call.

use std::time::Instant;

/// A state machine that makes decisions without I/O.
pub trait Machine {
    /// An input of the machine; it borrows from data that the host owns.
    type Event<'a>;
    /// An instruction to the host.
    type Command;

    /// Processes one event and pushes the resulting commands to `out`.
    fn handle<S>(&mut self, now: Instant, event: Self::Event<'_>, out: &mut S)
    where
        S: Sink<Command = Self::Command>;

    /// The event that only lets the machine handle expired timers.
    fn tick() -> Self::Event<'static>;

    /// When the next tick is due; `None` if no timer is set.
    fn deadline(&self) -> Option<Instant>;
}

/// Receives the commands of a machine.
pub trait Sink {
    /// The type of the commands.
    type Command;

    /// Receives one command. The implementation must not call the machine.
    fn push(&mut self, command: Self::Command);
}

impl<T> Sink for Vec<T> {
    type Command = T;

    fn push(&mut self, command: T) {
        Vec::push(self, command);
    }
}

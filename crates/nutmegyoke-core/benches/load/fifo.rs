//! The FIFO queue of the agent's first version, as the baseline.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nutmegyoke_core::process::agent::{Command, Event};
use nutmegyoke_core::process::{Machine, Sink};
use nutmegyoke_core::request::Reason;

/// The maximum number of waiting requests.
const MAX_QUEUED: usize = 64;

/// An agent with a FIFO queue and one endpoint.
#[derive(Debug)]
pub struct Fifo {
    address: SocketAddr,
    slots: usize,
    queue: VecDeque<u64>,
    /// Whether each call is running; the others are waiting.
    running: BTreeMap<u64, bool>,
}

impl Fifo {
    pub fn open(address: SocketAddr, slots: usize) -> Self {
        Self {
            address,
            slots,
            queue: VecDeque::new(),
            running: BTreeMap::new(),
        }
    }

    fn start<S: Sink<Command = Command>>(&mut self, out: &mut S) {
        while self
            .running
            .values()
            .filter(|&&is_running| is_running)
            .count()
            < self.slots
            && let Some(call) = self.queue.pop_front()
        {
            self.running.insert(call, true);
            let address = self.address;
            out.push(Command::Start { call, address });
        }
    }
}

impl Machine for Fifo {
    type Event<'a> = Event<'a>;
    type Command = Command;

    fn handle<S>(&mut self, _: Instant, event: Event<'_>, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        match event {
            Event::Submitted { call, .. } if self.queue.len() >= MAX_QUEUED => {
                out.push(Command::Refuse {
                    call,
                    reason: Reason::QueueFull,
                    after: Duration::ZERO,
                });
            }
            Event::Submitted { call, .. } => {
                self.running.insert(call, false);
                self.queue.push_back(call);
                self.start(out);
            }
            Event::Ended { call } => {
                self.running.remove(&call);
                self.queue.retain(|&waiting| waiting != call);
                self.start(out);
            }
            _ => {}
        }
    }

    fn tick() -> Event<'static> {
        Event::Ticked
    }

    fn deadline(&self) -> Option<Instant> {
        None
    }
}

//! Executes control's orders on the engines of a VM, with one ledger per engine.
//!
//! An order waits for an inventory if the contents of the engine are not settled, and is
//! rejected if they still are not. Otherwise its memory is reserved and it is sent; an
//! unload waits until no request uses the weights. Control learns the result from the
//! agent's reports. This state machine is separate from [`super::Agent`]: requests and
//! orders share only what an engine holds and which weights are in use by requests.

mod engine;
pub mod event;

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use engine::{Activity, Engine};
pub use event::{Command, Event};

use crate::process::endpoint::{Holding, Target};
use crate::process::order::{Fence, Kind, Order, Outcome, Stamp};
use crate::process::report::{Capacity, Inventory, Report};
use crate::process::{Machine, Sink};

/// The engines of a VM whose memory the agent manages.
#[derive(Debug, Default)]
pub struct Memory {
    engines: BTreeMap<String, Engine>,
    calls: HashMap<u64, Usage>,
}

/// The weights that a request in flight uses, which must not be unloaded meanwhile.
#[derive(Debug)]
struct Usage {
    endpoint: String,
    names: Vec<String>,
}

impl Memory {
    /// Applies the capacity from an engine's announcement. A changed capacity, which
    /// includes the engine's incarnation, means that the engine restarted.
    pub fn announce(
        &mut self,
        now: Instant,
        endpoint: &str,
        capacity: &Capacity,
        agent_incarnation: u64,
    ) {
        let engine = self
            .engines
            .entry(endpoint.to_owned())
            .or_insert_with(|| Engine::open(now, capacity, agent_incarnation));
        if engine.ledger.capacity() != capacity {
            engine.ledger.handle_restart(capacity.clone());
            engine.next_inspection = now;
        }
    }

    /// Whether the agent manages the memory of `endpoint`.
    #[must_use]
    pub fn manages(&self, endpoint: &str) -> bool {
        self.engines.contains_key(endpoint)
    }

    /// What requests may use on `endpoint`; `None` if the agent does not manage its
    /// memory.
    #[must_use]
    pub fn holding(&self, endpoint: &str) -> Option<Holding> {
        let engine = self.engines.get(endpoint)?;
        let of_kind = |kind| {
            let resident = engine.ledger.resident();
            resident.filter(move |weights| weights.kind == kind)
        };
        Some(Holding::Engine {
            models: of_kind(Kind::Model)
                .map(|weights| weights.name.as_str().into())
                .collect(),
            adapters: of_kind(Kind::Adapter)
                .map(|weights| weights.name.as_str().into())
                .collect(),
        })
    }

    /// Counts a request as demand and keeps its weights loaded until it ends.
    pub fn begin(&mut self, call: u64, endpoint: &str, target: Target<'_>) {
        let Target::Model { model, adapter } = target else {
            return;
        };
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        let names: Vec<String> = std::iter::once(model)
            .chain(adapter)
            .map(str::to_owned)
            .collect();
        for name in &names {
            *engine.in_use.entry(name.clone()).or_default() += 1;
            *engine.demand.entry(name.clone()).or_default() += 1;
        }
        let endpoint = endpoint.to_owned();
        self.calls.insert(call, Usage { endpoint, names });
    }

    /// Ends a request and sends the unload that waited for it, if any.
    pub fn end(&mut self, now: Instant, call: u64, out: &mut Vec<Command>) {
        let Some(usage) = self.calls.remove(&call) else {
            return;
        };
        let Some(engine) = self.engines.get_mut(&usage.endpoint) else {
            return;
        };
        for name in &usage.names {
            if let Some(count) = engine.in_use.get_mut(name) {
                *count = count.saturating_sub(1);
            }
        }
        engine.in_use.retain(|_, &mut count| count > 0);
        engine.send_unload_if_unused(now, out);
    }

    /// Queues orders of the leader, sorted by their fences.
    ///
    /// `fence` is newer than every order that the leader issued before these.
    pub fn enqueue(
        &mut self,
        now: Instant,
        fence: Fence,
        orders: &[Order],
        out: &mut Vec<Command>,
    ) {
        for engine in self.engines.values_mut() {
            engine.observe_fence(fence);
        }
        for order in orders {
            if let Some(engine) = self.engines.get_mut(&order.endpoint) {
                engine.enqueue(now, order, out);
            }
        }
    }

    /// Records how an order ended.
    pub fn conclude(
        &mut self,
        now: Instant,
        order: &Order,
        stamp: Stamp,
        outcome: Outcome,
        out: &mut Vec<Command>,
    ) {
        if let Some(engine) = self.engines.get_mut(&order.endpoint) {
            engine.ledger.conclude(now, order, stamp, outcome);
            if matches!(engine.activity, Activity::Sending) {
                engine.activity = Activity::Idle;
            }
            engine.process_waiting(now, out);
        }
    }

    /// Applies an engine's inventory; `None` if the engine did not answer.
    pub fn finish_inspection(
        &mut self,
        now: Instant,
        endpoint: &str,
        inventory: Option<&Inventory>,
        out: &mut Vec<Command>,
    ) {
        let Some(engine) = self.engines.get_mut(endpoint) else {
            return;
        };
        if engine.finish_inspection(now, inventory) {
            // Decide on one order even if the engine did not answer, so that it is not
            // inspected for the same order again.
            engine.admit_next(now, out);
            engine.process_waiting(now, out);
        }
    }

    /// Requests the periodic inventories that are due.
    pub fn inspect_due(&mut self, now: Instant, out: &mut Vec<Command>) {
        for (endpoint, engine) in &mut self.engines {
            if engine.idle() && engine.next_inspection <= now {
                engine.inspect(now, endpoint, out);
            }
        }
    }

    /// The reports to control, one per engine.
    #[must_use]
    pub fn reports(&self) -> Vec<Report> {
        let engines = self.engines.iter();
        engines
            .map(|(endpoint, engine)| engine.report(endpoint))
            .collect()
    }
}

impl Machine for Memory {
    type Event<'a> = Event<'a>;
    type Command = Command;

    fn handle<S>(&mut self, now: Instant, event: Event<'_>, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let mut commands = Vec::new();
        match event {
            Event::Announced {
                endpoint,
                capacity,
                agent_incarnation,
            } => {
                self.announce(now, endpoint, capacity, agent_incarnation);
                self.inspect_due(now, &mut commands);
            }
            Event::Submitted {
                call,
                endpoint,
                target,
            } => self.begin(call, endpoint, target),
            Event::Ended { call } => self.end(now, call, &mut commands),
            Event::Ordered { fence, orders } => self.enqueue(now, fence, orders, &mut commands),
            Event::Concluded {
                order,
                stamp,
                outcome,
            } => self.conclude(now, order, stamp, outcome, &mut commands),
            Event::Inspected {
                endpoint,
                inventory,
            } => self.finish_inspection(now, endpoint, inventory, &mut commands),
            Event::Ticked => self.inspect_due(now, &mut commands),
        }
        for command in commands {
            out.push(command);
        }
    }

    fn tick() -> Event<'static> {
        Event::Ticked
    }

    fn deadline(&self) -> Option<Instant> {
        let idle = self.engines.values().filter(|engine| engine.idle());
        idle.map(|engine| engine.next_inspection).min()
    }
}

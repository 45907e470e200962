//! The decisions of a steward: which adapters its engine holds.
//!
//! Every order follows from one view of the engine and names the count of
//! orders that the view was taken at. The engine carries it out only at that
//! count, so an order that was lost and turns up later changes nothing, and
//! the engine is never ordered to hold more than fits.

pub mod directive;
pub mod event;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

pub use directive::{Directive, View};
pub use event::{Action, Command, Event, Order, Outcome};

use super::{Machine, Sink};

/// The pause before the engine is asked again while an adapter is on its way.
/// An adapter takes at least 5 ms from the store.
const POLL: Duration = Duration::from_millis(3);

/// The pause after an order that was refused or lost, or an inspection that failed.
const PAUSE: Duration = Duration::from_millis(40);

/// A steward's decision state.
#[derive(Debug, Default)]
pub struct Steward {
    activity: Activity,
    directives: VecDeque<(u64, Directive)>,
    /// The highest term of a leader that gave an order.
    term: u64,
    asks: VecDeque<Ask>,
    /// When each adapter was last asked for.
    used: BTreeMap<String, Instant>,
}

/// A gateway that waits for an adapter.
#[derive(Debug)]
struct Ask {
    call: u64,
    endpoint: String,
    model: String,
    adapter: String,
    slots: usize,
}

#[derive(Debug, Default)]
enum Activity {
    #[default]
    Idle,
    Inspecting,
    Ordering,
    Pausing(Instant),
}

impl Steward {
    fn ask<S>(&mut self, now: Instant, ask: Ask, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        self.used.insert(ask.name(), now);
        self.asks.push_back(ask);
        if matches!(self.activity, Activity::Idle) {
            self.inspect(out);
        }
    }

    fn inspect<S>(&mut self, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        self.activity = Activity::Inspecting;
        out.push(Command::Inspect);
    }

    /// Answers those whose adapter is there, then orders what the next one needs.
    fn take<S>(&mut self, now: Instant, view: &View, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let hopeless = |ask: &Ask| !view.models.contains(&ask.model) || ask.slots == 0;
        self.asks.retain(|ask| {
            let done = view.adapters.contains(&ask.name()) || hopeless(ask);
            if done {
                let adapters = view.adapters.clone();
                let call = ask.call;
                out.push(Command::Answer { call, adapters });
            }
            !done
        });
        self.used.retain(|name, _| {
            view.adapters.contains(name)
                || view.incoming.contains(name)
                || self.asks.iter().any(|ask| ask.name() == *name)
        });
        if self.direct(now, view, out) {
            return;
        }
        if self.asks.is_empty() {
            self.activity = Activity::Idle;
            return;
        }
        let missing = |ask: &&Ask| !view.incoming.contains(&ask.name());
        let order = self
            .asks
            .iter()
            .find(missing)
            .and_then(|ask| self.order(view, ask));
        self.activity = match order {
            Some(order) => {
                let expected = view.accepted;
                out.push(Command::Order { order, expected });
                Activity::Ordering
            }
            None => Activity::Pausing(now + POLL),
        };
    }

    /// Takes the first directive a step further. Returns whether the engine is
    /// busy with it.
    fn direct<S>(&mut self, now: Instant, view: &View, out: &mut S) -> bool
    where
        S: Sink<Command = Command>,
    {
        let Some((call, directive)) = self.directives.front() else {
            return false;
        };
        let (call, expected) = (*call, view.accepted);
        let accepted = view.models.contains(&directive.load);
        if accepted || !directive.fits(view) {
            out.push(Command::Conclude { call, accepted });
            self.directives.pop_front();
            return self.direct(now, view, out);
        }
        if view.busy {
            // Adapters may be loaded meanwhile; the engine is looked at again.
            if self.asks.is_empty() {
                self.activity = Activity::Pausing(now + PAUSE);
                return true;
            }
            return false;
        }
        let order = directive.next(view);
        if order.action == Action::Load {
            out.push(Command::Conclude {
                call,
                accepted: true,
            });
            self.directives.pop_front();
        }
        out.push(Command::Order { order, expected });
        self.activity = Activity::Ordering;
        true
    }

    /// The order that brings `ask` a step further, if one can.
    fn order(&self, view: &View, ask: &Ask) -> Option<Order> {
        let taken = view.adapters.len() + view.incoming.len();
        if taken < ask.slots {
            return Some(Order {
                endpoint: ask.endpoint.clone(),
                action: Action::Load,
                model: ask.model.clone(),
                adapter: Some(ask.adapter.clone()),
            });
        }
        let wanted = |name: &&String| self.asks.iter().any(|ask| ask.name() == **name);
        let idle = view.adapters.iter().filter(|name| !wanted(name));
        let victim = idle.min_by_key(|name| self.used.get(*name).copied())?;
        let (model, adapter) = victim.split_once('/')?;
        Some(Order {
            endpoint: ask.endpoint.clone(),
            action: Action::Unload,
            model: model.to_owned(),
            adapter: Some(adapter.to_owned()),
        })
    }
}

impl Ask {
    fn name(&self) -> String {
        format!("{}/{}", self.model, self.adapter)
    }
}

impl Machine for Steward {
    type Event<'a> = Event<'a>;
    type Command = Command;

    fn handle<S>(&mut self, now: Instant, event: Event<'_>, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        match event {
            Event::Asked {
                call,
                endpoint,
                model,
                adapter,
                slots,
            } => {
                let ask = Ask {
                    call,
                    endpoint: endpoint.to_owned(),
                    model: model.to_owned(),
                    adapter: adapter.to_owned(),
                    slots,
                };
                self.ask(now, ask, out);
            }
            Event::Directed { call, term, step } => {
                if term < self.term {
                    let accepted = false;
                    out.push(Command::Conclude { call, accepted });
                } else {
                    self.term = term;
                    self.directives.push_back((call, step.clone()));
                    if matches!(self.activity, Activity::Idle) {
                        self.inspect(out);
                    }
                }
            }
            Event::Left { call } => {
                self.asks.retain(|ask| ask.call != call);
                self.directives.retain(|&(waiting, _)| waiting != call);
            }
            Event::Inspected { view: Some(view) } => self.take(now, view, out),
            Event::Inspected { view: None } => self.activity = Activity::Pausing(now + PAUSE),
            Event::Ordered { outcome } => match outcome {
                Outcome::Accepted => self.inspect(out),
                Outcome::Refused | Outcome::Lost => {
                    self.activity = Activity::Pausing(now + PAUSE);
                }
            },
            Event::Ticked => {}
        }
        if matches!(self.activity, Activity::Pausing(until) if until <= now) {
            if self.asks.is_empty() && self.directives.is_empty() {
                self.activity = Activity::Idle;
            } else {
                self.inspect(out);
            }
        }
    }

    fn tick() -> Event<'static> {
        Event::Ticked
    }

    fn deadline(&self) -> Option<Instant> {
        match self.activity {
            Activity::Pausing(until) => Some(until),
            _ => None,
        }
    }
}

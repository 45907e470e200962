//! The decisions of a steward: which adapters its engine holds.
//!
//! Every order follows from one view of the engine and names the count of
//! orders that the view was taken at. The engine carries it out only at that
//! count, so an order that was lost and turns up later changes nothing, and
//! the engine is never ordered to hold more than fits.

mod adapter;
pub mod directive;
pub mod event;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use adapter::Ask;
pub use directive::{Directive, View};
pub use event::{Action, Command, Event, Order, Outcome};

use super::{Machine, Sink};

/// The pause before the engine is asked again while an adapter is on its way.
/// An adapter takes at least 5 ms from the store.
const POLL: Duration = Duration::from_millis(3);

/// The pause after an order that was refused or lost, or an inspection that failed.
const PAUSE: Duration = Duration::from_millis(40);

/// How long a directive waits for adapters that are asked for. The engine loads no
/// adapter while it loads a model, which takes seconds.
const ADAPTERS_FIRST: Duration = Duration::from_millis(300);

/// A steward's decision state.
#[derive(Debug, Default)]
pub struct Steward {
    activity: Activity,
    directives: VecDeque<Waiting>,
    /// Adapters that were ordered to be unloaded and are still there.
    leaving: BTreeSet<String>,
    /// The highest term of a leader that gave an order.
    term: u64,
    asks: VecDeque<Ask>,
    /// When each adapter was last asked for.
    used: BTreeMap<String, Instant>,
}

/// A directive that is to be carried out.
#[derive(Debug)]
struct Waiting {
    call: u64,
    directive: Directive,
    since: Instant,
}

#[derive(Debug, Default)]
enum Activity {
    #[default]
    Idle,
    Inspecting,
    /// An order is on its way; `leaves` is the adapter that it unloads.
    Ordering {
        leaves: Option<String>,
    },
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

    /// Takes a step that the engine's state allows: adapters first, then models.
    fn take<S>(&mut self, now: Instant, view: &View, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        self.answer(now, view, out);
        self.leaving.retain(|name| view.adapters.contains(name));
        self.used.retain(|name, _| {
            view.adapters.contains(name)
                || view.incoming.contains(name)
                || self.asks.iter().any(|ask| ask.name() == *name)
        });
        let missing = |ask: &&Ask| !view.incoming.contains(&ask.name());
        let ask = self.asks.iter().find(missing);
        let order = ask.and_then(|ask| self.order(now, view, ask));
        if let Some(order) = order {
            let unloads = order.action == Action::Unload;
            let leaves = order.adapter_name().filter(|_| unloads);
            let expected = view.accepted;
            out.push(Command::Order { order, expected });
            self.activity = Activity::Ordering { leaves };
            return;
        }
        let waited = |first: &Waiting| now >= first.since + ADAPTERS_FIRST;
        let due = self.asks.is_empty() || self.directives.front().is_some_and(waited);
        if due && self.direct(now, view, out) {
            return;
        }
        self.activity = if self.asks.is_empty() {
            Activity::Idle
        } else {
            Activity::Pausing(now + POLL)
        };
    }

    /// Takes the first directive a step further. Returns whether the engine is
    /// busy with it.
    fn direct<S>(&mut self, now: Instant, view: &View, out: &mut S) -> bool
    where
        S: Sink<Command = Command>,
    {
        let Some(Waiting {
            call, directive, ..
        }) = self.directives.front()
        else {
            return false;
        };
        let (call, expected) = (*call, view.accepted);
        if view.busy {
            self.activity = Activity::Pausing(now + PAUSE);
            return true;
        }
        let accepted = view.models.contains(&directive.load);
        if accepted || !directive.fits(view) {
            out.push(Command::Conclude { call, accepted });
            self.directives.pop_front();
            return self.direct(now, view, out);
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
        self.activity = Activity::Ordering { leaves: None };
        true
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
                    self.directives.push_back(Waiting {
                        call,
                        directive: step.clone(),
                        since: now,
                    });
                    if matches!(self.activity, Activity::Idle) {
                        self.inspect(out);
                    }
                }
            }
            Event::Left { call } => {
                self.asks.retain(|ask| ask.call != call);
                self.directives.retain(|waiting| waiting.call != call);
            }
            Event::Inspected { view: Some(view) } => self.take(now, view, out),
            Event::Inspected { view: None } => self.activity = Activity::Pausing(now + PAUSE),
            Event::Ordered { outcome } => match outcome {
                Outcome::Accepted => {
                    if let Activity::Ordering { leaves } = &mut self.activity {
                        self.leaving.extend(leaves.take());
                    }
                    self.inspect(out);
                }
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

//! The decisions of a steward: which adapters its engine holds.
//!
//! Every order follows from one view of the engine and names the count of
//! orders that the view was taken at. The engine carries it out only at that
//! count, so an order that was lost and turns up later changes nothing, and
//! the engine is never ordered to hold more than fits.

pub mod directive;
pub mod event;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

pub use directive::{Directive, View};
pub use event::{Action, Command, Event, Order, Outcome};

use super::{Machine, Sink};

/// The pause before the engine is asked again while an adapter is on its way.
/// An adapter takes at least 5 ms from the store.
const POLL: Duration = Duration::from_millis(3);

/// The pause after an order that was refused or lost, or an inspection that failed.
const PAUSE: Duration = Duration::from_millis(40);

/// How long an adapter must not have been used to make way: longer than most
/// answers take, since an adapter in use stays until they end.
const IDLE: Duration = Duration::from_secs(1);

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

/// A gateway that waits for an adapter.
#[derive(Debug)]
struct Ask {
    call: u64,
    endpoint: String,
    model: String,
    adapter: String,
    slots: usize,
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

    /// Answers those whose adapter is there, and those that can't get it soon.
    fn answer<S>(&mut self, now: Instant, view: &View, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        let asks = std::mem::take(&mut self.asks);
        for ask in asks {
            let hopeless = !view.models.contains(&ask.model) || ask.slots == 0;
            let coming = view.incoming.contains(&ask.name());
            let done = view.adapters.contains(&ask.name())
                || hopeless
                || (!coming && (view.busy || !self.has_place(now, view, &ask)));
            if done {
                let adapters = view.adapters.clone();
                let call = ask.call;
                out.push(Command::Answer { call, adapters });
            } else {
                self.asks.push_back(ask);
            }
        }
    }

    /// Whether a place for the adapter is free, is about to be, or can be made free.
    fn has_place(&self, now: Instant, view: &View, ask: &Ask) -> bool {
        let taken = view.adapters.len() + view.incoming.len();
        taken < ask.slots || !self.leaving.is_empty() || self.victim(now, view).is_some()
    }

    /// The adapter that makes way next: the least recently used one.
    fn victim<'a>(&self, now: Instant, view: &'a View) -> Option<&'a String> {
        let used = |name: &String| self.used.get(name).copied();
        let idle = view.adapters.iter().filter(|name| {
            let rests = used(name).is_none_or(|at| at + IDLE <= now);
            rests && !self.leaving.contains(*name)
        });
        idle.min_by_key(|name| used(name))
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

    /// The order that brings `ask` a step further, if one can.
    fn order(&self, now: Instant, view: &View, ask: &Ask) -> Option<Order> {
        let taken = view.adapters.len() + view.incoming.len();
        if taken < ask.slots {
            return Some(Order {
                endpoint: ask.endpoint.clone(),
                action: Action::Load,
                model: ask.model.clone(),
                adapter: Some(ask.adapter.clone()),
            });
        }
        if !self.leaving.is_empty() {
            return None;
        }
        let (model, adapter) = self.victim(now, view)?.split_once('/')?;
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

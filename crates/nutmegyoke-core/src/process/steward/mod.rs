//! The state machine of a steward, which orders its engine to load and unload adapters and
//! models.
//!
//! Gateways request adapters, and the gateway beside the leading replica sends directives
//! for models. Every order is based on one view of the engine and states how many orders
//! the engine had accepted by then. The engine executes the order only if that number
//! still matches. A lost order that arrives late thus has no effect, and the engine is
//! never ordered to hold more than fits. A [`fence`] bars orders to earlier starts of the engine.
//!
//! Gateways also ask whether a request may be sent to the engine, see [`admission`].

mod adapter;
pub mod admission;
mod ask;
pub mod directive;
pub mod event;
mod fence;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use adapter::Request;
pub use admission::{Answer, Ask, Ledger, Load};
use ask::{Question, Subject};
pub use directive::{Directive, View};
pub use event::{Action, Command, Event, Order, Outcome, Unanswered};
use fence::Fence;

use super::origin::{Build, Origins, Stream};
use super::{Machine, Sink};

/// Delay between inspections while an adapter is being loaded. Fetching an adapter
/// from the store takes at least 5 ms.
const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// Delay before the next inspection after an order that was refused or lost, after a
/// failed inspection, or while the engine loads or unloads a model.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// How long requests for adapters may delay a directive. The engine loads no adapter
/// while it loads a model, which takes seconds.
const DIRECTIVE_MAX_DELAY: Duration = Duration::from_millis(300);

/// The state of a steward.
#[derive(Debug, Default)]
pub struct Steward {
    activity: Activity,
    /// The fencing number of the orders to the engine's current start.
    fence: Fence,
    directives: VecDeque<Pending>,
    /// Adapters whose unload was accepted and that the engine still holds.
    unloading: BTreeSet<String>,
    /// The highest term of a leader that sent a directive.
    term: u64,
    requests: VecDeque<Request>,
    /// When each adapter was last requested, by MODEL/NAME.
    used: BTreeMap<String, Instant>,
    /// The start of the engine that the ledger is of; `None` until a gateway names one.
    subject: Option<Subject>,
    /// What is admitted to the engine.
    ledger: Ledger,
    /// The gateways that wait for a report of the engine's load.
    questions: Vec<Question>,
    /// When the report under way was requested.
    reporting: Option<Instant>,
    /// Whether that report may be of an earlier start of the engine.
    is_report_outdated: bool,
    /// The builds that began streams, kept for gateways, which may all be killed at once.
    origins: Origins,
}

/// A directive that waits for its load to be ordered.
#[derive(Debug)]
struct Pending {
    call: u64,
    directive: Directive,
    /// When it arrived.
    since: Instant,
}

/// The exchange in progress with the engine.
#[derive(Debug, Default)]
enum Activity {
    #[default]
    Idle,
    Inspecting,
    /// An order is in flight; `unloading` is the adapter that it unloads, if any.
    Ordering {
        unloading: Option<String>,
    },
    /// The next inspection waits until the given time.
    Pausing(Instant),
}

impl Steward {
    /// Opens the steward of an engine that checks fencing numbers, of which the first is `first`.
    #[must_use]
    pub fn open(first: u64) -> Self {
        Self {
            fence: Fence::open(first),
            ..Self::default()
        }
    }

    /// The build that began a stream, if a gateway told it.
    #[must_use]
    pub fn origin(&self, now: Instant, stream: Stream) -> Option<Build> {
        self.origins.build(now, stream)
    }

    fn request_adapter<S>(&mut self, now: Instant, request: Request, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        self.used.insert(request.name(), now);
        self.requests.push_back(request);
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

    /// Answers the requests that a view of the engine decides. Then issues the next order
    /// that the view allows, for adapters first, then for models.
    fn advance<S>(&mut self, now: Instant, view: &View, out: &mut S)
    where
        S: Sink<Command = Command>,
    {
        self.answer(now, view, out);
        self.unloading.retain(|name| view.adapters.contains(name));
        self.used.retain(|name, _| {
            view.adapters.contains(name)
                || view.incoming.contains(name)
                || self.requests.iter().any(|request| request.name() == *name)
        });
        let missing = |request: &&Request| !view.incoming.contains(&request.name());
        let request = self.requests.iter().find(missing);
        let order = request.and_then(|request| self.next_order(now, view, request));
        if let Some(order) = order {
            let is_unload = order.action == Action::Unload;
            let unloading = order.adapter_name().filter(|_| is_unload);
            out.push(self.order(view, order));
            self.activity = Activity::Ordering { unloading };
            return;
        }
        let overdue = |first: &Pending| now >= first.since + DIRECTIVE_MAX_DELAY;
        let due = self.requests.is_empty() || self.directives.front().is_some_and(overdue);
        if due && self.advance_directive(now, view, out) {
            return;
        }
        self.activity = if self.requests.is_empty() {
            Activity::Idle
        } else {
            Activity::Pausing(now + POLL_INTERVAL)
        };
    }

    /// Answers directives that are done or do not fit, and issues the next order of the first
    /// other one. Returns whether the engine is busy with an order or a model.
    fn advance_directive<S>(&mut self, now: Instant, view: &View, out: &mut S) -> bool
    where
        S: Sink<Command = Command>,
    {
        let Some(Pending {
            call, directive, ..
        }) = self.directives.front()
        else {
            return false;
        };
        let call = *call;
        if view.busy {
            self.activity = Activity::Pausing(now + RETRY_DELAY);
            return true;
        }
        let accepted = view.models.contains(&directive.load);
        if accepted || !directive.fits(view) {
            out.push(Command::AnswerDirective { call, accepted });
            self.directives.pop_front();
            return self.advance_directive(now, view, out);
        }
        let order = directive.next_order(view);
        if order.action == Action::Load {
            out.push(Command::AnswerDirective {
                call,
                accepted: true,
            });
            self.directives.pop_front();
        }
        out.push(self.order(view, order));
        self.activity = Activity::Ordering { unloading: None };
        true
    }

    /// The command to send an order that is based on `view`.
    fn order(&mut self, view: &View, order: Order) -> Command {
        Command::Order {
            order,
            expected: view.accepted,
            fence: self.fence.next(view.accepted),
        }
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
            Event::Requested {
                call,
                endpoint,
                model,
                adapter,
                adapter_capacity,
            } => {
                let request = Request {
                    call,
                    endpoint: endpoint.to_owned(),
                    model: model.to_owned(),
                    adapter: adapter.to_owned(),
                    adapter_capacity,
                };
                self.request_adapter(now, request, out);
            }
            Event::Directed {
                call,
                term,
                directive,
            } => {
                if term < self.term {
                    let accepted = false;
                    out.push(Command::AnswerDirective { call, accepted });
                } else {
                    self.term = term;
                    self.directives.push_back(Pending {
                        call,
                        directive: directive.clone(),
                        since: now,
                    });
                    if matches!(self.activity, Activity::Idle) {
                        self.inspect(out);
                    }
                }
            }
            Event::Cancelled { call } => {
                self.requests.retain(|request| request.call != call);
                self.directives.retain(|pending| pending.call != call);
                self.questions.retain(|question| question.call != call);
            }
            Event::Asked {
                call,
                endpoint,
                started_ms,
                ask,
            } => return self.ask(now, call, endpoint, started_ms, &ask, out),
            Event::Reported { load } => return self.report(now, load, out),
            Event::Inspected { view: Some(view) } => {
                self.fence.next(view.accepted);
                self.advance(now, view, out);
            }
            Event::Inspected { view: None } => self.activity = Activity::Pausing(now + RETRY_DELAY),
            Event::Ordered { outcome } => match outcome {
                Outcome::Accepted => {
                    if let Activity::Ordering { unloading } = &mut self.activity {
                        self.unloading.extend(unloading.take());
                    }
                    self.inspect(out);
                }
                Outcome::Fenced => {
                    self.fence.raise();
                    self.activity = Activity::Pausing(now + RETRY_DELAY);
                }
                Outcome::Refused | Outcome::Lost => {
                    self.activity = Activity::Pausing(now + RETRY_DELAY);
                }
            },
            Event::OriginNoted { stream, build } => self.origins.record(now, stream, build),
            Event::Ticked => {}
        }
        if matches!(self.activity, Activity::Pausing(until) if until <= now) {
            if self.requests.is_empty() && self.directives.is_empty() {
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

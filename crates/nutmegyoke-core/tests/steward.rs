//! Tests of the steward: which orders it issues for adapter requests and directives, and
//! that the engine never holds more adapters than it has slots.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use nutmegyoke_cases::{cases, config};
use nutmegyoke_core::process::steward::{Action, Command, Directive, Event, Order, Outcome, View};
use nutmegyoke_core::process::{Machine, Steward};
use proptest::prelude::*;

const SLOTS: usize = 2;

/// A simulated engine that carries out an order at once or, if it got lost, later.
#[derive(Debug, Default)]
struct Engine {
    view: View,
    /// The highest fencing number of this start.
    fence: u64,
    /// Orders that got no answer and may be carried out at any time, each with the
    /// number of accepted orders that it expects and its fencing number.
    lost: Vec<(Order, u64, u64)>,
    /// Adapters that requests use. Their unload takes effect when the requests end.
    in_use: Vec<String>,
    /// Adapters in use whose unload was accepted.
    unloading: Vec<String>,
}

impl Engine {
    fn open(models: &[&str]) -> Self {
        let models = models.iter().map(ToString::to_string).collect();
        let view = View {
            models,
            ..View::default()
        };
        Self {
            view,
            ..Self::default()
        }
    }

    /// Starts again under the same id, and holds nothing but its models.
    fn restart(&mut self) {
        self.view = View {
            models: std::mem::take(&mut self.view.models),
            ..View::default()
        };
        self.fence = 0;
        self.in_use.clear();
        self.unloading.clear();
    }

    fn execute(&mut self, order: &Order, expected: u64, fence: u64) -> Outcome {
        if fence < self.fence {
            return Outcome::Fenced;
        }
        if expected != self.view.accepted || self.view.busy {
            return Outcome::Refused;
        }
        self.fence = fence;
        if self.defer_unload(order) {
            return Outcome::Accepted;
        }
        self.view.accepted += 1;
        let (held, name) = match &order.adapter {
            Some(adapter) => {
                let name = format!("{}/{adapter}", order.model);
                (&mut self.view.adapters, name)
            }
            None => (&mut self.view.models, order.model.clone()),
        };
        match order.action {
            Action::Load => held.push(name),
            Action::Unload => held.retain(|other| *other != name),
        }
        assert!(self.view.adapters.len() <= SLOTS, "{:?}", self.view);
        Outcome::Accepted
    }
}

impl Engine {
    /// Returns whether the order is to unload an adapter in use, which is accepted but
    /// does not take effect yet.
    fn defer_unload(&mut self, order: &Order) -> bool {
        let Some(adapter) = &order.adapter else {
            return false;
        };
        let name = format!("{}/{adapter}", order.model);
        if order.action == Action::Load || !self.in_use.contains(&name) {
            return false;
        }
        if !self.unloading.contains(&name) {
            self.unloading.push(name);
            self.view.accepted += 1;
        }
        true
    }
}

/// A steward with a simulated engine, and the steward's answers and orders.
struct Harness {
    now: Instant,
    steward: Steward,
    engine: Engine,
    /// The answers to requests for adapters, by call.
    request_answers: BTreeMap<u64, Vec<String>>,
    /// Whether each directive was accepted, by call.
    directive_answers: BTreeMap<u64, bool>,
    orders: Vec<Order>,
}

impl Harness {
    fn open(models: &[&str]) -> Self {
        Self {
            now: Instant::now(),
            steward: Steward::default(),
            engine: Engine::open(models),
            request_answers: BTreeMap::new(),
            directive_answers: BTreeMap::new(),
            orders: Vec::new(),
        }
    }

    /// Feeds an event and carries out the commands that follow, except for orders for
    /// which `lose` returns true.
    fn feed(&mut self, event: Event<'_>, mut lose: impl FnMut() -> bool) {
        let mut out = Vec::new();
        self.steward.handle(self.now, event, &mut out);
        while !out.is_empty() {
            let mut next = Vec::new();
            for command in out {
                self.run_command(command, &mut next, &mut lose);
            }
            out = next;
        }
    }

    fn run_command(
        &mut self,
        command: Command,
        out: &mut Vec<Command>,
        lose: &mut impl FnMut() -> bool,
    ) {
        match command {
            Command::Inspect => {
                let view = self.engine.view.clone();
                let view = Some(&view);
                self.steward
                    .handle(self.now, Event::Inspected { view }, out);
            }
            Command::Order {
                order,
                expected,
                fence,
            } => {
                self.orders.push(order.clone());
                let outcome = if lose() {
                    self.engine.lost.push((order, expected, fence));
                    Outcome::Lost
                } else {
                    self.engine.execute(&order, expected, fence)
                };
                self.steward
                    .handle(self.now, Event::Ordered { outcome }, out);
            }
            Command::AnswerRequest { call, adapters } => {
                self.request_answers.insert(call, adapters);
            }
            Command::AnswerDirective { call, accepted } => {
                self.directive_answers.insert(call, accepted);
            }
            Command::Report | Command::AnswerAsk { .. } => panic!("nobody asked for room"),
        }
    }

    fn request_adapter(&mut self, call: u64, model: &str, adapter: &str) {
        let request = Event::Requested {
            call,
            endpoint: "engine-1",
            model,
            adapter,
            adapter_capacity: SLOTS,
        };
        self.feed(request, || false);
    }

    fn send_directive(&mut self, call: u64, term: u64, unload: &[&str], load: &str) {
        let size = |name: &str| (name.to_owned(), 60.0);
        let directive = Directive {
            endpoint: "engine-1".to_owned(),
            unload: unload.iter().map(ToString::to_string).collect(),
            load: load.to_owned(),
            memory_mb: 130.0,
            sizes: vec![size("grade"), size("price"), size("lot")],
        };
        let directive = &directive;
        self.feed(
            Event::Directed {
                call,
                term,
                directive,
            },
            || false,
        );
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.feed(Event::Ticked, || false);
    }
}

#[test]
fn missing_adapter_is_loaded_and_reported() {
    let mut harness = Harness::open(&["price"]);
    harness.request_adapter(1, "price", "a1");
    assert_eq!(harness.request_answers[&1], ["price/a1"]);
}

#[test]
fn loaded_adapter_needs_no_order() {
    let mut harness = Harness::open(&["price"]);
    harness.request_adapter(1, "price", "a1");
    harness.request_adapter(2, "price", "a1");
    assert_eq!(harness.orders.len(), 1);
}

#[test]
fn least_recently_requested_adapter_is_evicted() {
    let mut harness = Harness::open(&["price"]);
    for (call, adapter) in [(1, "a1"), (2, "a2"), (3, "a1"), (4, "a3")] {
        harness.now += Duration::from_secs(1);
        harness.request_adapter(call, "price", adapter);
    }
    assert_eq!(harness.request_answers[&4], ["price/a1", "price/a3"]);
}

#[test]
fn adapter_of_a_model_that_is_not_loaded_is_not_ordered() {
    let mut harness = Harness::open(&["price"]);
    harness.request_adapter(1, "grade", "a1");
    assert!(harness.request_answers[&1].is_empty());
    assert!(harness.orders.is_empty());
}

#[test]
fn cancelled_request_issues_no_order() {
    let mut harness = Harness::open(&["price"]);
    harness.engine.view.incoming = vec!["price/a1".to_owned()];
    harness.request_adapter(1, "price", "a1");
    harness.feed(Event::Cancelled { call: 1 }, || false);
    harness.engine.view.incoming.clear();
    harness.advance(Duration::from_secs(1));
    assert!(harness.orders.is_empty());
}

#[test]
fn unload_of_an_adapter_in_use_is_ordered_once() {
    let mut harness = Harness::open(&["price"]);
    harness.request_adapter(1, "price", "a1");
    harness.request_adapter(2, "price", "a2");
    harness.engine.in_use = vec!["price/a1".to_owned()];
    harness.now += Duration::from_secs(2);
    harness.request_adapter(3, "price", "a3");
    for _ in 0..100 {
        harness.advance(Duration::from_millis(5));
    }
    let unloads = harness.orders.iter();
    let unloads = unloads.filter(|order| order.action == Action::Unload);
    assert_eq!(unloads.count(), 1);
    harness.engine.view.adapters.remove(0);
    harness.advance(Duration::from_millis(50));
    assert_eq!(harness.request_answers[&3], ["price/a2", "price/a3"]);
}

#[test]
fn recently_requested_adapters_are_not_evicted() {
    let mut harness = Harness::open(&["price"]);
    for (call, adapter) in [(1, "a1"), (2, "a2"), (3, "a3")] {
        harness.request_adapter(call, "price", adapter);
    }
    assert_eq!(harness.request_answers[&3], ["price/a1", "price/a2"]);
    assert_eq!(harness.orders.len(), 2);
}

#[test]
fn adapter_request_is_answered_at_once_while_the_engine_is_busy() {
    let mut harness = Harness::open(&["price"]);
    harness.engine.view.busy = true;
    harness.request_adapter(1, "price", "a1");
    assert!(harness.request_answers[&1].is_empty());
    assert!(harness.orders.is_empty());
}

#[test]
fn adapter_request_is_served_before_a_directive() {
    let mut harness = Harness::open(&["price"]);
    harness.engine.view.incoming = vec!["price/a1".to_owned()];
    harness.request_adapter(1, "price", "a1");
    harness.send_directive(2, 1, &[], "lot");
    assert!(!harness.directive_answers.contains_key(&2));
    harness.engine.view.incoming.clear();
    harness.advance(Duration::from_millis(5));
    assert_eq!(harness.request_answers[&1], ["price/a1"]);
    assert!(harness.directive_answers[&2]);
}

#[test]
fn directive_waits_for_adapters_only_for_a_limited_time() {
    let mut harness = Harness::open(&["price"]);
    harness.engine.view.incoming = vec!["price/a1".to_owned()];
    harness.request_adapter(1, "price", "a1");
    harness.send_directive(2, 1, &[], "lot");
    harness.advance(Duration::from_millis(400));
    assert!(harness.directive_answers[&2]);
}

/// An order for an earlier start of the engine, which got no answer, fitted the count of a later one
/// under the same id. It made more adapters than there are slots, and the engine crashed.
fn late_order_of_an_earlier_start_is_refused(steward: Option<u64>) {
    const FIRST: u64 = 1_700_000_000_000;
    let mut harness = Harness::open(&["price"]);
    harness.steward = Steward::open(FIRST);
    for (call, adapter) in (1..).zip(["a1", "a2", "a3"]) {
        harness.request_adapter(call, "price", adapter);
        harness.now += Duration::from_secs(2);
    }
    let request = Event::Requested {
        call: 4,
        endpoint: "engine-1",
        model: "price",
        adapter: "a4",
        adapter_capacity: SLOTS,
    };
    harness.feed(request, || true);
    let (order, expected, fence) = harness.engine.lost.pop().expect("no order is lost");
    harness.feed(Event::Cancelled { call: 4 }, || false);
    harness.engine.restart();
    if let Some(first) = steward {
        harness.steward = Steward::open(first);
    }
    for (call, adapter) in (5..).zip(["a5", "a6"]) {
        harness.request_adapter(call, "price", adapter);
        for _ in 0..100 {
            harness.advance(Duration::from_millis(50));
        }
    }
    assert_eq!(harness.request_answers[&6], ["price/a5", "price/a6"]);
    // The new start has accepted as many orders as the lost one expects.
    harness.engine.view.accepted = expected;
    let outcome = harness.engine.execute(&order, expected, fence);
    assert_eq!(outcome, Outcome::Fenced);
}

cases!(late_order_of_an_earlier_start_is_refused {
    by_the_same_run_of_the_steward: (None),
    by_a_later_run_of_the_steward: (Some(1_700_000_060_000)),
});

/// A steward whose clock was set back while it restarted has a lower number than the engine has seen,
/// and must not be refused for good.
#[test]
fn restarted_steward_passes_the_number_that_the_engine_has_seen() {
    let mut harness = Harness::open(&["price"]);
    harness.steward = Steward::open(1_700_000_000_000);
    harness.request_adapter(1, "price", "a1");
    harness.steward = Steward::open(1_699_999_990_000);
    harness.request_adapter(2, "price", "a2");
    for _ in 0..100 {
        harness.advance(Duration::from_millis(50));
    }
    assert_eq!(harness.request_answers[&2], ["price/a1", "price/a2"]);
}

/// An engine that doesn't check fences must not get a lower number after a higher one.
#[test]
fn number_is_constant_where_it_is_not_checked() {
    let mut harness = Harness::open(&["price"]);
    harness.request_adapter(1, "price", "a1");
    let first = harness.engine.fence;
    harness.engine.restart();
    harness.steward = Steward::default();
    harness.request_adapter(2, "price", "a1");
    assert_eq!(harness.engine.fence, first);
}

/// Checks whether a directive is accepted, and which models the engine holds after it.
fn directive_outcome(unload: &[&str], load: &str, accepted: bool, models: &[&str]) {
    let mut harness = Harness::open(&["grade", "price"]);
    harness.send_directive(1, 1, unload, load);
    assert_eq!(harness.directive_answers[&1], accepted);
    assert_eq!(harness.engine.view.models, models);
}

cases!(directive_outcome {
    unload_precedes_load: (&["grade"], "lot", true, &["price", "lot"]),
    load_that_does_not_fit_is_refused: (&[], "lot", false, &["grade", "price"]),
    load_of_a_loaded_model_changes_nothing: (&["price"], "grade", true, &["grade", "price"]),
    load_of_a_model_of_unknown_size_is_refused: (&["grade"], "weigh", false, &["grade", "price"]),
});

#[test]
fn directive_of_an_earlier_term_is_refused() {
    let mut harness = Harness::open(&["grade"]);
    harness.send_directive(1, 5, &[], "price");
    harness.send_directive(2, 4, &["price"], "lot");
    assert!(!harness.directive_answers[&2]);
    assert_eq!(harness.engine.view.models, ["grade", "price"]);
}

#[test]
fn directive_is_retried_while_the_engine_is_busy() {
    let mut harness = Harness::open(&["grade"]);
    harness.engine.view.busy = true;
    harness.send_directive(1, 1, &[], "price");
    assert!(harness.orders.is_empty());
    harness.engine.view.busy = false;
    harness.advance(Duration::from_secs(1));
    assert_eq!(harness.engine.view.models, ["grade", "price"]);
}

proptest! {
    #![proptest_config(config(300))]

    /// Orders get lost at random, and the engine may carry out a lost one later.
    #[test]
    fn adapter_slots_are_never_exceeded(
        steps in prop::collection::vec((0..6_u8, any::<bool>(), any::<bool>()), 1..60)
    ) {
        let mut harness = Harness::open(&["price"]);
        for (call, (adapter, lose, delayed)) in (0_u64..).zip(steps) {
            let name = format!("a{adapter}");
            let request = Event::Requested {
                call,
                endpoint: "engine-1",
                model: "price",
                adapter: &name,
                adapter_capacity: SLOTS,
            };
            harness.feed(request, || lose);
            if delayed && let Some((order, expected, fence)) = harness.engine.lost.pop() {
                harness.engine.execute(&order, expected, fence);
            }
            harness.now += Duration::from_millis(50);
            harness.feed(Event::Ticked, || lose);
        }
        for _ in 0..200 {
            harness.advance(Duration::from_millis(50));
        }
        prop_assert!(
            harness.steward.deadline().is_none(),
            "the steward still has a deadline after all requests should be answered"
        );
    }
}

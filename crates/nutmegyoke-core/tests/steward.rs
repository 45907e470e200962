//! The steward: what it orders, and that the engine never holds too much.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use nutmegyoke_cases::{cases, config};
use nutmegyoke_core::process::steward::{Action, Command, Directive, Event, Order, Outcome, View};
use nutmegyoke_core::process::{Machine, Steward};
use proptest::prelude::*;

const SLOTS: usize = 2;

/// An engine that carries orders out at once, and some of them late.
#[derive(Debug, Default)]
struct Engine {
    view: View,
    /// Orders that got no answer and may be carried out at any time.
    lost: Vec<(Order, u64)>,
    /// Adapters that requests use; one that is unloaded stays until they end.
    used: Vec<String>,
    leaving: Vec<String>,
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

    fn take(&mut self, order: &Order, expected: u64) -> Outcome {
        if expected != self.view.accepted || self.view.busy {
            return Outcome::Refused;
        }
        if self.stays(order) {
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
    /// Whether the order is to unload an adapter that is in use.
    fn stays(&mut self, order: &Order) -> bool {
        let Some(adapter) = &order.adapter else {
            return false;
        };
        let name = format!("{}/{adapter}", order.model);
        if order.action == Action::Load || !self.used.contains(&name) {
            return false;
        }
        if !self.leaving.contains(&name) {
            self.leaving.push(name);
            self.view.accepted += 1;
        }
        true
    }
}

/// A steward with its engine.
struct Bed {
    now: Instant,
    steward: Steward,
    engine: Engine,
    answers: BTreeMap<u64, Vec<String>>,
    conclusions: BTreeMap<u64, bool>,
    orders: Vec<Order>,
}

impl Bed {
    fn open(models: &[&str]) -> Self {
        Self {
            now: Instant::now(),
            steward: Steward::default(),
            engine: Engine::open(models),
            answers: BTreeMap::new(),
            conclusions: BTreeMap::new(),
            orders: Vec::new(),
        }
    }

    /// Feeds an event and plays the engine; it loses orders as `lose` says.
    fn feed(&mut self, event: Event<'_>, mut lose: impl FnMut() -> bool) {
        let mut out = Vec::new();
        self.steward.handle(self.now, event, &mut out);
        while !out.is_empty() {
            let mut next = Vec::new();
            for command in out {
                self.play(command, &mut next, &mut lose);
            }
            out = next;
        }
    }

    fn play(&mut self, command: Command, out: &mut Vec<Command>, lose: &mut impl FnMut() -> bool) {
        match command {
            Command::Inspect => {
                let view = self.engine.view.clone();
                let view = Some(&view);
                self.steward
                    .handle(self.now, Event::Inspected { view }, out);
            }
            Command::Order { order, expected } => {
                self.orders.push(order.clone());
                let outcome = if lose() {
                    self.engine.lost.push((order, expected));
                    Outcome::Lost
                } else {
                    self.engine.take(&order, expected)
                };
                self.steward
                    .handle(self.now, Event::Ordered { outcome }, out);
            }
            Command::Answer { call, adapters } => {
                self.answers.insert(call, adapters);
            }
            Command::Conclude { call, accepted } => {
                self.conclusions.insert(call, accepted);
            }
        }
    }

    fn ask(&mut self, call: u64, model: &str, adapter: &str) {
        let asked = Event::Requested {
            call,
            endpoint: "engine-1",
            model,
            adapter,
            slots: SLOTS,
        };
        self.feed(asked, || false);
    }

    fn direct(&mut self, call: u64, term: u64, unload: &[&str], load: &str) {
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

    fn wait(&mut self, time: Duration) {
        self.now += time;
        self.feed(Event::Ticked, || false);
    }
}

#[test]
fn missing_adapter_is_loaded_and_told() {
    let mut bed = Bed::open(&["price"]);
    bed.ask(1, "price", "a1");
    assert_eq!(bed.answers[&1], ["price/a1"]);
}

#[test]
fn held_adapter_needs_no_order() {
    let mut bed = Bed::open(&["price"]);
    bed.ask(1, "price", "a1");
    bed.ask(2, "price", "a1");
    assert_eq!(bed.orders.len(), 1);
}

#[test]
fn least_recently_asked_adapter_makes_way() {
    let mut bed = Bed::open(&["price"]);
    for (call, adapter) in [(1, "a1"), (2, "a2"), (3, "a1"), (4, "a3")] {
        bed.now += Duration::from_secs(1);
        bed.ask(call, "price", adapter);
    }
    assert_eq!(bed.answers[&4], ["price/a1", "price/a3"]);
}

#[test]
fn adapter_of_a_model_that_is_not_there_is_not_ordered() {
    let mut bed = Bed::open(&["price"]);
    bed.ask(1, "grade", "a1");
    assert!(bed.answers[&1].is_empty());
    assert!(bed.orders.is_empty());
}

#[test]
fn nobody_is_ordered_for_a_gateway_that_left() {
    let mut bed = Bed::open(&["price"]);
    bed.engine.view.incoming = vec!["price/a1".to_owned()];
    bed.ask(1, "price", "a1");
    bed.feed(Event::Cancelled { call: 1 }, || false);
    bed.engine.view.incoming.clear();
    bed.wait(Duration::from_secs(1));
    assert!(bed.orders.is_empty());
}

#[test]
fn adapter_in_use_is_unloaded_once() {
    let mut bed = Bed::open(&["price"]);
    bed.ask(1, "price", "a1");
    bed.ask(2, "price", "a2");
    bed.engine.used = vec!["price/a1".to_owned()];
    bed.now += Duration::from_secs(2);
    bed.ask(3, "price", "a3");
    for _ in 0..100 {
        bed.wait(Duration::from_millis(5));
    }
    let unloads = bed.orders.iter();
    let unloads = unloads.filter(|order| order.action == Action::Unload);
    assert_eq!(unloads.count(), 1);
    bed.engine.view.adapters.remove(0);
    bed.wait(Duration::from_millis(50));
    assert_eq!(bed.answers[&3], ["price/a2", "price/a3"]);
}

#[test]
fn adapters_used_a_moment_ago_do_not_make_way() {
    let mut bed = Bed::open(&["price"]);
    for (call, adapter) in [(1, "a1"), (2, "a2"), (3, "a3")] {
        bed.ask(call, "price", adapter);
    }
    assert_eq!(bed.answers[&3], ["price/a1", "price/a2"]);
    assert_eq!(bed.orders.len(), 2);
}

#[test]
fn adapter_is_not_waited_for_while_a_model_is_loaded() {
    let mut bed = Bed::open(&["price"]);
    bed.engine.view.busy = true;
    bed.ask(1, "price", "a1");
    assert!(bed.answers[&1].is_empty());
    assert!(bed.orders.is_empty());
}

#[test]
fn adapters_come_before_models() {
    let mut bed = Bed::open(&["price"]);
    bed.engine.view.incoming = vec!["price/a1".to_owned()];
    bed.ask(1, "price", "a1");
    bed.direct(2, 1, &[], "lot");
    assert!(!bed.conclusions.contains_key(&2));
    bed.engine.view.incoming.clear();
    bed.wait(Duration::from_millis(5));
    assert_eq!(bed.answers[&1], ["price/a1"]);
    assert!(bed.conclusions[&2]);
}

#[test]
fn model_does_not_wait_for_adapters_without_end() {
    let mut bed = Bed::open(&["price"]);
    bed.engine.view.incoming = vec!["price/a1".to_owned()];
    bed.ask(1, "price", "a1");
    bed.direct(2, 1, &[], "lot");
    bed.wait(Duration::from_millis(400));
    assert!(bed.conclusions[&2]);
}

/// Ends with `models` held after a directive, which is told to be `accepted`.
fn directs(unload: &[&str], load: &str, accepted: bool, models: &[&str]) {
    let mut bed = Bed::open(&["grade", "price"]);
    bed.direct(1, 1, unload, load);
    assert_eq!(bed.conclusions[&1], accepted);
    assert_eq!(bed.engine.view.models, models);
}

cases!(directs {
    unloads_before_it_loads: (&["grade"], "lot", true, &["price", "lot"]),
    refuses_what_does_not_fit: (&[], "lot", false, &["grade", "price"]),
    held_model_is_left_alone: (&["price"], "grade", true, &["grade", "price"]),
    unknown_model_does_not_fit: (&["grade"], "weigh", false, &["grade", "price"]),
});

#[test]
fn order_of_an_older_leader_is_refused() {
    let mut bed = Bed::open(&["grade"]);
    bed.direct(1, 5, &[], "price");
    bed.direct(2, 4, &["price"], "lot");
    assert!(!bed.conclusions[&2]);
    assert_eq!(bed.engine.view.models, ["grade", "price"]);
}

#[test]
fn busy_engine_is_asked_again() {
    let mut bed = Bed::open(&["grade"]);
    bed.engine.view.busy = true;
    bed.direct(1, 1, &[], "price");
    assert!(bed.orders.is_empty());
    bed.engine.view.busy = false;
    bed.wait(Duration::from_secs(1));
    assert_eq!(bed.engine.view.models, ["grade", "price"]);
}

proptest! {
    #![proptest_config(config(300))]

    /// Orders get lost and are carried out late, at any moment.
    #[test]
    fn engine_never_holds_too_much(
        steps in prop::collection::vec((0..6_u8, any::<bool>(), any::<bool>()), 1..60)
    ) {
        let mut bed = Bed::open(&["price"]);
        for (call, (adapter, lose, late)) in (0_u64..).zip(steps) {
            let name = format!("a{adapter}");
            let asked = Event::Requested {
                call,
                endpoint: "engine-1",
                model: "price",
                adapter: &name,
                slots: SLOTS,
            };
            bed.feed(asked, || lose);
            if late && let Some((order, expected)) = bed.engine.lost.pop() {
                bed.engine.take(&order, expected);
            }
            bed.now += Duration::from_millis(50);
            bed.feed(Event::Ticked, || lose);
        }
        for _ in 0..200 {
            bed.wait(Duration::from_millis(50));
        }
        prop_assert!(bed.steward.deadline().is_none(), "nobody waits any more");
    }
}

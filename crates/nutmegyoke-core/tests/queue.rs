//! The queue in front of an endpoint: order, fairness, bounds, no loss.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use nutmegyoke_cases::{cases, config};
use nutmegyoke_core::process::agent::queue::{Item, MAX_BYTES, MAX_REQUESTS, Queue};
use nutmegyoke_core::request::arrival::Destination;
use proptest::prelude::*;

/// An item: customer, priority, deadline in seconds.
fn item(base: Instant, call: u64, customer: &str, priority: u8, deadline: u64) -> Item {
    Item {
        call,
        customer: customer.into(),
        destination: Destination::Service {
            service: "desk".into(),
        },
        priority,
        first_token_due: None,
        deadline: base + Duration::from_secs(deadline),
        cost: 1,
        bytes: 0,
    }
}

fn order(queue: &mut Queue) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop().map(|item| item.call)).collect()
}

/// Items are (customer, priority, deadline), called 0, 1, 2 and so on.
fn serves(items: &[(&str, u8, u64)], expected: &[u64]) {
    let base = Instant::now();
    let mut queue = Queue::default();
    for (call, &(customer, priority, deadline)) in (0..).zip(items) {
        assert!(
            queue
                .push(item(base, call, customer, priority, deadline))
                .is_empty()
        );
    }
    assert_eq!(order(&mut queue), expected);
    assert!(queue.is_empty());
}

cases!(serves {
    first_come: (&[("a", 5, 9), ("a", 5, 9), ("a", 5, 9)], &[0, 1, 2]),
    earlier_deadline: (&[("a", 5, 9), ("a", 5, 3)], &[1, 0]),
    priority_before_deadline: (&[("a", 5, 3), ("a", 2, 9)], &[1, 0]),
    customers_in_turn: (
        &[
            ("a", 5, 9),
            ("a", 5, 9),
            ("a", 5, 9),
            ("b", 5, 9),
            ("b", 5, 9)
        ],
        &[0, 3, 1, 4, 2]
    ),
    priority_is_a_share_between_customers: (
        &[
            ("a", 0, 9),
            ("a", 0, 9),
            ("a", 0, 9),
            ("b", 5, 9),
            ("b", 5, 9)
        ],
        // Weights 10 and 5: two of a for one of b.
        &[0, 3, 1, 2, 4]
    ),
    urgent_burst_starves_no_one: (
        &[("a", 0, 1), ("a", 0, 1), ("a", 0, 1), ("z", 9, 99)],
        &[0, 3, 1, 2]
    ),
});

#[test]
fn latecomer_is_served_next() {
    let base = Instant::now();
    let mut queue = Queue::default();
    for call in 0..100 {
        queue.push(item(base, call, "burst", 5, 9));
    }
    for _ in 0..50 {
        queue.pop();
    }
    queue.push(item(base, 1000, "late", 5, 9));
    let next = [queue.pop(), queue.pop()];
    assert!(next.iter().flatten().any(|item| item.call == 1000));
}

#[test]
fn full_queue_pushes_the_burst_out() {
    let base = Instant::now();
    let mut queue = Queue::default();
    for call in 0..MAX_REQUESTS as u64 {
        assert!(queue.push(item(base, call, "burst", 5, 9)).is_empty());
    }
    let refused = queue.push(item(base, 900, "burst", 5, 9));
    assert_eq!(refused[0].call, 900);
    let refused = queue.push(item(base, 901, "other", 5, 9));
    assert_eq!(refused[0].customer, "burst".into());
    assert_eq!(queue.len(), MAX_REQUESTS);
}

#[test]
fn bytes_are_bounded() {
    let base = Instant::now();
    let mut queue = Queue::default();
    let large = |call| Item {
        bytes: MAX_BYTES / 2,
        ..item(base, call, "a", 5, 9)
    };
    assert!(queue.push(large(1)).is_empty());
    assert!(queue.push(large(2)).is_empty());
    assert_eq!(queue.push(large(3))[0].call, 3);
    assert_eq!(queue.bytes(), MAX_BYTES);
    let longer = Item {
        bytes: MAX_BYTES + 1,
        ..item(base, 4, "b", 0, 1)
    };
    assert_eq!(queue.push(longer)[0].call, 4);
    assert_eq!(queue.len(), 2);
}

#[test]
fn expired_items_leave() {
    let base = Instant::now();
    let mut queue = Queue::default();
    queue.push(item(base, 1, "a", 5, 10));
    queue.push(Item {
        first_token_due: Some(base + Duration::from_secs(2)),
        ..item(base, 2, "a", 5, 10)
    });
    assert_eq!(queue.deadline(), Some(base + Duration::from_secs(2)));
    assert_eq!(queue.expire(base + Duration::from_secs(1)), []);
    let expired = queue.expire(base + Duration::from_secs(2));
    assert_eq!(expired[0].call, 2);
    // Hours later, as after a pause of the VM.
    let expired = queue.expire(base + Duration::from_hours(9));
    assert_eq!(expired[0].call, 1);
    assert_eq!(queue.deadline(), None);
}

#[test]
fn ahead_is_what_is_served_before() {
    let base = Instant::now();
    let mut queue = Queue::default();
    for call in 0..10 {
        queue.push(item(base, call, "a", 5, 9));
    }
    // A newcomer waits for one request of the burst, not for ten.
    assert_eq!(queue.cost_ahead(&item(base, 20, "b", 5, 9)), 1);
    assert_eq!(queue.cost_ahead(&item(base, 20, "a", 5, 9)), 10);
    assert_eq!(queue.cost_ahead(&item(base, 20, "a", 0, 9)), 0);
}

/// One thing that happens to a queue.
#[derive(Clone, Debug)]
enum Step {
    Push {
        customer: u8,
        priority: u8,
        deadline: u64,
        cost: u64,
        bytes: usize,
    },
    Pop,
    Remove {
        call: u64,
    },
    Expire {
        seconds: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let push = (
        0..6_u8,
        0..12_u8,
        0..3600_u64,
        0..5000_u64,
        0..(MAX_BYTES / 16),
    );
    prop_oneof![
        6 => push.prop_map(|(customer, priority, deadline, cost, bytes)| Step::Push {
            customer, priority, deadline, cost, bytes
        }),
        3 => Just(Step::Pop),
        1 => (0..400_u64).prop_map(|call| Step::Remove { call }),
        1 => (0..7200_u64).prop_map(|seconds| Step::Expire { seconds }),
    ]
}

proptest! {
    #![proptest_config(config(256))]

    /// Whatever happens, each request leaves exactly once and the bounds hold.
    #[test]
    fn nothing_is_lost(steps in prop::collection::vec(step(), 1..600)) {
        let base = Instant::now();
        let mut queue = Queue::default();
        let mut inside = BTreeSet::new();
        let mut bytes = BTreeMap::new();
        for (call, step) in (0..).zip(steps) {
            let left = match step {
                Step::Push { customer, priority, deadline, cost, bytes: length } => {
                    inside.insert(call);
                    bytes.insert(call, length);
                    queue.push(Item {
                        cost,
                        bytes: length,
                        ..item(base, call, &customer.to_string(), priority, deadline)
                    })
                }
                Step::Pop => queue.pop().into_iter().collect(),
                Step::Remove { call } => queue.remove(call).into_iter().collect(),
                Step::Expire { seconds } => queue.expire(base + Duration::from_secs(seconds)),
            };
            for item in left {
                prop_assert!(inside.remove(&item.call), "{} left twice", item.call);
            }
            prop_assert_eq!(queue.len(), inside.len());
            prop_assert!(queue.len() <= MAX_REQUESTS);
            let total: usize = inside.iter().map(|call| bytes[call]).sum();
            prop_assert_eq!(queue.bytes(), total);
            prop_assert!(total <= MAX_BYTES);
        }
        let rest: BTreeSet<u64> = queue.drain().iter().map(|item| item.call).collect();
        prop_assert_eq!(rest, inside);
        prop_assert_eq!(queue.bytes(), 0);
        prop_assert_eq!(queue.cost(), 0);
        prop_assert_eq!(queue.deadline(), None);
    }

    /// While two customers both wait, the work served for each, over its weight,
    /// differs by no more than one request of each.
    #[test]
    fn service_is_fair(
        flows in prop::collection::vec((0..10_u8, prop::collection::vec(1..2000_u64, 20..40)), 2..6),
        served in 1..100_usize,
    ) {
        let base = Instant::now();
        let mut queue = Queue::default();
        let mut call = 0;
        let mut waiting = BTreeMap::new();
        for (customer, (priority, costs)) in flows.iter().enumerate() {
            waiting.insert(customer.to_string(), costs.len());
            for &cost in costs {
                call += 1;
                queue.push(Item { cost, ..item(base, call, &customer.to_string(), *priority, 60) });
            }
        }
        let mut work: BTreeMap<String, u64> = BTreeMap::new();
        for _ in 0..served {
            let Some(item) = queue.pop() else { break };
            let name = item.customer.to_string();
            *work.entry(name.clone()).or_default() += item.cost;
            *waiting.get_mut(&name).unwrap() -= 1;
            if waiting[&name] == 0 {
                break;
            }
        }
        let weight = |priority: u8| f64::from(10 - priority);
        let largest = |costs: &[u64]| f64::from(u32::try_from(*costs.iter().max().unwrap()).unwrap());
        for (one, (p, costs)) in flows.iter().enumerate() {
            for (two, (q, others)) in flows.iter().enumerate().skip(one + 1) {
                let share = |index: usize, priority| {
                    let work = work.get(&index.to_string()).copied().unwrap_or(0);
                    f64::from(u32::try_from(work).unwrap()) / weight(priority)
                };
                let gap = (share(one, *p) - share(two, *q)).abs();
                let bound = largest(costs) / weight(*p) + largest(others) / weight(*q);
                prop_assert!(gap <= bound + 1e-6, "{gap} > {bound}");
            }
        }
    }

    /// Within a customer no request overtakes a more urgent one.
    #[test]
    fn order_within_a_customer(items in prop::collection::vec((0..4_u8, 0..10_u8, 0..100_u64), 1..200)) {
        let base = Instant::now();
        let mut queue = Queue::default();
        for (call, &(customer, priority, deadline)) in (0..).zip(&items) {
            queue.push(item(base, call, &customer.to_string(), priority, deadline));
        }
        let mut last = BTreeMap::new();
        while let Some(item) = queue.pop() {
            let rank = (item.priority, item.deadline, item.call);
            if let Some(before) = last.insert(item.customer.clone(), rank) {
                prop_assert!(before < rank);
            }
        }
    }
}

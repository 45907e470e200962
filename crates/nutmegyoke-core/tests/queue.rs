//! Tests of the queue in front of an endpoint: order of service, fairness and limits.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use nutmegyoke_cases::{cases, config};
use nutmegyoke_core::process::agent::queue::{Item, MAX_BYTES, MAX_REQUESTS, Queue};
use nutmegyoke_core::request::arrival::Destination;
use proptest::prelude::*;

/// An item of cost 1 whose deadline is `deadline` seconds after `base`.
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

fn pop_all(queue: &mut Queue) -> Vec<u64> {
    std::iter::from_fn(|| queue.pop().map(|item| item.call)).collect()
}

/// Checks the order in which `items` are served. Each is given as (customer, priority,
/// deadline in seconds); they are calls 0, 1, 2 and so on.
fn service_order(items: &[(&str, u8, u64)], expected: &[u64]) {
    let base = Instant::now();
    let mut queue = Queue::default();
    for (call, &(customer, priority, deadline)) in (0..).zip(items) {
        assert!(
            queue
                .push(item(base, call, customer, priority, deadline))
                .is_empty()
        );
    }
    assert_eq!(pop_all(&mut queue), expected);
    assert!(queue.is_empty());
}

cases!(service_order {
    equal_items_in_order_of_arrival: (&[("a", 5, 9), ("a", 5, 9), ("a", 5, 9)], &[0, 1, 2]),
    earlier_deadline_first: (&[("a", 5, 9), ("a", 5, 3)], &[1, 0]),
    priority_before_deadline: (&[("a", 5, 3), ("a", 2, 9)], &[1, 0]),
    customers_served_in_turn: (
        &[
            ("a", 5, 9),
            ("a", 5, 9),
            ("a", 5, 9),
            ("b", 5, 9),
            ("b", 5, 9)
        ],
        &[0, 3, 1, 4, 2]
    ),
    priority_is_a_weight_between_customers: (
        &[
            ("a", 0, 9),
            ("a", 0, 9),
            ("a", 0, 9),
            ("b", 5, 9),
            ("b", 5, 9)
        ],
        // The weights are 10 and 5: two requests of a for one of b.
        &[0, 3, 1, 2, 4]
    ),
    urgent_burst_does_not_starve_others: (
        &[("a", 0, 1), ("a", 0, 1), ("a", 0, 1), ("z", 9, 99)],
        &[0, 3, 1, 2]
    ),
});

#[test]
fn new_customer_is_served_within_two_requests() {
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
fn full_queue_evicts_from_the_heaviest_customer() {
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
fn total_bytes_are_bounded() {
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
    let oversized = Item {
        bytes: MAX_BYTES + 1,
        ..item(base, 4, "b", 0, 1)
    };
    assert_eq!(queue.push(oversized)[0].call, 4);
    assert_eq!(queue.len(), 2);
}

#[test]
fn expired_items_are_removed() {
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
    // The clock jumps by hours, for example after the VM was suspended.
    let expired = queue.expire(base + Duration::from_hours(9));
    assert_eq!(expired[0].call, 1);
    assert_eq!(queue.deadline(), None);
}

#[test]
fn cost_ahead_counts_only_items_served_earlier() {
    let base = Instant::now();
    let mut queue = Queue::default();
    for call in 0..10 {
        queue.push(item(base, call, "a", 5, 9));
    }
    // Another customer waits for one request of the burst, not for all ten.
    assert_eq!(queue.cost_ahead(&item(base, 20, "b", 5, 9)), 1);
    assert_eq!(queue.cost_ahead(&item(base, 20, "a", 5, 9)), 10);
    assert_eq!(queue.cost_ahead(&item(base, 20, "a", 0, 9)), 0);
}

/// An operation on a queue.
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

    /// Under any sequence of operations, each request leaves exactly once and the limits
    /// hold.
    #[test]
    fn each_item_leaves_exactly_once(steps in prop::collection::vec(step(), 1..600)) {
        let base = Instant::now();
        let mut queue = Queue::default();
        let mut queued = BTreeSet::new();
        let mut bytes = BTreeMap::new();
        for (call, step) in (0..).zip(steps) {
            let removed = match step {
                Step::Push { customer, priority, deadline, cost, bytes: length } => {
                    queued.insert(call);
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
            for item in removed {
                prop_assert!(
                    queued.remove(&item.call),
                    "call {} left the queue twice or was never in it",
                    item.call
                );
            }
            prop_assert_eq!(queue.len(), queued.len());
            prop_assert!(queue.len() <= MAX_REQUESTS);
            let total: usize = queued.iter().map(|call| bytes[call]).sum();
            prop_assert_eq!(queue.bytes(), total);
            prop_assert!(total <= MAX_BYTES);
        }
        let remaining: BTreeSet<u64> = queue.drain().iter().map(|item| item.call).collect();
        prop_assert_eq!(remaining, queued);
        prop_assert_eq!(queue.bytes(), 0);
        prop_assert_eq!(queue.cost(), 0);
        prop_assert_eq!(queue.deadline(), None);
    }

    /// While two customers both have requests waiting, the costs served for them, divided
    /// by their weights, differ by at most the largest request of each.
    #[test]
    fn service_is_proportional_to_weights(
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
        let mut served_cost: BTreeMap<String, u64> = BTreeMap::new();
        for _ in 0..served {
            let Some(item) = queue.pop() else { break };
            let name = item.customer.to_string();
            *served_cost.entry(name.clone()).or_default() += item.cost;
            *waiting.get_mut(&name).unwrap() -= 1;
            if waiting[&name] == 0 {
                break;
            }
        }
        let weight = |priority: u8| f64::from(10 - priority);
        let largest = |costs: &[u64]| f64::from(u32::try_from(*costs.iter().max().unwrap()).unwrap());
        for (first, (first_priority, costs)) in flows.iter().enumerate() {
            for (second, (second_priority, other_costs)) in
                flows.iter().enumerate().skip(first + 1)
            {
                let normalized_cost = |index: usize, priority| {
                    let served_cost = served_cost.get(&index.to_string()).copied().unwrap_or(0);
                    f64::from(u32::try_from(served_cost).unwrap()) / weight(priority)
                };
                let gap = (normalized_cost(first, *first_priority)
                    - normalized_cost(second, *second_priority))
                .abs();
                let bound = largest(costs) / weight(*first_priority)
                    + largest(other_costs) / weight(*second_priority);
                prop_assert!(
                    gap <= bound + 1e-6,
                    "the served costs differ by {gap}, more than {bound}"
                );
            }
        }
    }

    /// The requests of a customer are served by priority, then deadline, then arrival.
    #[test]
    fn urgent_items_of_a_customer_come_first(
        items in prop::collection::vec((0..4_u8, 0..10_u8, 0..100_u64), 1..200)
    ) {
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

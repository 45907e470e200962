//! Tests of the quotas, which apply an entry's share of each plan's limits on requests,
//! concurrency and tokens.

use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegyoke_cases::{cases, config};
use nutmegyoke_core::process::entry::quota::{Quotas, RATE_BURST, TOKENS_BURST};
use nutmegyoke_core::request::Reason;
use nutmegyoke_core::version::configuration::Lists;
use nutmegyoke_core::version::{Configuration, Plan};
use proptest::prelude::*;

fn plan() -> Plan {
    Plan {
        name: "gold".to_owned(),
        customer: "kayal".into(),
        key: "gold-key".to_owned(),
        requests_per_second: 10,
        concurrency: 8,
        tokens_per_minute: 6_000,
        priority: 5,
        first_token: Duration::from_secs(1),
        between_tokens: Duration::from_millis(50),
        deadline: Duration::from_secs(30),
    }
}

fn configuration(plans: Vec<Plan>) -> Rc<Configuration> {
    let lists = Lists {
        number: 1,
        plans,
        grants: Vec::new(),
    };
    Configuration::open(lists).unwrap()
}

/// Checks that after `count` requests at the same time the next one is refused with
/// `reason`, and allowed after `retry_after`.
fn limit_refuses_next_request(
    plan: &Plan,
    tokens: u64,
    entries: u32,
    count: u64,
    reason: Reason,
    retry_after: Duration,
) {
    let now = Instant::now();
    let mut quotas = Quotas::default();
    for number in 0..count {
        assert_eq!(quotas.charge(now, number, plan, tokens, entries), Ok(()));
    }
    let refusal = quotas
        .charge(now, count, plan, tokens, entries)
        .unwrap_err();
    assert_eq!((refusal.reason, refusal.retry_after), (reason, retry_after));
    // The request is allowed after the returned time, once another has ended if the
    // concurrency was exhausted.
    let later = now + retry_after;
    if reason == Reason::ConcurrencyLimited {
        quotas.finish(later, 0, &configuration(vec![plan.clone()]), entries);
    }
    assert_eq!(quotas.charge(later, count, plan, tokens, entries), Ok(()));
}

cases!(limit_refuses_next_request {
    rate: (
        &Plan {
            concurrency: 100,
            ..plan()
        },
        0,
        1,
        10,
        Reason::RateLimited,
        Duration::from_millis(100)
    ),
    rate_shared_by_two: (
        &Plan {
            concurrency: 100,
            ..plan()
        },
        0,
        2,
        5,
        Reason::RateLimited,
        Duration::from_millis(200)
    ),
    concurrency: (
        &plan(),
        0,
        1,
        8,
        Reason::ConcurrencyLimited,
        Duration::from_secs(1)
    ),
    concurrency_shared_by_three: (
        &plan(),
        0,
        3,
        3,
        Reason::ConcurrencyLimited,
        Duration::from_secs(1)
    ),
    tokens: (
        &plan(),
        2_000,
        1,
        3,
        Reason::TokensLimited,
        Duration::from_secs(20)
    ),
    tokens_shared_by_two: (
        &plan(),
        1_500,
        2,
        2,
        Reason::TokensLimited,
        Duration::from_secs(30)
    ),
    request_above_the_whole_budget: (
        &plan(),
        12_000,
        1,
        1,
        Reason::TokensLimited,
        Duration::from_mins(2)
    ),
});

fn finished_request_refunds_unused_tokens(used: Option<u64>, remaining: u64) {
    let now = Instant::now();
    let (plan, mut quotas) = (plan(), Quotas::default());
    let configuration = configuration(vec![plan.clone()]);
    quotas.charge(now, 1, &plan, 6_000, 1).unwrap();
    if let Some(used) = used {
        quotas.meter(1, used);
    }
    quotas.finish(now, 1, &configuration, 1);
    quotas.finish(now, 1, &configuration, 1);
    assert_eq!(quotas.in_flight("gold"), 0);
    assert_eq!(quotas.charge(now, 2, &plan, remaining, 1), Ok(()));
    let refused = quotas.charge(now, 3, &plan, 1, 1);
    assert_eq!(refused.unwrap_err().reason, Reason::TokensLimited);
}

cases!(finished_request_refunds_unused_tokens {
    no_tokens_used: (Some(0), 6_000),
    half_used: (Some(3_000), 3_000),
    usage_unknown: (None, 0),
});

#[test]
fn usage_above_reservation_is_charged() {
    let now = Instant::now();
    let (plan, mut quotas) = (plan(), Quotas::default());
    quotas.charge(now, 1, &plan, 1_000, 1).unwrap();
    quotas.meter(1, 6_000);
    quotas.finish(now, 1, &configuration(vec![plan.clone()]), 1);
    let refusal = quotas.charge(now, 2, &plan, 1_000, 1).unwrap_err();
    assert_eq!(refusal.retry_after, Duration::from_secs(10));
}

#[test]
fn usage_survives_limit_change() {
    let now = Instant::now();
    let (plan, mut quotas) = (plan(), Quotas::default());
    quotas.charge(now, 1, &plan, 6_000, 1).unwrap();
    let doubled = Plan {
        tokens_per_minute: 12_000,
        ..plan.clone()
    };
    quotas.retain(&configuration(vec![doubled.clone()]));
    let refusal = quotas.charge(now, 2, &doubled, 6_000, 1).unwrap_err();
    assert_eq!(refusal.reason, Reason::TokensLimited);
    assert_eq!(refusal.retry_after, Duration::from_secs(30));
}

#[test]
fn removed_plan_is_dropped_after_its_last_request() {
    let now = Instant::now();
    let (plan, mut quotas) = (plan(), Quotas::default());
    let none = configuration(Vec::new());
    quotas.charge(now, 1, &plan, 1, 1).unwrap();
    quotas.retain(&none);
    assert_eq!(quotas.in_flight("gold"), 1);
    quotas.finish(now, 1, &none, 1);
    assert_eq!(quotas.tracked_plans(), 0);
}

#[test]
fn burst_does_not_grow_while_idle() {
    let now = Instant::now();
    let (plan, mut quotas) = (plan(), Quotas::default());
    quotas.charge(now, 0, &plan, 10, 1).unwrap();
    let later = now + Duration::from_hours(9);
    let passed = (1..100)
        .filter(|&number| quotas.charge(later, number, &plan, 2_000, 1).is_ok())
        .count();
    assert_eq!(passed, 3);
}

/// One step of the property test.
#[derive(Clone, Debug)]
enum Step {
    Arrive { tokens: u64 },
    End { index: usize, used: Option<u64> },
    Advance { milliseconds: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3_000_u64).prop_map(|tokens| Step::Arrive { tokens }),
        3 => (any::<usize>(), prop::option::of(0..3_000_u64))
            .prop_map(|(index, used)| Step::End { index, used }),
        2 => (0..2_000_u64).prop_map(|milliseconds| Step::Advance { milliseconds }),
    ]
}

proptest! {
    #![proptest_config(config(256))]

    /// No limit is exceeded by more than its burst over the whole run, in any order
    /// of arrivals and ends.
    #[test]
    fn usage_stays_within_the_limits_and_bursts(steps in prop::collection::vec(step(), 1..300), entries in 1..4_u32) {
        let start = Instant::now();
        let (plan, mut quotas) = (plan(), Quotas::default());
        let configuration = configuration(vec![plan.clone()]);
        let mut now = start;
        let mut in_flight: Vec<(u64, u64)> = Vec::new();
        let (mut admitted, mut total_used) = (0_u32, 0_u64);
        for (number, step) in (0..).zip(steps) {
            match step {
                Step::Arrive { tokens } => match quotas.charge(now, number, &plan, tokens, entries) {
                    Ok(()) => {
                        in_flight.push((number, tokens));
                        admitted += 1;
                    }
                    Err(refusal) => prop_assert!(
                        refusal.reason == Reason::ConcurrencyLimited || !refusal.retry_after.is_zero()
                    ),
                },
                Step::End { index, used } if !in_flight.is_empty() => {
                    let (number, tokens) = in_flight.swap_remove(index % in_flight.len());
                    // A model generates at most as many tokens as the request allows.
                    let used = used.map(|used| used.min(tokens));
                    if let Some(used) = used {
                        quotas.meter(number, used);
                    }
                    total_used += used.unwrap_or(tokens);
                    quotas.finish(now, number, &configuration, entries);
                }
                Step::End { .. } => {}
                Step::Advance { milliseconds } => now += Duration::from_millis(milliseconds),
            }
            prop_assert_eq!(quotas.in_flight("gold") as usize, in_flight.len());
            prop_assert!(in_flight.len() <= plan.concurrency.div_ceil(entries) as usize);
        }
        let seconds = (now - start).as_secs_f64() + RATE_BURST.as_secs_f64();
        let requests = seconds * f64::from(plan.requests_per_second) / f64::from(entries);
        prop_assert!(f64::from(admitted) <= requests + 1.0, "{admitted} > {requests}");
        let reserved: u64 = in_flight.iter().map(|(_, tokens)| tokens).sum();
        let milliseconds = u64::try_from((now - start + TOKENS_BURST).as_millis()).unwrap();
        let tokens = milliseconds * plan.tokens_per_minute / 60_000 / u64::from(entries);
        // A request above the whole budget may put the bucket into debt once.
        let used = total_used + reserved;
        prop_assert!(used <= tokens + 3_000, "{used} > {tokens}");
    }
}

//! Property test of the at-most-once guarantee, on the simulation in `network`.
//!
//! In any order of calls and faults, a request that must run at most once does not run
//! twice, and no caller gets the verdict that its request did not run if it did.

mod network;

use network::{Kind, Simulation, Step};
use nutmegyoke_cases::cases;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// Exclusive upper bound of the number of steps in one case.
const MAX_STEPS: usize = 160;

/// The number of cases, unless `NUTMEGYOKE_CASES` overrides it.
const DEFAULT_CASES: u32 = 400;

/// The seed, unless `NUTMEGYOKE_SEED` overrides it.
const DEFAULT_SEED: u64 = 5;

/// The environment variable `name`, or `default` if it is not set or invalid.
fn variable_or<T: std::str::FromStr>(name: &str, default: T) -> T {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn kind() -> impl Strategy<Value = Kind> {
    prop_oneof![
        4 => Just(Kind::CallKeyed),
        2 => Just(Kind::CallUnkeyed),
        2 => Just(Kind::CallRepeatable),
        20 => Just(Kind::Deliver),
        3 => Just(Kind::Duplicate),
        3 => Just(Kind::BreakLink),
        4 => Just(Kind::Finish),
        2 => Just(Kind::Fail),
        1 => Just(Kind::TimeOut),
        1 => Just(Kind::ClaimUnanswered),
        1 => Just(Kind::Disconnect),
        6 => Just(Kind::Advance),
        3 => Just(Kind::Update),
        1 => Just(Kind::Configure),
        2 => Just(Kind::RestartAgent),
        1 => Just(Kind::RestartEntry),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    (kind(), 0..10_000_usize).prop_map(|(kind, pick)| Step { kind, pick })
}

fn requests_run_at_most_once(seed_offset: u64) {
    let config = Config {
        cases: variable_or("NUTMEGYOKE_CASES", DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(variable_or("NUTMEGYOKE_SEED", DEFAULT_SEED) + seed_offset),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = prop::collection::vec(step(), 1..MAX_STEPS);
    let run = |steps: Vec<Step>| {
        let mut simulation = Simulation::open();
        for step in steps {
            simulation.step(step);
        }
        simulation.end_and_check();
        prop_assert_eq!(simulation.violation, None);
        Ok(())
    };
    TestRunner::new(config).run(&steps, run).unwrap();
}

cases!(requests_run_at_most_once {
    seed_offset_0: (0),
    seed_offset_1000: (1000),
});

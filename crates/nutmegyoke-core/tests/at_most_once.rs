//! Under any order of faults no request that must not run twice does, and no
//! caller is told that its request did not run when it did.

mod network;

use network::{Kind, Step, World};
use nutmegyoke_cases::cases;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// Steps of one run at most.
const STEPS: usize = 160;

/// Runs of the check, unless `NUTMEGYOKE_CASES` says otherwise.
const RUNS: u32 = 400;

/// The seed, unless `NUTMEGYOKE_SEED` says otherwise.
const SEED: u64 = 5;

fn setting<T: std::str::FromStr>(name: &str, default: T) -> T {
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
        1 => Just(Kind::GiveUp),
        1 => Just(Kind::Unclaimed),
        1 => Just(Kind::Leave),
        6 => Just(Kind::Pass),
        3 => Just(Kind::Teach),
        1 => Just(Kind::Configure),
        2 => Just(Kind::RestartAgent),
        1 => Just(Kind::RestartEntry),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    (kind(), 0..10_000_usize).prop_map(|(kind, pick)| Step { kind, pick })
}

fn holds(offset: u64) {
    let config = Config {
        cases: setting("NUTMEGYOKE_CASES", RUNS),
        rng_seed: RngSeed::Fixed(setting("NUTMEGYOKE_SEED", SEED) + offset),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = prop::collection::vec(step(), 1..STEPS);
    let run = |steps: Vec<Step>| {
        let mut world = World::open();
        for step in steps {
            world.step(step);
        }
        world.end();
        prop_assert_eq!(world.breach, None);
        Ok(())
    };
    TestRunner::new(config).run(&steps, run).unwrap();
}

cases!(holds {
    first: (0),
    second: (1000),
});

//! The macro by which tests are arranged, and the seed of the property tests.

use std::str::FromStr;

use proptest::test_runner::{Config, RngSeed};

/// Names the cases of a check and makes a test of each.
///
/// The check is a function; each case gives its arguments in parentheses. The
/// test `CHECK::CASE` passes when the function returns.
///
/// ```
/// # use nutmegyoke_cases::cases;
/// fn doubles(number: u32, expected: u32) {
///     assert_eq!(number * 2, expected);
/// }
///
/// cases!(doubles {
///     zero: (0, 0),
///     one: (1, 2),
/// });
/// ```
#[macro_export]
macro_rules! cases {
    ($check:ident { $($name:ident: $arguments:tt),+ $(,)? }) => {
        mod $check {
            #[allow(unused_imports, reason = "not every check's arguments name items")]
            use super::*;

            $(
                #[test]
                fn $name() {
                    super::$check $arguments;
                }
            )+
        }
    };
}

/// The seed of every property test, unless `NUTMEGYOKE_SEED` says otherwise.
const DEFAULT_SEED: u64 = 20_261_204;

/// Configures a property test to give the same verdict each run.
///
/// Runs `cases` of them with a fixed seed and keeps no file of failures;
/// `NUTMEGYOKE_CASES` and `NUTMEGYOKE_SEED` set other numbers.
#[must_use]
pub fn config(cases: u32) -> Config {
    Config {
        cases: env_var("NUTMEGYOKE_CASES").unwrap_or(cases),
        rng_seed: RngSeed::Fixed(env_var("NUTMEGYOKE_SEED").unwrap_or(DEFAULT_SEED)),
        failure_persistence: None,
        ..Config::default()
    }
}

fn env_var<T: FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok()?.parse().ok()
}

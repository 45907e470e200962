//! A macro for table-driven tests, and the configuration of the property tests.

use std::str::FromStr;

use proptest::test_runner::{Config, RngSeed};

/// Generates one named test for each case of a check.
///
/// The check is a function, and each case gives its arguments in parentheses. The test
/// `CHECK::CASE` passes if the function returns and fails if it panics.
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

/// The seed of the property tests if `NUTMEGYOKE_SEED` is not set.
const DEFAULT_SEED: u64 = 20_261_204;

/// The configuration of a reproducible property test.
///
/// The test runs `cases` cases with a fixed seed and writes no file of failed cases. The
/// environment variables `NUTMEGYOKE_CASES` and `NUTMEGYOKE_SEED` override both numbers;
/// a value that is not a number is ignored.
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

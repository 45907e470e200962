//! The macro by which tests are arranged.

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
